// The executor's side of one claim: asks the shard's owner until the claim is granted, held by
// another executor, or given up, and says at last what is to become of the request.
//
// Once it has given up it never dispatches, whatever arrives later, so the executor may tell peers
// that ask (RequestQuery) "not run" for this nonce. An executor that does not know a nonce, as
// after a restart, must answer "outcome unknown".
//
//   claim_asker asker({.request = request, .deadline = deadline, .settings = {}, .seed = random});
//   for (const auto& action : asker.handle(ask_started{}, now)) { … }

#ifndef WISTERIAFLOW_CLAIMS_CLAIM_ASKER_H_
#define WISTERIAFLOW_CLAIMS_CLAIM_ASKER_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

#include "wisteriaflow/base/time.h"
#include "wisteriaflow/claims/claim.h"

namespace wisteriaflow::claims {

// What another executor says of a request; mirrors RequestState of the peer protocol.
enum class request_standing {
  in_flight,
  answered,
  not_run, // and never will be under that nonce
  outcome_unknown,
};

// Begins; the first event.
struct ask_started {};
// The ask was not answered.
struct ask_lost {};
// An executor's answer to query_executor.
struct executor_answered {
  request_standing standing = request_standing::outcome_unknown;
};
// query_executor was not answered.
struct query_lost {};
// Time has passed: due at claim_asker::wake_at().
struct ask_tick {};
// The executor gives the request up, as when its caller has cancelled it.
struct ask_cancelled {};

using asker_event = std::variant<ask_started, claim_reply, ask_lost, executor_answered, query_lost,
                                 ask_tick, ask_cancelled>;

// Ask `owner`, or the preferred owner of the shard if that is empty.
struct ask_owner {
  daemon_id owner;
  claim_request request;
};

// Ask another executor what has become of the request it claimed under `nonce`.
struct query_executor {
  daemon_id executor;
  hash128 key;
  std::uint64_t nonce = 0;
};

// Final: run the request now. Given at most once, and never after the deadline.
struct dispatch_claimed {
  std::uint64_t nonce = 0;
};

// Final: another executor has the request in flight or its answer kept.
struct follow_executor {
  daemon_id executor;
  std::uint64_t nonce = 0;
  request_standing standing = request_standing::in_flight;
};

enum class refusal_reason { deadline_passed, unavailable, cancelled };

// Final: not run under this nonce, nor will it be. `key_free` says whether no other claim of the
// key was known either; without it an earlier submission of the key may have run.
struct refuse_claim {
  refusal_reason reason = refusal_reason::unavailable;
  bool key_free = false;
};

// Final: the key was run, or may have been, under a claim that nobody can account for.
struct report_unknown {};

// Final: the key was used with another body.
struct report_body_mismatch {};

using asker_action = std::variant<ask_owner, query_executor, dispatch_claimed, follow_executor,
                                  refuse_claim, report_unknown, report_body_mismatch>;

struct asker_options {
  claim_request request;
  mono_time deadline;
  claim_settings settings;
  std::uint64_t seed = 0;
};

class claim_asker {
 public:
  explicit claim_asker(asker_options options);
  claim_asker(const claim_asker&) = delete;
  claim_asker& operator=(const claim_asker&) = delete;
  claim_asker(claim_asker&&) noexcept;
  claim_asker& operator=(claim_asker&&) noexcept;
  ~claim_asker();

  // Takes one event and returns what is to be done.
  [[nodiscard]] std::vector<asker_action> handle(const asker_event& event, clock_reading now);

  // When the next tick is due; nothing once a final action was given.
  [[nodiscard]] std::optional<mono_time> wake_at() const;

  // Whether a final action was given.
  [[nodiscard]] bool finished() const;

  // Whether the request was dispatched under this claim. Once finished and not dispatched, it
  // never will be.
  [[nodiscard]] bool dispatched() const;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

} // namespace wisteriaflow::claims

#endif // WISTERIAFLOW_CLAIMS_CLAIM_ASKER_H_
