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
  // Why a call is not admitted.
  struct refusal {
    int status = 0;
    std::string reason;
    std::optional<mono_time> retry_at;
    log_fields inputs = {}; // what decided it, for the log
  };

  using admission = std::variant<admitted_call, refusal>;

  // Everything but the workspace's rate.
  admission admit(const http::request& received, mono_time now);
  std::optional<refusal> find_workspace(admitted_call& call) const;
  // Why a call is refused whose like have ended endpoints.
  std::optional<refusal> held_refusal(const admitted_call& call);
  boost::asio::awaitable<std::optional<refusal>> take_quota(admitted_call& call);
  boost::asio::awaitable<void> refuse(const http::request& received, refusal why,
                                      http::response_writer& writer);
  boost::asio::awaitable<void> relay(std::shared_ptr<admitted_call> call,
                                     http::response_writer& writer);
  // Sends the call to one endpoint after another until one has it or none is left.
  boost::asio::awaitable<void> try_endpoints(std::shared_ptr<admitted_call> call,
                                             http::response_writer& writer);
  // Ends a call whose content has come to be held since it was admitted.
  boost::asio::awaitable<void> end_held(admitted_call& call, const refusal& why,
                                        http::response_writer& writer);
  boost::asio::awaitable<void> finish(admitted_call& call, attempt_result& last,
                                      http::response_writer& writer);
  // `open_at`: when there will be room for it, if that is known.
  boost::asio::awaitable<void> give_up(admitted_call& call, http::response_writer& writer,
                                       std::optional<mono_time> open_at = std::nullopt);
  gateway::pool_choice choose(const admitted_call& call);
  const std::string& draw_service(const gateway::route& r);
  bool may_repeat(const admitted_call& call, const attempt_result& last);
  void note_given_up(const admitted_call& call, const std::string& status,
                     std::optional<mono_time> open_at, mono_time now);
  void count_answer(const admitted_call& call, const std::string& status);
  void log_refusal(const http::request& received, const refusal& why);
  void note_attempt(const admitted_call& call, const attempt_result& result);

  boost::asio::io_context& context_;
  fleet_state& state_;
  peer_sync& peers_;
  http::client client_;
  crash_watch crashes_;
  std::mt19937_64 random_;
  std::size_t open_calls_ = 0;
};

} // namespace wisteriaflow::relay

#endif // WISTERIAFLOW_SRC_RELAY_CALL_RELAY_H_
