// Where answers are, so that any daemon can send a caller to the one that has its answer.
//
// Each key has a few daemons, chosen by rendezvous hashing, that are told who runs its request.
// A daemon that does not know a key asks those. Nothing depends on it but finding an answer.

#ifndef WISTERIAFLOW_SRC_CORE_ANSWER_PLACES_H_
#define WISTERIAFLOW_SRC_CORE_ANSWER_PLACES_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "core/core_context.h"
#include "core/fleet.h"
#include "wisteriaflow/requests/answer_store.h"

namespace wisteriaflow::core::internal {

// Stable name of an answer among all daemons.
[[nodiscard]] hash128 place_key_of(const requests::answer_key& key);

class answer_places {
 public:
  answer_places(core_context& context, fleet& members) : context_(context), fleet_(members) {}

  // Tells the key's keepers that the answer is, or will be, at `caller_address`.
  void announce(const requests::answer_key& key, const std::string& caller_address);

  // Daemons have come or gone: tells keys' new keepers what is to be had here.
  void on_daemons_changed();

  // A peer announced a place.
  void on_note(const place_note& note);

  // The place kept here; empty if none is.
  [[nodiscard]] std::string kept_place(const hash128& key) const;

  // Asks the keepers one after another; `done` gets an empty address if none knows.
  void find(const requests::answer_key& key, std::function<void(const std::string&)> done);

 private:
  struct place {
    std::string caller_address;
    wall_time keep_until;
  };

  // An answer that is, or will be, here.
  struct own_answer {
    wall_time keep_until;
    std::vector<daemon_id> told;
  };

  [[nodiscard]] bool is_useful(const std::string& place) const;
  [[nodiscard]] std::vector<daemon_id> keepers_of(const hash128& key) const;
  void forget(const hash128& key);
  void tell(const daemon_id& keeper, const place_note& note);
  void ask(const hash128& key, std::vector<daemon_id> keepers,
           std::function<void(const std::string&)> done);

  core_context& context_;
  fleet& fleet_;
  std::map<hash128, place> places_;
  std::multimap<wall_time, hash128> by_deadline_;
  std::map<hash128, own_answer> own_;
  std::vector<daemon_id> live_; // when the keepers of own_ were told
};

} // namespace wisteriaflow::core::internal

#endif // WISTERIAFLOW_SRC_CORE_ANSWER_PLACES_H_
