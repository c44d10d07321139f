// Base class of the fakes: an HTTP server with JSON requests and replies, and helpers that read
// fields of JSON objects. A fake overrides serve():
//
//   class fake_clock final : public fake_server {
//     boost::asio::awaitable<void> serve(fake_request received, http::response_writer& w) override
//     {
//       co_await send(w, {.body = {{"now", to_unix_ms(wall_now())}}});
//     }
//   };

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

// A parsed request.
struct fake_request {
  std::string method;
  std::string target; // as received
  std::string path;
  std::vector<std::string> segments; // of the path, without the slashes
  http::headers query;
  http::headers fields;
  std::string body_text;
  boost::json::value body; // `body_text` parsed; an empty object unless it is a JSON object

  // Returns whether this is `wanted_method` on exactly `wanted_path`.
  [[nodiscard]] bool is(std::string_view wanted_method, std::string_view wanted_path) const;
};

// A complete reply.
struct fake_reply {
  int status = 200;
  boost::json::value body = boost::json::object();
};

// Returns an error reply with the body {"reason":`reason`}.
[[nodiscard]] fake_reply error_reply(int status, std::string_view reason);

// Base of the fakes. Must outlive the run of its io_context, whose coroutines refer to it: call
// close() to simulate the death of the process instead of destroying the object.
class fake_server {
 public:
  virtual ~fake_server() = default;
  fake_server(const fake_server&) = delete;
  fake_server& operator=(const fake_server&) = delete;

  [[nodiscard]] http::socket_address address() const { return server_.address(); }

  // Closes the listener and every connection, as the death of the process does.
  virtual void close();

 protected:
  // Listens on `listen`; port 0 lets the kernel choose one. The kernel gives a port that close()
  // frees to other programs, so a fake whose address must refuse connections from then on needs a
  // host of its own process, see free_addresses.h.
  fake_server(boost::asio::io_context& context, http::socket_address listen);
  fake_server(boost::asio::io_context& context, std::uint16_t port)
      : fake_server(context, http::socket_address{.port = port})
  {
  }

  // Answers one request. A JSON error or std::invalid_argument that it throws is answered with 400.
  virtual boost::asio::awaitable<void> serve(fake_request received, http::response_writer& w) = 0;

  static boost::asio::awaitable<void> send(http::response_writer& w, fake_reply reply);
  // Suspends the coroutine for `time`; returns at once if it is not positive.
  boost::asio::awaitable<void> async_sleep(std::chrono::milliseconds time);

  boost::asio::io_context& context_;
  bool closed_ = false;

 private:
  boost::asio::awaitable<void> serve_catching_errors(http::request received,
                                                     http::response_writer& w);

  http::server server_;
};

// Reads an optional field of the object `from` into `to`; leaves `to` unchanged without the field.
template <typename field_type>
void read_field(const boost::json::value& from, std::string_view name, field_type& to)
{
  if (const auto* found = from.as_object().if_contains(name)) {
    to = boost::json::value_to<field_type>(*found);
  }
}

// Reads an optional number of milliseconds.
void read_field(const boost::json::value& from, std::string_view name,
                std::chrono::milliseconds& to);

// Returns a string field of `from`, or `fallback` without it.
[[nodiscard]] std::string string_field(const boost::json::value& from, std::string_view name,
                                       std::string_view fallback = {});

// Returns an integer field of `from`, or `fallback` without it.
[[nodiscard]] std::int64_t integer_field(const boost::json::value& from, std::string_view name,
                                         std::int64_t fallback = 0);

// Returns the system time, rounded down to milliseconds.
[[nodiscard]] wall_time wall_now();

} // namespace wisteriaflow::fakes

#endif // WISTERIAFLOW_TEST_FAKES_FAKE_SERVER_H_
