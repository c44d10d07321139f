// The terms that endpoints state in their answers, kept by the whole fleet.
//
// An answer reaches one daemon, so daemons tell each other what they have heard. What was said last
// counts. A rate is over only by an answer to a request that was sent after it had been named: an
// answer on its way may be older than the word of another daemon. A process that has said that it
// leaves does so, whatever comes later: entries of the store may be older, or come back after they
// lapsed. A pause is asked of one daemon, and no other is told of it.
//
//   const answered_terms said{.process = p, .terms = t, .sent_at = sent, .is_signed = true};
//   if (terms.on_answer(said, now) == terms_step::tell) {
//     ... tell the peers terms.to_tell(32, is_in_use, now) ...
//   }
//   if (terms.open_at(id, now) <= now) { terms.on_sent(id, now); ... }

#ifndef WISTERIAFLOW_GATEWAY_STATED_TERMS_H_
#define WISTERIAFLOW_GATEWAY_STATED_TERMS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "wisteriaflow/base/ids.h"
#include "wisteriaflow/base/time.h"
#include "wisteriaflow/gateway/endpoint_process.h"
#include "wisteriaflow/gateway/endpoint_statement.h"
#include "wisteriaflow/gateway/fleet_view.h"
#include "wisteriaflow/gateway/rate_shares.h"

namespace wisteriaflow::gateway {

// What an answer says of the endpoint that gave it.
struct answered_terms {
  endpoint_process process;
  endpoint_terms terms;
  mono_time sent_at; // the request
  bool is_signed = false;
};

// What a daemon tells its peers of one endpoint.
struct told_terms {
  endpoint_process process;
  std::optional<double> request_rate; // requests/s; nothing: it names none any more
  bool leaving = false;
  std::chrono::milliseconds age{0}; // since it was said

  friend bool operator==(const told_terms&, const told_terms&) = default;
};

// What to do about a statement.
enum class terms_step {
  nothing,
  tell,   // it is news, of which peers should hear at once
  reject, // its figure makes no sense, and nothing is changed
};

// Not thread-safe.
class stated_terms {
 public:
  explicit stated_terms(daemon_id self) : shares_(std::move(self)) {}

  void set_fleet(fleet_view fleet, mono_time now) { shares_.set_fleet(std::move(fleet), now); }

  terms_step on_answer(const answered_terms& said, mono_time now);

  // The word of a peer.
  terms_step on_told(const told_terms& told, mono_time now);

  // Another process of the endpoint has started: what was said by the one before is void.
  void forget(const endpoint_id& id);

  // Forgets what nobody has said for long. Call a few times a second.
  void tick(mono_time now);

  // When one more request may be sent to the endpoint: `now`, or later.
  [[nodiscard]] mono_time open_at(const endpoint_id& id, mono_time now) const;
  void on_sent(const endpoint_id& id, mono_time now) { shares_.take(id, now); }

  // Whether the process has said that it leaves.
  [[nodiscard]] bool is_leaving(const endpoint_process& process) const;

  // Up to `most` endpoints for a report: what is new first, then the others that are in use, each
  // in turn.
  using in_use = std::function<bool(const endpoint_id&)>;
  [[nodiscard]] std::vector<told_terms> to_tell(std::size_t most, const in_use& is_in_use,
                                                mono_time now);

  // Endpoints that have asked this daemon for a pause which has not ended.
  [[nodiscard]] std::size_t paused() const { return paused_until_.size(); }

  // Endpoints whose rate is kept.
  [[nodiscard]] std::size_t limited() const { return shares_.number(); }

 private:
  struct entry {
    std::uint64_t incarnation = 0;
    std::optional<double> request_rate;
    bool leaving = false;
    mono_time said_at;
    mono_time changed_at;
  };

  using entry_map = std::map<endpoint_id, entry>;

  // The entry of the process; void of what another process of the endpoint had said.
  entry& entry_of(const endpoint_process& process);
  // True if that changes it.
  bool set_rate(const endpoint_id& id, entry& it, std::optional<double> rate, mono_time now);
  static bool set_leaving(entry& it, mono_time now);
  [[nodiscard]] static told_terms tell(const entry_map::value_type& it, mono_time now);

  // Adds wanted entries, beginning after the one told last.
  template <typename predicate>
  void tell_in_turn(std::vector<told_terms>& out, std::size_t most, predicate is_wanted,
                    mono_time now);

  rate_shares shares_;
  entry_map entries_;
  std::map<endpoint_id, mono_time> paused_until_;
  endpoint_id next_; // to tell
};

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_STATED_TERMS_H_
