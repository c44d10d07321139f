#include "system/caller.h"

#include <array>
#include <chrono>
#include <cstdio>
#include <random>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value_to.hpp>

#include "wisteriaflow/base/time.h"
#include "wisteriaflow/http/client.h"
#include "wisteriaflow/http/errors.h"

namespace wisteriaflow::system_tests {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr std::chrono::seconds call_timeout{120};
constexpr int status_see_other = 303;
constexpr int max_redirects = 10;
constexpr std::string_view scheme = "http://";

asio::awaitable<void> exchange_once(http::client& client, http::socket_address to,
                                    http::request message, http::stream_observer observer,
                                    reply& out)
{
  const auto deadline = std::chrono::steady_clock::now() + call_timeout;
  try {
    co_await client.stream(to, message, deadline, observer);
    out.connected = true;
    out.is_complete = true;
  } catch (const http::connect_error&) {
    out.connected = false;
  } catch (const http::http_error&) {
    out.connected = true;
  }
}

// Parses complete server-sent events from the bytes received and adds them to a streamed_answer.
class sse_reader {
 public:
  sse_reader(streamed_answer& out, std::atomic<int>* token_count)
      : out_(out), token_counter_(token_count)
  {
  }

  void feed(std::string_view bytes)
  {
    buffer_ += bytes;
    for (auto end = buffer_.find("\n\n"); end != std::string::npos; end = buffer_.find("\n\n")) {
      handle_event(buffer_.substr(0, end));
      buffer_.erase(0, end + 2);
    }
  }

  void reset() { buffer_.clear(); }
  [[nodiscard]] std::string take_location() { return std::exchange(location_, {}); }

 private:
  static std::string sse_field(const std::string& event, const std::string& name)
  {
    const auto start = ("\n" + event).find("\n" + name + ": ");
    if (start == std::string::npos) {
      return {};
    }
    const auto value = start + name.size() + 2;
    return event.substr(value, event.find('\n', value) - value);
  }

  void handle_event(const std::string& event)
  {
    const auto kind = sse_field(event, "event");
    const auto data = sse_field(event, "data");
    if (kind == "moved") {
      location_ = json::value_to<std::string>(json::parse(data).at("location"));
    } else if (kind == "error") {
      out_.error = data;
    } else if (data == "[DONE]") {
      out_.done = true;
    } else if (const auto id = sse_field(event, "id"); !id.empty()) {
      out_.in_order = out_.in_order && std::stoull(id) == out_.tokens;
      out_.text +=
          json::value_to<std::string>(json::parse(data).at("choices").as_array().at(0).at("text"));
      ++out_.tokens;
      if (token_counter_ != nullptr) {
        ++*token_counter_;
      }
    }
  }

  streamed_answer& out_;
  std::atomic<int>* token_counter_;
  std::string buffer_;
  std::string location_;
};

// Returns the ADDRESS of "http://ADDRESS/PATH".
std::string address_of(const std::string& location)
{
  const auto end = location.find('/', scheme.size());
  return location.substr(scheme.size(), end - scheme.size());
}

// Returns a GET of "http://ADDRESS/PATH" with the workspace of the `first` request.
http::request follow_up_request(const std::string& location, const http::request& first)
{
  http::request out{.target = location.substr(location.find('/', scheme.size()))};
  const auto workspace = http::find_header(first.fields, "Wisteriaflow-Workspace");
  out.fields.push_back({.name = "Wisteriaflow-Workspace", .value = std::string(workspace)});
  return out;
}

} // namespace

std::string reply::outcome() const
{
  return std::string(http::find_header(fields, "Wisteriaflow-Outcome", "none"));
}

reply call(const std::string& address, const http::request& message,
           const std::function<void(std::string_view)>& on_bytes)
{
  reply out;
  asio::io_context context;
  http::client client(context);
  http::stream_observer observer{.on_head =
                                     [&](const http::response& head) {
                                       out.status = head.status;
                                       out.fields = head.fields;
                                     },
                                 .on_bytes =
                                     [&](std::string_view bytes) {
                                       out.body += bytes;
                                       if (on_bytes) {
                                         on_bytes(bytes);
                                       }
                                     }};
  const auto to = http::parse_socket_address(address);
  asio::co_spawn(context, exchange_once(client, to, message, observer, out),
                 [&](const std::exception_ptr&) { context.stop(); });
  context.run();
  return out;
}

streamed_answer follow_stream(const std::string& address, const http::request& message,
                              std::atomic<int>* token_count)
{
  streamed_answer out;
  sse_reader reader(out, token_count);
  auto to = address;
  auto next = message;
  for (int i = 0; i < max_redirects; ++i) {
    const auto got = call(to, next, [&](std::string_view bytes) { reader.feed(bytes); });
    auto location = reader.take_location();
    if (got.status == status_see_other) {
      location = http::find_header(got.fields, "Location");
    }
    if (location.empty()) {
      out.truncated = !got.is_complete;
      const auto kind = http::find_header(got.fields, "Content-Type");
      if (kind.find("event-stream") == std::string_view::npos) {
        out.outcome = got.outcome();
        out.error = got.body;
      }
      return out;
    }
    ++out.redirects;
    reader.reset();
    to = address_of(location);
    next = follow_up_request(location, message);
    next.fields.push_back({.name = "Accept", .value = "text/event-stream"});
    if (out.tokens > 0) {
      next.fields.push_back({.name = "Last-Event-ID", .value = std::to_string(out.tokens - 1)});
    }
  }
  out.error = "too many redirects";
  return out;
}

reply call_following_redirects(const std::string& address, const http::request& message)
{
  auto got = call(address, message);
  for (int i = 0; i < max_redirects && got.status == status_see_other; ++i) {
    const std::string location(http::find_header(got.fields, "Location"));
    got = call(address_of(location), follow_up_request(location, message));
  }
  return got;
}

std::string make_key()
{
  static std::atomic<std::uint64_t> counter{std::random_device{}()};
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                      std::chrono::system_clock::now().time_since_epoch())
                      .count();
  constexpr std::uint64_t low_bits = 0xffff;
  constexpr std::uint64_t node_bits = 0xffffffffffff;
  const auto n = ++counter;
  std::array<char, 64> text{};
  std::snprintf(text.data(), text.size(), "%08llx-%04llx-7000-8000-%012llx",
                static_cast<unsigned long long>(ms) >> 16U,
                static_cast<unsigned long long>(ms) & low_bits,
                static_cast<unsigned long long>(n & node_bits));
  return text.data();
}

} // namespace wisteriaflow::system_tests
