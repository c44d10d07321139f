// An endpoint of the platform: answers with the request's id and a signature, or misbehaves as
// told.

#ifndef WISTERIAFLOW_TEST_FAKES_FAKE_ENDPOINT_H_
#define WISTERIAFLOW_TEST_FAKES_FAKE_ENDPOINT_H_

#include <functional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "fakes/fake_server.h"

namespace wisteriaflow::fakes {

// What the endpoint does with a request.
enum class endpoint_mood {
  answers,
  streams,            // six events, ids 1 to 6
  streams_and_cuts,   // three whole events and a part of the fourth
  sheds,              // refuses as not run
  is_another,         // as an endpoint does that is not the one expected
  refuses_unpromised, // 503 without saying that it did not run the request
  cuts,               // runs the request, then closes the connection
  fails,              // its own 500
  answers_unsigned,
  answers_for_another,
  says_nothing, // holds the request
};

class fake_endpoint final : public fake_server {
 public:
  fake_endpoint(boost::asio::io_context& context, std::string id)
      : fake_server(context, 0), id_(std::move(id))
  {
  }

  endpoint_mood mood = endpoint_mood::answers;
  // What it says of itself: fields that each of its answers carries besides.
  http::headers statements;
  // Holds up the whole thread for this long before an answer, as a stopped process does.
  std::chrono::milliseconds stall{0};
  // A request below this path ends the process as soon as it begins to run; empty: none does.
  std::string deadly_path;
  std::vector<fake_request> received;
  // Called with each request, before the mood is looked at.
  std::function<void()> on_request = [] {};

  [[nodiscard]] const std::string& id() const { return id_; }
  // Whether the process has ended, by a request or by close().
  [[nodiscard]] bool has_ended() const { return dead_; }

 private:
  boost::asio::awaitable<void> serve(fake_request r, http::response_writer& w) override;
  boost::asio::awaitable<void> stream(const fake_request& r, http::response_writer& w);
  [[nodiscard]] http::response whole_answer(const fake_request& r) const;
  [[nodiscard]] http::response with_statements(http::response answer) const;

  std::string id_;
};

} // namespace wisteriaflow::fakes

#endif // WISTERIAFLOW_TEST_FAKES_FAKE_ENDPOINT_H_
