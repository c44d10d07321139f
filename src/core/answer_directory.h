// A distributed directory of answers, so that any daemon can redirect a caller to the daemon that
// has its answer.
//
// The entry of a key is stored at a few daemons (its replicas), which rendezvous hashing chooses
// among the live ones. The daemon that runs the request publishes its caller address to them, and a
// daemon that does not have an answer queries them. The directory serves only to find answers.

#ifndef WISTERIAFLOW_SRC_CORE_ANSWER_DIRECTORY_H_
#define WISTERIAFLOW_SRC_CORE_ANSWER_DIRECTORY_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "core/core_context.h"
#include "core/fleet.h"
#include "wisteriaflow/requests/answer_store.h"

namespace wisteriaflow::core::internal {

// Returns the directory key of an answer, the same at all daemons.
[[nodiscard]] hash128 directory_key_of(const requests::answer_key& key);

class answer_directory {
 public:
  answer_directory(core_context& context, fleet& members) : context_(context), fleet_(members) {}

  // Sends the replicas of `key` the address of the daemon that has, or will have, the answer.
  void publish(const requests::answer_key& key, const std::string& caller_address);

  // Sends the entries of this daemon's answers to their new replicas after the set of live daemons
  // has changed.
  void on_daemons_changed();

  // Stores an entry that a daemon has published.
  void on_note(const place_note& note);

  // Returns the address that this daemon stores for a key, or an empty string.
  [[nodiscard]] std::string stored_address(const hash128& key) const;

  // Finds the address of the daemon that has an answer: from the local entry, else from the
  // replicas one after another. `done` gets an empty string if no replica knows a usable address.
  // It may be called before this returns.
  void find(const requests::answer_key& key, std::function<void(const std::string&)> done);

 private:
  struct entry {
    std::string caller_address;
    wall_time keep_until;
  };

  // An answer that this daemon keeps or is producing, with the replicas that got its entry.
  struct local_answer {
    wall_time keep_until;
    std::vector<daemon_id> notified;
  };

  [[nodiscard]] bool is_usable(const std::string& place) const;
  [[nodiscard]] std::vector<daemon_id> replicas_of(const hash128& key) const;
  void erase_entry(const hash128& key);
  void send_note(const daemon_id& replica, const place_note& note);
  void query_replicas(const hash128& key, std::vector<daemon_id> replicas,
                      std::function<void(const std::string&)> done);

  core_context& context_;
  fleet& fleet_;
  std::map<hash128, entry> entries_;
  std::multimap<wall_time, hash128> by_expiry_;
  std::map<hash128, local_answer> local_answers_;
  std::vector<daemon_id> last_live_daemons_; // for which local_answers_ were last published
};

} // namespace wisteriaflow::core::internal

#endif // WISTERIAFLOW_SRC_CORE_ANSWER_DIRECTORY_H_
