// Answers callers: admits a call, sends it to an endpoint, passes the answer on, and goes on
// elsewhere where that is allowed.

#ifndef WISTERIAFLOW_SRC_RELAY_CALL_RELAY_H_
#define WISTERIAFLOW_SRC_RELAY_CALL_RELAY_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "relay/attempt.h"
#include "relay/call_log.h"
#include "relay/crash_watch.h"
#include "relay/fleet_state.h"
#include "relay/peer_sync.h"
#include "wisteriaflow/gateway/answer_verdict.h"
#include "wisteriaflow/http/client.h"
#include "wisteriaflow/http/server.h"

namespace wisteriaflow::relay {

// Not thread-safe.
class call_relay {
 public:
  call_relay(boost::asio::io_context& context, fleet_state& state, peer_sync& peers);

  // Answers one call of a caller.
  boost::asio::awaitable<void> serve(http::request received, http::response_writer& writer);

  // Calls that have no final answer yet.
  [[nodiscard]] std::size_t open_calls() const { return open_calls_; }

  [[nodiscard]] std::uint64_t connections_opened() const { return client_.connections_opened(); }

 private:
  using admission = std::variant<admitted_call, call_refusal>;

  // Everything but the workspace's rate.
  admission admit(const http::request& received, mono_time now);
  std::optional<call_refusal> find_workspace(admitted_call& call) const;
  // Why a call is refused whose like have ended endpoints.
  std::optional<call_refusal> held_refusal(const admitted_call& call);
  boost::asio::awaitable<std::optional<call_refusal>> take_quota(admitted_call& call);
  boost::asio::awaitable<void> refuse(const http::request& received, call_refusal why,
                                      http::response_writer& writer);
  boost::asio::awaitable<void> relay(std::shared_ptr<admitted_call> call,
                                     http::response_writer& writer);
  // Sends the call to one endpoint, or ends it. True if it is to be sent to another one.
  boost::asio::awaitable<bool> try_endpoint(admitted_call& call, http::response_writer& writer);
  // Ends the call by its last attempt, unless it is to be sent to another endpoint: then true.
  boost::asio::awaitable<bool> conclude(admitted_call& call, attempt_result& last,
                                        http::response_writer& writer);
  // Ends a call whose content has come to be held since it was admitted.
  boost::asio::awaitable<void> end_held(admitted_call& call, const call_refusal& why,
                                        http::response_writer& writer);
  boost::asio::awaitable<void> finish(admitted_call& call, attempt_result& last,
                                      http::response_writer& writer);
  // `why`: what stood in the way of a further attempt, if it was that.
  boost::asio::awaitable<void> give_up(admitted_call& call, http::response_writer& writer,
                                       routing::no_endpoint why = {});
  gateway::pool_choice choose(const admitted_call& call);
  // Among the endpoints of the version that the call goes to while a roll-out is under way.
  gateway::pool_choice choose_version(const admitted_call& call, gateway::selection_criteria& wish,
                                      mono_time now);
  const std::string& draw_service(const gateway::route& r);
  bool may_repeat(const admitted_call& call, const attempt_result& last);

  boost::asio::io_context& context_;
  fleet_state& state_;
  peer_sync& peers_;
  http::client client_;
  crash_watch crashes_;
  call_log log_;
  std::mt19937_64 random_;
  std::size_t open_calls_ = 0;
};

} // namespace wisteriaflow::relay

#endif // WISTERIAFLOW_SRC_RELAY_CALL_RELAY_H_
