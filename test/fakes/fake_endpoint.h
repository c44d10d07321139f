// A fake endpoint of the platform. It answers with the request's id and a signature, or fails in
// the way that a test selects.
//
//   fake_endpoint endpoint(context, "i-1");
//   endpoint.behaviour = endpoint_behaviour::disconnects;

#ifndef WISTERIAFLOW_TEST_FAKES_FAKE_ENDPOINT_H_
#define WISTERIAFLOW_TEST_FAKES_FAKE_ENDPOINT_H_

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "fakes/fake_server.h"
#include "fakes/free_addresses.h"

namespace wisteriaflow::fakes {

// What the endpoint does with each request.
enum class endpoint_behaviour {
  answers,
  streams,                  // an event stream with ids from 1 to `last_event`
  streams_then_disconnects, // events up to `last_event_before_cut` and a part of one, disconnects
  refuses_not_executed,     // 503 that states that the request was not executed
  answers_misdirected,      // 421, as from an endpoint other than the one the gateway expects
  refuses_without_marker,   // 503 that does not state that the request was not executed
  disconnects,              // runs the request, then closes the connection without an answer
  fails,                    // a signed 500, made by the endpoint itself
  answers_unsigned,         // without the signature header
  answers_wrong_request_id, // with the id of another request
  never_responds,           // holds the request for 30 s without an answer
};

// Whether the prompt of the request has the part, and not as its last one.
[[nodiscard]] bool has_shared_part(const fake_request& r, std::string_view part);

class fake_endpoint final : public fake_server {
 public:
  fake_endpoint(boost::asio::io_context& context, std::string id)
      : fake_server(context, {.host = endpoint_host()}), id_(std::move(id))
  {
  }

  endpoint_behaviour behaviour = endpoint_behaviour::answers;
  int last_event = 6;
  int last_event_before_cut = 3; // of streams_then_disconnects
  // Version of its software. Each event of a stream names it unless it is empty.
  std::string version;
  // Header fields added to each answer: what the endpoint states about itself.
  http::headers extra_headers;
  // Blocks the whole thread for this long before each answer, as a stopped process does.
  std::chrono::milliseconds blocking_delay{0};
  // Time between the head of a stream and its first event.
  std::chrono::milliseconds stream_delay{0};
  // Time before each event of a stream, and before an answer that is not one.
  std::chrono::milliseconds pace{0};
  // A request whose path starts with this closes the endpoint when it begins to run, as a request
  // does that crashes the process; empty: no request does.
  std::string crash_path;
  // It does so after this event of its stream instead; 0: when it begins to run.
  int last_event_before_crash = 0;
  // Id of a part of a prompt. A request with this part, unless it is the last one of its prompt,
  // closes the endpoint when it begins to write the answer; empty: no request does.
  std::string crash_part;
  std::vector<fake_request> received;
  // Requests that it held as never_responds when the gateway closed the connection.
  std::size_t abandoned = 0;
  // Called for each request before `behaviour` is read.
  std::function<void()> on_request = [] {};

  [[nodiscard]] const std::string& id() const { return id_; }
  // Returns whether the simulated process has ended, by a crash request or by close().
  [[nodiscard]] bool has_ended() const { return closed_; }

 private:
  boost::asio::awaitable<void> serve(fake_request r, http::response_writer& w) override;
  boost::asio::awaitable<void> stream(const fake_request& r, http::response_writer& w);
  // Sends the head of a stream and closes this endpoint.
  boost::asio::awaitable<void> crash_at_first_event(const fake_request& r,
                                                    http::response_writer& w);
  // Whether the request closes the endpoint once it has come to this event, 0 for the beginning.
  [[nodiscard]] bool crashes_at(const fake_request& r, int event) const;
  [[nodiscard]] http::response stream_head(const fake_request& r) const;
  [[nodiscard]] http::response build_response(const fake_request& r) const;
  [[nodiscard]] http::response with_extra_headers(http::response answer) const;

  std::string id_;
};

} // namespace wisteriaflow::fakes

#endif // WISTERIAFLOW_TEST_FAKES_FAKE_ENDPOINT_H_
