// One sending of a call to one endpoint: reads the answer, judges it, and passes a stream's events
// on as they come.

#ifndef WISTERIAFLOW_SRC_RELAY_ATTEMPT_H_
#define WISTERIAFLOW_SRC_RELAY_ATTEMPT_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "relay/deadline_watch.h"
#include "relay/fleet_state.h"
#include "wisteriaflow/gateway/answer_verdict.h"
#include "wisteriaflow/gateway/call.h"
#include "wisteriaflow/gateway/event_splitter.h"
#include "wisteriaflow/gateway/request_content.h"
#include "wisteriaflow/http/client.h"
#include "wisteriaflow/http/server.h"

namespace wisteriaflow::relay {

// A call that was admitted, with what it has been through.
struct admitted_call {
  http::request received;
  gateway::call_description description;
  std::shared_ptr<const gateway::configuration_index> configuration; // keeps `route` alive
  const gateway::route* route = nullptr;
  workspace_id workspace; // empty: none
  gateway::content_id content;
  double quota_units = 0; // taken from the workspace's rate
  int priority = 0;
  std::string service; // drawn among the route's
  mono_time received_at;
  mono_time deadline; // of the caller and of the route, whichever is sooner

  gateway::attempt_history history;
  // An endpoint's own failure, whole. It is passed on unless a repeat does better.
  std::optional<http::response> failure;
  std::vector<endpoint_id> excluded; // endpoints that it was sent to
  unsigned connect_failures = 0;

  // The answer that has begun: a stream's head has been passed on.
  bool answer_begun = false;
  std::optional<std::uint64_t> last_event; // id of the last event passed on
  bool counted = false;                    // in the usage of its workspace

  bool caller_gone = false;
  std::shared_ptr<http::exchange> exchange; // of the attempt under way
};

// How one attempt ended.
struct attempt_result {
  enum class end {
    not_sent,     // no connection: not a byte left
    whole,        // a whole answer that is not a stream
    stream_ended, // a stream that ended properly
    cut,          // broke off; `silent` says that the endpoint said nothing for too long
    caller_lost,  // the caller has gone, or does not read
  };

  end how = end::cut;
  gateway::endpoint_process endpoint;
  http::socket_address address; // of the endpoint
  // Whom the endpoint was told to copy the prompt's shared parts from.
  std::optional<http::socket_address> prefix_source;
  bool silent = false;
  bool timed_out = false;
  bool broke_off = false; // the endpoint ended the exchange, not this daemon
  bool begun = false;     // events or a whole answer had come
  std::string reason;     // of a failure
  gateway::attempt_outcome outcome = gateway::attempt_outcome::broken;
  bool head_came = false;
  gateway::endpoint_statement statement; // of the endpoint, in that head
  http::response answer; // head, and the body if it is whole; says nothing if no head came
};

// Sends `call` to one endpoint. Lives for one call of `run`.
class attempt {
 public:
  attempt(boost::asio::io_context& context, fleet_state& state, http::client& client,
          admitted_call& call, gateway::pooled_endpoint endpoint);

  attempt(const attempt&) = delete;
  attempt& operator=(const attempt&) = delete;
  ~attempt() = default;

  // Runs the attempt to its end. A stream's events go to `writer` on the way.
  boost::asio::awaitable<attempt_result> run(http::response_writer& writer);

 private:
  void on_head(const http::response& head);
  void note_statement();
  boost::asio::awaitable<void> on_bytes(std::string_view bytes, http::response_writer& writer);
  boost::asio::awaitable<void> pass_on(std::vector<gateway::stream_event> events,
                                       http::response_writer& writer);
  // Notes an endpoint that says nothing for too long, and ends the attempt if it can go elsewhere.
  void watch_silence();
  void on_silence_check();
  [[nodiscard]] std::chrono::milliseconds expected_silence() const;
  [[nodiscard]] bool may_give_up() const;
  void note_health(mono_time now);
  // Tells how the call fared on the endpoint's version.
  void note_version(mono_time now);
  void end_version(const gateway::call_outcome& outcome);
  [[nodiscard]] gateway::call_attempt placed() const;
  void note_trouble(gateway::endpoint_failure kind, mono_time now);
  void note_begin();
  // Counts what an attempt after the first costs.
  void count_repetition();
  attempt_result conclude();

  fleet_state& state_;
  http::client& client_;
  admitted_call& call_;
  gateway::pooled_endpoint endpoint_;
  deadline_watch silence_;
  mono_time sent_at_;
  mono_time heard_at_;
  std::optional<mono_time> first_event_at_;
  gateway::event_splitter splitter_;
  gateway::answer_head head_;
  std::uint64_t events_ = 0;
  bool begun_ = false; // the first event, or the head of a whole answer, has come
  bool streaming_ = false;
  bool gap_ = false; // an event was missing
  bool caller_failed_ = false;
  attempt_result result_;
};

} // namespace wisteriaflow::relay

#endif // WISTERIAFLOW_SRC_RELAY_ATTEMPT_H_
