// One attempt of a call: sends it to one endpoint, reads and classifies the response, and forwards
// the events of a stream as they arrive.
//
//   attempt one(context, state, transport, origins, call, std::move(endpoint));
//   const auto result = co_await one.run(writer);

#ifndef WISTERIAFLOW_SRC_RELAY_ATTEMPT_H_
#define WISTERIAFLOW_SRC_RELAY_ATTEMPT_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "relay/deadline_timer.h"
#include "relay/endpoint_transport.h"
#include "relay/fleet_state.h"
#include "relay/origin_exchange.h"
#include "wisteriaflow/gateway/answer_progress.h"
#include "wisteriaflow/gateway/attempt_outcome.h"
#include "wisteriaflow/gateway/call.h"
#include "wisteriaflow/gateway/crash_suspect.h"
#include "wisteriaflow/gateway/event_splitter.h"
#include "wisteriaflow/gateway/running_answers.h"
#include "wisteriaflow/gateway/version_history.h"
#include "wisteriaflow/http/client.h"
#include "wisteriaflow/http/server.h"
#include "wisteriaflow/load/rank.h"

namespace wisteriaflow::relay {

// An admitted call and the state of its attempts so far.
struct admitted_call {
  http::request received;
  gateway::call_description description;
  std::shared_ptr<const gateway::configuration_index> configuration; // keeps `route` alive
  const gateway::route* route = nullptr;
  workspace_id workspace; // empty on a public route without an API key, or without workspaces
  gateway::content_id content;
  gateway::suspicions suspects; // the content and the parts of the prompt; see crash_suspect.h
  double quota_units = 0;       // charged to the workspace's quota, at this rank
  load::rank_class quota_rank = load::rank_class::urgent;
  int priority = 0;          // of the workspace, or else of the route
  unsigned engine_level = 0; // see configuration_index::engine_level
  std::string service;       // picked by weight from the route's services
  mono_time received_at;
  mono_time deadline; // the earlier of the caller's deadline and the route's timeout

  gateway::attempt_history history;
  // A complete error response of an endpoint. It is forwarded unless a retry gets a better one.
  std::optional<http::response> failure_response;
  std::vector<endpoint_id> excluded; // endpoints of earlier attempts
  std::vector<endpoint_id> unsent;   // those among `excluded` whose links failed
  unsigned connect_failures = 0;     // attempts with which nothing was sent
  unsigned link_failures = 0;        // those of them that this daemon could have sent itself

  // The head of a stream has been forwarded to the caller.
  bool stream_started = false;
  std::optional<std::uint64_t> last_event_id; // id of the last event that was forwarded
  // The version that started the stream, at which alone it may go on. Set from the first event on,
  // and from the beginning for a call that resumes a stream.
  std::optional<gateway::service_version> stream_version;
  bool usage_counted = false; // the call is counted in its workspace's usage

  bool caller_gone = false;
  bool has_retry = false;    // taken from the service's budget for the next attempt
  bool is_abandoned = false; // this daemon's process ends before the endpoint's answer
  std::shared_ptr<http::cancel_handle> exchange; // of the current attempt

