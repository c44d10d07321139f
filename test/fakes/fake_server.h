// What the fakes share: an HTTP server whose requests and replies are JSON.

#ifndef WISTERIAFLOW_TEST_FAKES_FAKE_SERVER_H_
#define WISTERIAFLOW_TEST_FAKES_FAKE_SERVER_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json/value.hpp>
#include <boost/json/value_to.hpp>

#include "wisteriaflow/base/time.h"
#include "wisteriaflow/http/server.h"

namespace wisteriaflow::fakes {

// A request, taken apart.
struct fake_request {
  std::string method;
  std::string path;
  std::vector<std::string> segments; // of the path
  http::headers query;
  http::headers fields;
  std::string text;
  boost::json::value body; // `text` parsed; an empty object if it is not JSON

  // Whether this is `wanted_method` on exactly `wanted_path`.
  [[nodiscard]] bool is(std::string_view wanted_method, std::string_view wanted_path) const;
};

// A whole reply.
struct fake_reply {
  int status = 200;
  boost::json::value body = boost::json::object();
};

// A refusal with a body {"reason":`reason`}.
[[nodiscard]] fake_reply refusal(int status, std::string_view reason);

// Base of the fakes. Lives as long as its context runs: to let one die, call close().
class fake_server {
 public:
  virtual ~fake_server() = default;
  fake_server(const fake_server&) = delete;
  fake_server& operator=(const fake_server&) = delete;

  [[nodiscard]] http::socket_address address() const { return server_.address(); }

  // Closes the listener and every connection, as when the process dies.
  virtual void close();

 protected:
  fake_server(boost::asio::io_context& context, std::uint16_t port);

  // Answers one request. A JSON error that escapes becomes a 400.
  virtual boost::asio::awaitable<void> serve(fake_request received, http::response_writer& w) = 0;

  static boost::asio::awaitable<void> send(http::response_writer& w, fake_reply reply);
  boost::asio::awaitable<void> pause(std::chrono::milliseconds time);

  boost::asio::io_context& context_;
  bool dead_ = false;

 private:
  boost::asio::awaitable<void> serve_checked(http::request received, http::response_writer& w);

  http::server server_;
};

// Reads an optional field of `from` into `to`, if it is there.
template <typename field_type>
void read_field(const boost::json::value& from, std::string_view name, field_type& to)
{
  if (const auto* found = from.as_object().if_contains(name)) {
    to = boost::json::value_to<field_type>(*found);
  }
}

// Reads a number of milliseconds, if it is there.
void read_field(const boost::json::value& from, std::string_view name,
                std::chrono::milliseconds& to);

// A text field of `from`, or `fallback`.
[[nodiscard]] std::string text_of(const boost::json::value& from, std::string_view name,
                                  std::string_view fallback = {});

// A whole-number field of `from`, or `fallback`.
[[nodiscard]] std::int64_t number_of(const boost::json::value& from, std::string_view name,
                                     std::int64_t fallback = 0);

[[nodiscard]] wall_time wall_now();

} // namespace wisteriaflow::fakes

#endif // WISTERIAFLOW_TEST_FAKES_FAKE_SERVER_H_
