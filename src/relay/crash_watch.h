// Finds out whether an endpoint has ended under a call, and refuses calls whose content is held for
// that; see crash_suspects.h.

#ifndef WISTERIAFLOW_SRC_RELAY_CRASH_WATCH_H_
#define WISTERIAFLOW_SRC_RELAY_CRASH_WATCH_H_

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

  // Why calls like this one are not sent to endpoints; nothing if they are.
  [[nodiscard]] std::optional<gateway::content_hold> hold_of(const admitted_call& call);

 private:
  void note_answer(const admitted_call& call);
  void note_end(const admitted_call& call, const attempt_result& result);

  fleet_state& state_;
  endpoint_probe probe_;
};

} // namespace wisteriaflow::relay

#endif // WISTERIAFLOW_SRC_RELAY_CRASH_WATCH_H_
