// The terms that endpoints state in their answers, shared by the whole fleet.
//
// An answer reaches only one daemon, so daemons gossip the terms that they receive. The latest
// statement counts. A rate limit ends only with an answer to a request that was sent after the
// limit had been stated: an answer in flight may be older than the statement that another daemon
// received. A process that has stated that it is leaving is treated as leaving whatever comes
// later: entries of the store may be older, or reappear after they expired. A pause is requested
// from one daemon and is not gossiped.
//
//   const answer_terms answer{.process = p, .terms = t, .sent_at = sent, .is_signed = true};
//   if (terms.on_answer(answer, now) == terms_action::gossip) {
//     ... send terms.to_gossip(32, is_in_use, now) to the peers ...
//   }
//   if (terms.next_allowed_at(id, now) <= now) { terms.on_sent(id, now); ... }

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

// The terms in an answer, with the process that gave it.
struct answer_terms {
  endpoint_process process;
  endpoint_terms terms;
  mono_time sent_at; // when the request was sent
  bool is_signed = false;
};

// The terms of one endpoint as sent between daemons.
struct peer_terms {
  endpoint_process process;
  std::optional<double> request_rate; // requests/s; nothing: no limit any more
  bool leaving = false;
  std::chrono::milliseconds age{0}; // since the endpoint stated them

  friend bool operator==(const peer_terms&, const peer_terms&) = default;
};

// What to do after receiving terms.
enum class terms_action {
  nothing,
  gossip, // the terms have changed, and peers should get them at once
  reject, // a value is invalid, and nothing was changed
};

// Not thread-safe.
class stated_terms {
 public:
  explicit stated_terms(daemon_id self) : shares_(std::move(self)) {}

  // Sets the daemons that share the rates.
  void set_fleet(fleet_view fleet, mono_time now) { shares_.set_fleet(std::move(fleet), now); }

  // Applies the terms in an answer to a request of this daemon.
  terms_action on_answer(const answer_terms& answer, mono_time now);

  // Applies terms received from a peer.
  terms_action on_peer_terms(const peer_terms& received, mono_time now);

  // Another process of the endpoint has started: statements of the previous one are void.
  void remove(const endpoint_id& id);

  // Removes terms that were not confirmed for a long time. Call this a few times a second.
  void tick(mono_time now);

  // When one more request may be sent to the endpoint: `now`, or later.
  [[nodiscard]] mono_time next_allowed_at(const endpoint_id& id, mono_time now) const;
  // Counts a request to the endpoint against its rate.
  void on_sent(const endpoint_id& id, mono_time now) { shares_.take(id, now); }

  // Whether the process has stated that it is leaving.
  [[nodiscard]] bool is_leaving(const endpoint_process& process) const;

  // Terms of up to `max_count` endpoints for a report to peers: changed terms first, then those of
  // the other endpoints in use, each group in rotation.
  using in_use = std::function<bool(const endpoint_id&)>;
  [[nodiscard]] std::vector<peer_terms> to_gossip(std::size_t max_count, const in_use& is_in_use,
                                                  mono_time now);

  // Number of endpoints that have asked this daemon for a pause that has not ended.
  [[nodiscard]] std::size_t paused_count() const { return paused_until_.size(); }

  // Number of endpoints with a rate limit.
  [[nodiscard]] std::size_t rate_limited_count() const { return shares_.size(); }

 private:
  struct entry {
    std::uint64_t incarnation = 0;
    std::optional<double> request_rate;
    bool leaving = false;
    mono_time stated_at;
    mono_time changed_at;
  };

  using entry_map = std::map<endpoint_id, entry>;

  // The entry of the process; it is cleared first if it was another process of the endpoint.
  entry& entry_of(const endpoint_process& process);
  // Returns true if that changes the entry.
  bool set_rate(const endpoint_id& id, entry& it, std::optional<double> rate, mono_time now);
  static bool set_leaving(entry& it, mono_time now);
  [[nodiscard]] static peer_terms to_peer_terms(const entry_map::value_type& it, mono_time now);

  // Appends selected entries to `out`, starting after the last one sent.
  template <typename predicate>
  void append_round_robin(std::vector<peer_terms>& out, std::size_t max_count,
                          predicate is_selected, mono_time now);

  rate_shares shares_;
  entry_map entries_;
  std::map<endpoint_id, mono_time> paused_until_;
  endpoint_id next_gossiped_; // start of the next rotation
};

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_STATED_TERMS_H_