  [[nodiscard]] bool is_resumable_stream() const
  {
    return route->kind == gateway::call_kind::stream && route->resumable;
  }
};

// What crashes an endpoint when it begins to write an answer has done so by this time after the
// first event.
inline constexpr std::chrono::milliseconds well_begun_time{1'000};

// How one attempt ended.
struct attempt_result {
  enum class end_state {
    not_sent,            // no connection: nothing was sent
    complete,            // a complete response that is not a stream
    stream_complete,     // a stream that ended with its last event
    interrupted,         // incomplete; `silent` is set if this daemon cancelled it for lack of data
    caller_disconnected, // the caller disconnected or does not read
  };

  end_state end = end_state::interrupted;
  gateway::endpoint_process endpoint;
  std::string version; // of the endpoint's software; empty: not stated
  // Age of the knowledge of departures with which the endpoint was chosen.
  std::chrono::milliseconds view_age{0};
  http::socket_address address;   // of the endpoint
  std::optional<daemon_id> relay; // the peer that carried the exchange, if one did
  // The endpoint that it was directed to copy the prompt's shared prefix from.
  std::optional<http::socket_address> prefix_source;
  bool silent = false; // cancelled because the endpoint sent nothing or had restarted
  bool timed_out = false;
  bool closed_by_endpoint = false; // the endpoint, not this daemon, ended the exchange
  // Why it failed. Set if the exchange broke off or no connection was opened.
  failure_cause cause = failure_cause::endpoint;
  bool response_started = false;     // an event, or the head of a non-stream response, was received
  bool well_begun = false;           // see attempt::on_well_begun
  gateway::answer_progress progress; // of a stream, when the exchange ended
  std::string reason;                // why it failed; empty if it did not
  std::string_view
      end_evidence; // see gateway::end_evidence; empty if a peer judged the end of the answer
  gateway::attempt_outcome outcome = gateway::attempt_outcome::no_valid_answer;
  bool head_received = false;
  bool had_place = true;                 // see pooled_endpoint::has_place
  gateway::endpoint_statement statement; // what the endpoint stated of itself in the head
  // The head, and the body of a response that is not a stream. Unset unless `head_received`.
  http::response answer;
};

// Sends `call` to one endpoint. An object runs one attempt: `run` must be called once only.
// `context`, `state`, `transport`, `origins` and `call` must outlive it. Not thread-safe.
class attempt {
 public:
  attempt(boost::asio::io_context& context, fleet_state& state, endpoint_transport& transport,
          origin_exchange& origins, admitted_call& call, gateway::pooled_endpoint endpoint);

  attempt(const attempt&) = delete;
  attempt& operator=(const attempt&) = delete;
  ~attempt() = default;

  // Sets a callback that runs once the endpoint has written a stream for well_begun_time.
  void on_well_begun(std::function<void()> callback) { on_well_begun_ = std::move(callback); }

  // Runs the attempt to its end and writes a stream's events to `writer` as they arrive. Reports
  // how the endpoint did to the endpoint pool. Failures of the exchange are in the result.
  boost::asio::awaitable<attempt_result> run(http::response_writer& writer);

 private:
  void on_head(const http::response& head);
  boost::asio::awaitable<void> on_body_bytes(std::string_view bytes, http::response_writer& writer);
  boost::asio::awaitable<void> forward_events(std::vector<gateway::stream_event> events,
                                              http::response_writer& writer);
  // Binds the stream to the endpoint's version before its first event is forwarded. Throws if that
  // fails, or if the endpoint turns out to have another version than the stream.
  boost::asio::awaitable<void> bind_version();
  // The stream of the request with this id, started by the call's version.
  [[nodiscard]] started_stream stream_of(const std::string& request_id) const;
  // Schedules check_silence() one silence_interval() from now.
  void arm_silence_timer();
  // Reports an endpoint that has sent nothing for too long, and cancels the attempt if the call can
  // be retried at another endpoint.
  void check_silence();
  [[nodiscard]] std::chrono::milliseconds silence_interval() const;
  [[nodiscard]] bool can_retry_elsewhere() const;
  // Whether the service has an endpoint that the call was not sent to and that may continue it.
  [[nodiscard]] bool has_other_endpoint() const;
  // Cancels the exchange if the call may be sent to another endpoint, and takes a retry for it from
  // the service's budget; returns whether it did. Without a retry the answer may still come.
  bool leave_for_retry();
  void update_endpoint_health(mono_time now);
  // Records success and latencies for the version of the service that the endpoint runs.
  void record_version_outcome(mono_time now);
  void end_version_call(const gateway::call_outcome& outcome);
  [[nodiscard]] gateway::call_attempt placement() const;
  // Counts the call for the estimate that the fleet shares of the endpoint.
  void count_outcome(load::call_result result, mono_time now);
  void record_endpoint_failure(gateway::endpoint_failure kind, mono_time now);
  void on_response_started();
  // Where the answer begins: at its first event, or after those that an earlier attempt brought.
  [[nodiscard]] gateway::answer_progress initial_progress() const;
  void update_progress();
  // Runs the callback of on_well_begun() when it is due.
  void check_well_begun();
  // Counts the prompt tokens that an attempt after the first sends again.
  void count_retry();
  // Derives how the attempt ended from the response and from the way the exchange ended.
  [[nodiscard]] endpoint_transport::own_link own_link() const;
  // Ends the attempt: no sound endpoint sends this much.
  [[noreturn]] void abort_oversized(const char* reason);
  void classify_end();
  // Frees the place that the attempt had at the endpoint, or reports how it was passed on.
  void release_place();
  // Ends the attempt as interrupted unless its answer is known to be whole.
  boost::asio::awaitable<void> check_cut_off();
  // Whether the exchange broke off in a way that the endpoint, or the link to it, may have caused.
  [[nodiscard]] bool needs_cause() const;
  // Whether the link to the endpoint was lost while this attempt used it.
  [[nodiscard]] bool lost_link() const;
  void record_outcome();

  fleet_state& state_;
  endpoint_transport& transport_;
  origin_exchange& origins_;
  admitted_call& call_;
  gateway::pooled_endpoint endpoint_;
  deadline_timer silence_timer_;
  gateway::answer_progress progress_;
  std::optional<gateway::running_answers::entry> running_; // while the exchange lasts
  mono_time sent_at_;
  mono_time last_received_at_;
  std::optional<mono_time> first_event_at_;
  gateway::event_splitter splitter_;
  gateway::answer_head head_;
  std::uint64_t event_count_ = 0;
  bool response_started_ = false; // see attempt_result
  bool streaming_ = false;
  bool version_bound_ = false;   // see bind_version
  bool event_missing_ = false;   // an event id was skipped
  bool outcome_counted_ = false; // see count_outcome
  bool caller_write_failed_ = false;
  std::function<void()> on_well_begun_ = [] {};
  attempt_result result_;
};

} // namespace wisteriaflow::relay

#endif // WISTERIAFLOW_SRC_RELAY_ATTEMPT_H_
