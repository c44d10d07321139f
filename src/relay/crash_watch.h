// Finds out whether an endpoint has ended under a call, and says which calls are not to be sent for
// that; see crash_suspects.h.

#ifndef WISTERIAFLOW_SRC_RELAY_CRASH_WATCH_H_
#define WISTERIAFLOW_SRC_RELAY_CRASH_WATCH_H_

#include <map>
#include <memory>
#include <optional>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "relay/attempt.h"
#include "relay/endpoint_probe.h"
#include "relay/fleet_state.h"
#include "wisteriaflow/gateway/crash_suspects.h"

namespace wisteriaflow::relay {

// Not thread-safe.
class crash_watch {
 public:
  crash_watch(boost::asio::io_context& context, fleet_state& state) : state_(state), probe_(context)
  {
  }

  // An attempt is over. If its endpoint broke it off, returns when it is known whether the endpoint
  // has ended, so that what is decided next can go by it.
  boost::asio::awaitable<void> on_attempt(const admitted_call& call, const attempt_result& result);

  // Why the call is not to be sent; nothing if it may be.
  [[nodiscard]] std::optional<gateway::content_hold> hold_of(const admitted_call& call);

  // A call of a held content that is sent all the same. Nothing of the kind is sent here for as
  // long as this lives.
  using trial = std::shared_ptr<const gateway::content_id>;

  // Notes that the call is sent now. Null unless it is a trial.
  [[nodiscard]] trial begin(const admitted_call& call);

 private:
  void note_answer(const admitted_call& call);
  void note_end(const admitted_call& call, const attempt_result& result);

  [[nodiscard]] bool is_trial_due(const gateway::content_id& content, wall_time try_at);

  fleet_state& state_;
  endpoint_probe probe_;
  std::map<gateway::content_id, std::weak_ptr<const gateway::content_id>> trials_;
};

} // namespace wisteriaflow::relay

#endif // WISTERIAFLOW_SRC_RELAY_CRASH_WATCH_H_
