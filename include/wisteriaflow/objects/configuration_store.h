// Holds the configuration in force in one daemon and decides what may change it.
//
// Objects arrive from lists and watches of the object API and from peers; any of these may be late,
// repeated, out of order, or have gaps. An object is replaced or deleted only by a higher revision,
// so nothing ever reverts. An object that is not valid leaves its last valid version in force.

#ifndef WISTERIAFLOW_OBJECTS_CONFIGURATION_STORE_H_
#define WISTERIAFLOW_OBJECTS_CONFIGURATION_STORE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/json/value.hpp>

#include "wisteriaflow/objects/codec.h"
#include "wisteriaflow/objects/fleet_configuration.h"

namespace wisteriaflow::objects {

class reference_index;

// Whether a daemon may serve by its configuration.
enum class configuration_readiness {
  floor_unknown, // neither a peer nor, with all peers silent, the store has named a revision
  catching_up,   // the configuration is older than the floor
  ready,         // once ready, always ready: later revisions are applied as they arrive
};

// An object whose newest version is not in force.
struct rejected_object {
  std::string name;
  std::uint64_t revision = 0;          // the version that was rejected
  std::uint64_t in_force_revision = 0; // the last valid version; 0 if there is none
  std::string reason;

  friend bool operator==(const rejected_object&, const rejected_object&) = default;
};

// A whole configuration as it goes from daemon to daemon.
struct configuration_snapshot {
  std::uint64_t revision = 0; // the highest that the sender has seen
  std::uint64_t floor = 0;    // all changes up to this one are known to the sender
  // Newest versions, last valid versions of rejected objects, and Tombstone documents of
  // deletions after the floor.
  std::vector<boost::json::value> objects;
};

// One change that came into force, or an object newly rejected; material of the audit trail.
enum class change_kind { added, modified, deleted, rejected };

struct configuration_change {
  change_kind kind = change_kind::modified;
  std::string name;
  std::uint64_t old_revision = 0; // 0 if it is new
  std::uint64_t new_revision = 0; // of the deletion, if it was deleted
  boost::json::value document;    // the newest version; the last one, if it was deleted

  friend bool operator==(const configuration_change&, const configuration_change&) = default;
};

// The state machine of one daemon's configuration. Every on_… call returns what it changed: empty
// for what was stale or known. Not thread-safe; `current` is immutable and may be shared.
class configuration_store {
 public:
  configuration_store();

  // The object API listed all objects as they were at `revision`. A list that is older than one
  // already merged is ignored.
  std::vector<configuration_change> on_list(std::uint64_t revision,
                                            const std::vector<boost::json::value>& documents);

  // A watch showed an object added or modified. A document without name or revision is ignored.
  std::vector<configuration_change> on_put(const boost::json::value& document);

  // A watch showed that `name` was deleted at `revision`.
  std::vector<configuration_change> on_deleted(std::string_view name, std::uint64_t revision);

  // A watch that began at watch_from() has shown, without a gap, every change up to `revision`.
  void on_watched_through(std::uint64_t revision);

  // A peer sent its configuration. Its revision raises the floor.
  std::vector<configuration_change> on_peer_snapshot(const configuration_snapshot& snapshot);

  // A peer has seen `revision`: this daemon does not begin to serve below it.
  void on_peer_revision(std::uint64_t revision);

  // No peer could be asked: the floor is then that of the store's own list.
  void on_peers_silent();

  // The configuration in force; never null.
  [[nodiscard]] std::shared_ptr<const fleet_configuration> current() const { return current_; }

  // The highest revision seen and applied. Never falls.
  [[nodiscard]] std::uint64_t revision() const { return revision_; }

  // Where the next watch begins: all changes up to here are known.
  [[nodiscard]] std::uint64_t watch_from() const { return complete_revision_; }

  [[nodiscard]] configuration_readiness readiness() const;

  // Objects whose newest version is not in force, sorted by name.
  [[nodiscard]] const std::vector<rejected_object>& rejected() const { return rejected_; }

  // What a peer needs to come to the same configuration.
  [[nodiscard]] configuration_snapshot snapshot() const;

 private:
  // A version of an object as read; without `decoded` it is not valid.
  struct object_version {
    std::uint64_t revision = 0;
    boost::json::value document;
    std::optional<decoded_object> decoded;
    std::string reason; // why it is not valid
  };

  struct entry {
    object_version newest;                    // the last one before the deletion, if deleted
    std::optional<object_version> last_valid; // set while the newest is not in force
    std::uint64_t deleted_at = 0;             // 0: not deleted
    std::uint64_t in_force_revision = 0;      // 0: none of it is

    [[nodiscard]] std::uint64_t seen_revision() const
    {
      return deleted_at != 0 ? deleted_at : newest.revision;
    }
  };

  using changes = std::vector<configuration_change>;

  static object_version read_version(const boost::json::value& document, std::uint64_t revision);
  static bool is_understood(const object_version& version);

  // Takes versions above those seen. An unknown object must also be above `known_through`, or a
  // deletion that is no longer remembered would be undone.
  void put(const boost::json::value& document, std::uint64_t known_through, changes& made);
  void offer_last_valid(const boost::json::value& document);
  void erase(std::string_view name, std::uint64_t revision, changes& made);
  void erase_absent(std::uint64_t revision, const std::vector<boost::json::value>& documents,
                    changes& made);
  void merge_peer_objects(const configuration_snapshot& snapshot, changes& made);
  void complete_through(std::uint64_t revision);
  void update_readiness();

  // Puts in force what is valid and tells which of `made` came to nothing.
  changes put_in_force(changes made);
  void rebuild();
  static int rank_of(const entry& known);
  static void settle(entry& known, reference_index& index, std::vector<declared_object>& in_force);
  void note_rejected(const std::string& name, const entry& known);

  std::map<std::string, entry, std::less<>> entries_;
  std::shared_ptr<const fleet_configuration> current_;
  std::vector<rejected_object> rejected_;
  std::uint64_t revision_ = 0;
  std::uint64_t complete_revision_ = 0;
  std::uint64_t held_revision_ = 0; // of the newest whole configuration merged
  std::uint64_t peer_floor_ = 0;    // 0: no peer has named one
  bool peers_silent_ = false;
  bool whole_ = false; // a list or a peer's snapshot has been merged
  bool ready_ = false;
};

} // namespace wisteriaflow::objects

#endif // WISTERIAFLOW_OBJECTS_CONFIGURATION_STORE_H_
