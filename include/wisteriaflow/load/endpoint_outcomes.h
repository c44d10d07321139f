// Counts of answered and failed calls at endpoints in a sliding window: this daemon's own and those
// that its peers state. In a large fleet one daemon sends a call to a given endpoint only every few
// seconds, so it cannot tell from its own calls that the endpoint fails.
//
//   endpoint_outcomes outcomes({});
//   outcomes.on_result(endpoint, call_result::failed, now);
//   outcomes.on_statement(peer, received, as_of, now);
//   report.outcomes = outcomes.statement(now);
//   const auto evidence = outcomes.evidence(now); // for endpoint_avoidance

#ifndef WISTERIAFLOW_LOAD_ENDPOINT_OUTCOMES_H_
#define WISTERIAFLOW_LOAD_ENDPOINT_OUTCOMES_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <vector>

#include <boost/unordered/unordered_flat_map.hpp>

#include "wisteriaflow/base/ids.h"
#include "wisteriaflow/base/time.h"

namespace wisteriaflow::load {

// Maximum number of endpoints in a statement, and of entries in all statements that are relayed in
// one report.
inline constexpr std::size_t max_stated_endpoints = 24;
inline constexpr std::size_t max_relayed_entries = 24;
// No daemon completes more calls at one endpoint in a window.
inline constexpr std::uint32_t max_stated_calls = 10'000;

enum class call_result {
  answered,
  failed, // an error answer, a refused connection, or an exchange that the endpoint broke off
};

struct outcome_counts {
  std::uint32_t answered = 0;
  std::uint32_t failed = 0;

  [[nodiscard]] std::uint32_t calls() const { return answered + failed; }

  friend bool operator==(const outcome_counts&, const outcome_counts&) = default;
};

using outcome_map = std::map<endpoint_id, outcome_counts>;

// The key under which a statement has the counts of all calls of its daemon.
[[nodiscard]] inline endpoint_id all_calls_key()
{
  return endpoint_id{};
}

// A statement of a daemon, passed on by another one.
struct relayed_outcomes {
  daemon_id daemon;
  std::chrono::milliseconds age{0}; // since the daemon made the statement
  outcome_map counts;

  friend bool operator==(const relayed_outcomes&, const relayed_outcomes&) = default;
};

// What is known of one endpoint from all reporters that are believed.
struct endpoint_evidence {
  outcome_counts counts;
  std::uint32_t failing_reporters = 0; // daemons with a failed call there

  friend bool operator==(const endpoint_evidence&, const endpoint_evidence&) = default;
};

// A hash map: the counts of 390 daemons are added up a few times a second.
using evidence_map =
    boost::unordered_flat_map<endpoint_id, endpoint_evidence, std::hash<endpoint_id>>;

struct fleet_evidence {
  evidence_map endpoints;
  std::size_t disbelieved = 0; // reporters, this daemon included
};

struct endpoint_outcomes_options {
  // Counted are the results of the last `window`, rounded up to `bucket`. A shorter window holds
  // too few calls of an endpoint, a longer one holds too many from before it failed.
  std::chrono::milliseconds window{2'500};
  std::chrono::milliseconds bucket{250};
  // A peer's statement counts for this long after it was made, the time in which reports travel
  // through a large fleet.
  std::chrono::milliseconds statement_ttl{3'000};
  // A reporter is disbelieved if the share of all its calls that failed exceeds the median of the
  // reporters by this much: its own network is probably the cause. Fewer calls than
  // `min_judged_calls` say nothing about a reporter.
  double disbelief_excess = 0.5;
  std::uint32_t min_judged_calls = 5;
  // An endpoint is in question from its first known failure until none was known for this long.
  // Answered calls from more than `failure_delay` before do not count: they would hide that it
  // has begun to fail.
  std::chrono::milliseconds question_ttl{10'000};
  // Typical time from a failed call at a daemon until its peers know of it.
  std::chrono::milliseconds failure_delay{750};
};

// Not thread-safe.
class endpoint_outcomes {
 public:
  explicit endpoint_outcomes(endpoint_outcomes_options options) : options_(options) {}

  // Counts the result of one of this daemon's own calls. Each call counts once.
  void on_result(const endpoint_id& id, call_result result, mono_time now);

  // Replaces a peer's statement by what it stated at `as_of`. A statement that is not newer than
  // the present one is ignored, so that relayed and repeated reports count once.
  void on_statement(const daemon_id& peer, outcome_map counts, mono_time as_of, mono_time now);

  // Drops all counts of an endpoint that is gone or has restarted. Statements made within one
  // window from `now` may be about the previous process and are ignored for this endpoint.
  void forget(const endpoint_id& id, mono_time now);

  // Drops what is no longer valid. Call this a few times a second.
  void update(mono_time now);

  // This daemon's counts for peers: of the endpoints in question, at most `max_stated_endpoints`,
  // those with the most failures first, and under `all_calls_key` those of all its calls. Its
  // answered calls at an endpoint that fails for others belong to it: without them, every such
  // endpoint would seem to fail all calls.
  [[nodiscard]] outcome_map statement(mono_time now) const;

  // Complete statements of peers to pass on, the most recent ones first, with at most
  // `max_relayed_entries` entries together.
  [[nodiscard]] std::vector<relayed_outcomes> to_relay(mono_time now) const;

  // The sums over this daemon and the peers that are believed.
  [[nodiscard]] fleet_evidence evidence(mono_time now) const;

 private:
  struct bucket {
    mono_time start;
    outcome_counts counts;
  };
  struct peer_statement {
    outcome_map counts;
    mono_time as_of;
  };

  struct question {
    mono_time since;
    mono_time until; // unless further failures become known
  };

  void put_in_question(const endpoint_id& id, mono_time now);
  // Counts in the window; the answered ones from `answered_since` on.
  [[nodiscard]] outcome_counts own_counts(const std::deque<bucket>& buckets,
                                          mono_time answered_since, mono_time now) const;
  // Counts of the endpoints in question and of all calls.
  [[nodiscard]] outcome_map own_counts(mono_time now) const;
  [[nodiscard]] bool is_valid(const peer_statement& it, mono_time now) const
  {
    return now < it.as_of + options_.statement_ttl;
  }
  // Whether each of these reporters is believed.
  [[nodiscard]] std::vector<bool> believed(const std::vector<const outcome_map*>& reporters) const;

  endpoint_outcomes_options options_;
  std::map<endpoint_id, std::deque<bucket>> own_;
  std::map<daemon_id, peer_statement> peers_;
  std::map<endpoint_id, mono_time> ignored_until_; // statements made before are not used
  std::map<endpoint_id, question> in_question_;
};

} // namespace wisteriaflow::load

#endif // WISTERIAFLOW_LOAD_ENDPOINT_OUTCOMES_H_
