// Answers callers: admits a call, sends it to an endpoint, forwards the answer, and retries at
// another endpoint where the route and the retry budget allow it.
//
//   call_relay relay(context, state, peers, transport, origins);
//   co_await relay.serve(std::move(request), writer);

#ifndef WISTERIAFLOW_SRC_RELAY_CALL_RELAY_H_
#define WISTERIAFLOW_SRC_RELAY_CALL_RELAY_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_set>
#include <variant>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "relay/attempt.h"
#include "relay/call_log.h"
#include "relay/crash_detector.h"
#include "relay/endpoint_transport.h"
#include "relay/fleet_state.h"
#include "relay/origin_exchange.h"
#include "relay/peer_sync.h"
#include "wisteriaflow/gateway/attempt_outcome.h"
#include "wisteriaflow/http/server.h"

namespace wisteriaflow::relay {

// Serves the calls of one gateway daemon. Not thread-safe: used on the context's thread.
class call_relay {
 public:
  call_relay(boost::asio::io_context& context, fleet_state& state, peer_sync& peers,
             endpoint_transport& transport, origin_exchange& origins);

  // Answers one call. Errors of the exchange with the caller are counted, not thrown.
  boost::asio::awaitable<void> serve(http::request received, http::response_writer& writer);

  // Number of calls without a final answer.
  [[nodiscard]] std::size_t open_calls() const { return open_calls_; }

  // Ends all admitted calls: each gets its final answer now, which says that its outcome is unknown
  // if it was sent to an endpoint. A stream that has begun is cut.
  void end_open_calls();

 private:
  using admission = std::variant<admitted_call, call_refusal>;

  // Validates the call and makes every admission decision but that on the workspace's quota.
  admission admit(const http::request& received, mono_time now);
  // Sets the call's workspace, priority and quota units by its API key.
  std::optional<call_refusal> resolve_workspace(admitted_call& call) const;
  // The refusal of a call whose content, or a part of whose prompt, is held because it crashed
  // endpoints; nothing if neither is.
  std::optional<call_refusal> check_hold(const admitted_call& call);
  // Charges the call to its workspace's quota. Returns a refusal if the quota is used up.
  boost::asio::awaitable<std::optional<call_refusal>> take_quota(admitted_call& call);
  // Finds the version that started the stream that the call resumes, if it does. Returns a
  // refusal if the version is not known, or if no endpoint runs it any more.
  boost::asio::awaitable<std::optional<call_refusal>> find_version(admitted_call& call);
  // Gives back what the call has taken from its workspace's quota.
  void refund_quota(const admitted_call& call);
  // Takes the call's quota, finds its version and relays it.
  boost::asio::awaitable<void> serve_admitted(std::shared_ptr<admitted_call> call,
                                              http::request received,
                                              http::response_writer& writer);
  boost::asio::awaitable<void> refuse(const http::request& received, call_refusal why,
                                      http::response_writer& writer);
  boost::asio::awaitable<void> relay(std::shared_ptr<admitted_call> call,
                                     http::response_writer& writer);
  // Makes one attempt, or ends the call. Returns whether another attempt must follow.
  boost::asio::awaitable<bool> try_endpoint(admitted_call& call, http::response_writer& writer);
  // Ends the call with the result of its last attempt, or returns true if another attempt must
  // follow.
  boost::asio::awaitable<bool> handle_result(admitted_call& call, attempt_result& last,
                                             http::response_writer& writer);
  // Ends a call that a hold concerns since it was admitted.
  boost::asio::awaitable<void> end_held_call(admitted_call& call, const call_refusal& why,
                                             http::response_writer& writer);
  boost::asio::awaitable<void> send_final_answer(admitted_call& call, attempt_result& last,
                                                 http::response_writer& writer);
  // The caller has been sent the whole stream, and will not resume it.
  void on_stream_completed(const admitted_call& call);
  // Ends the call with an earlier error response of an endpoint, or with an error of the gateway.
  // `why` tells why no endpoint could be chosen, if that is the cause.
  boost::asio::awaitable<void> fail_call(admitted_call& call, http::response_writer& writer,
                                         routing::no_endpoint why = {});
  gateway::pool_choice choose_endpoint(const admitted_call& call);
  // The versions that must not begin or go on with the call's stream, because they are not known to
  // be recorded. Empty for other calls.
  [[nodiscard]] std::vector<std::string> unrecorded_versions(const admitted_call& call,
                                                             mono_time now) const;
  // Chooses among the endpoints of the version that the call is assigned to during a rollout.
  gateway::pool_choice choose_endpoint_by_version(const admitted_call& call,
                                                  gateway::selection_criteria& criteria,
                                                  mono_time now);
  // Picks one of the route's services at random by weight.
  const std::string& pick_service(const gateway::route& r);
  // Whether the call may be sent again. Takes a retry from the service's budget if so.
  bool may_retry(admitted_call& call, const attempt_result& last);

  boost::asio::io_context& context_;
  fleet_state& state_;
  peer_sync& peers_;
  endpoint_transport& transport_;
  origin_exchange& origins_;
  crash_detector crash_detector_;
  call_log log_;
  std::mt19937_64 random_;
  std::size_t open_calls_ = 0;
  std::unordered_set<admitted_call*> admitted_; // those of the open calls that were admitted
};

} // namespace wisteriaflow::relay

#endif // WISTERIAFLOW_SRC_RELAY_CALL_RELAY_H_
