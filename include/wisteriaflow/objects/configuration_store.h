// Maintains the active configuration of one daemon from lists, watches and peers.
//
// Objects arrive from lists and watches of the object API and from peers. Any of these may be late,
// repeated, out of order, or have gaps. An object is replaced or deleted only by a higher revision,
// so the configuration never reverts to an older state. If the newest version of an object is not
// valid, its last valid version stays active.
//
//   configuration_store store;
//   store.on_list(revision, documents);
//   store.on_put(document); // a watch event
//   if (store.readiness() == configuration_readiness::ready) { use(store.current()); }

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

// Whether the configuration of a daemon is recent enough to serve requests. The required revision
// is the highest one that a peer has reported.
enum class configuration_readiness {
  // No peer has reported a revision. If no peer can be asked, there is no list to use instead.
  required_revision_unknown,
  // No complete configuration of at least the required revision has been merged yet.
  catching_up,
  // Never left again: later revisions are applied as they arrive.
  ready,
};

// An object whose newest version is not active.
struct rejected_object {
  std::string name;
  std::uint64_t revision = 0;        // the version that was rejected
  std::uint64_t active_revision = 0; // the last valid version; 0 if there is none
  std::string reason;

  friend bool operator==(const rejected_object&, const rejected_object&) = default;
};

// A complete configuration as one daemon sends it to another.
struct configuration_snapshot {
  std::uint64_t revision = 0;          // the highest revision that the sender has seen
  std::uint64_t complete_revision = 0; // the sender knows all changes up to this one
  // The newest versions, the last valid versions of rejected objects, and Tombstone documents for
  // deletions after `complete_revision`. A last valid version precedes the newest one.
  std::vector<boost::json::value> objects;
};

// A change that took effect, or a new version that was rejected. Input of the audit trail.
enum class change_kind { added, modified, deleted, rejected };

struct configuration_change {
  change_kind kind = change_kind::modified;
  std::string name;
  std::uint64_t old_revision = 0; // 0 if the object is new
  std::uint64_t new_revision = 0; // the revision of the deletion, if it was deleted
  boost::json::value document;    // the newest version, or the last one before the deletion

  friend bool operator==(const configuration_change&, const configuration_change&) = default;
};

// State machine of one daemon's configuration. The on_* functions that receive objects return the
// changes that they made: an empty list if the input was stale or already known. Not thread-safe;
// the result of `current` is immutable and may be shared between threads.
class configuration_store {
 public:
  configuration_store();

  // Applies a list of all objects at `revision`. Ignored unless `revision` is above the one up to
  // which all changes are already known. Objects that the list lacks are deleted.
  std::vector<configuration_change> on_list(std::uint64_t revision,
                                            const std::vector<boost::json::value>& documents);

  // Applies a watch event: an object was added or modified. A document without a name or revision
  // is ignored.
  std::vector<configuration_change> on_put(const boost::json::value& document);

  // Applies a watch event: the object `name` was deleted at `revision`.
  std::vector<configuration_change> on_deleted(std::string_view name, std::uint64_t revision);

  // A watch that started at watch_start_revision() has delivered every change up to `revision`
  // without a gap.
  void on_watch_progress(std::uint64_t revision);

  // Merges the configuration of a peer. Its revision raises the required revision.
  std::vector<configuration_change> on_peer_snapshot(const configuration_snapshot& snapshot);

  // A peer has seen `revision`. This daemon does not become ready below it.
  void on_peer_revision(std::uint64_t revision);

  // No peer can be asked for its revision. The store then becomes ready once it has a list; a
  // revision that a peer has reported is still required.
  void on_peers_unreachable();

  // The active configuration; never null.
  [[nodiscard]] std::shared_ptr<const fleet_configuration> current() const { return current_; }

  // The highest revision seen and applied. Never decreases.
  [[nodiscard]] std::uint64_t revision() const { return revision_; }

  // The revision after which the next watch starts: all changes up to it are known.
  [[nodiscard]] std::uint64_t watch_start_revision() const { return complete_revision_; }

  [[nodiscard]] configuration_readiness readiness() const;

  // Objects whose newest version is not active, sorted by name.
  [[nodiscard]] const std::vector<rejected_object>& rejected() const { return rejected_; }

  // The state that a peer needs to reach the same configuration.
  [[nodiscard]] configuration_snapshot snapshot() const;

 private:
  // One version of an object. `decoded` is absent if the version is not valid.
  struct object_version {
    std::uint64_t revision = 0;
    boost::json::value document;
    std::optional<decoded_object> decoded;
    std::string reason; // why it is not valid
  };

  struct object_state {
    object_version newest;                    // the last version before the deletion, if deleted
    std::optional<object_version> last_valid; // set while `newest` is not active
    std::uint64_t deleted_at = 0;             // 0: not deleted
    std::uint64_t active_revision = 0;        // 0: no version is active

    [[nodiscard]] std::uint64_t latest_revision() const
    {
      return deleted_at != 0 ? deleted_at : newest.revision;
    }
  };

  using changes = std::vector<configuration_change>;

  static object_version read_version(const boost::json::value& document, std::uint64_t revision);
  static bool has_declared_object(const object_version& version);

  // Accepts a version above the latest known one of its object. An object that is not in `entries_`
  // must be above `complete_revision`: its tombstone may have been dropped, and an older version
  // would undo the deletion.
  void put(const boost::json::value& document, std::uint64_t complete_revision, changes& made);
  void merge_last_valid(const boost::json::value& document);
  void erase(std::string_view name, std::uint64_t revision, changes& made);
  void erase_absent(std::uint64_t revision, const std::vector<boost::json::value>& documents,
                    changes& made);
  void merge_peer_objects(const configuration_snapshot& snapshot, changes& made);
  void advance_complete_revision(std::uint64_t revision);
  void update_readiness();

  // Activates all valid versions. Returns `made`, with the changes that did not take effect marked
  // as rejected.
  changes apply_changes(changes made);
  void rebuild();
  // The dependency rank of the newest usable version; -1 if there is none.
  static int dependency_rank_of(const object_state& state);
  // Activates the newest version of an object, or else its last valid one, if its references exist.
  static void select_active_version(object_state& state, reference_index& index,
                                    std::vector<declared_object>& active);
  void add_rejected(const std::string& name, const object_state& state);

  std::map<std::string, object_state, std::less<>> entries_;
  std::shared_ptr<const fleet_configuration> current_;
  std::vector<rejected_object> rejected_;
  std::uint64_t revision_ = 0;
  std::uint64_t complete_revision_ = 0;
  std::uint64_t full_revision_ = 0;     // of the newest complete configuration that was merged
  std::uint64_t required_revision_ = 0; // the highest reported by a peer; 0: none yet
  bool peers_unreachable_ = false;
  bool has_full_configuration_ = false; // a list or a peer's snapshot has been merged
  bool ready_ = false;
};

} // namespace wisteriaflow::objects

#endif // WISTERIAFLOW_OBJECTS_CONFIGURATION_STORE_H_
