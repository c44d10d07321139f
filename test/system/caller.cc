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

constexpr std::chrono::seconds call_limit{120};
constexpr int status_see_other = 303;
constexpr int moves_limit = 10;
constexpr std::string_view scheme = "http://";

asio::awaitable<void> exchange_once(http::client& client, http::socket_address to,
                                    http::request message, http::stream_observer observer,
                                    reply& out)
{
  const auto deadline = std::chrono::steady_clock::now() + call_limit;
  try {
    co_await client.stream(to, message, deadline, observer);
    out.sent = true;
    out.whole = true;
  } catch (const http::connect_error&) {
    out.sent = false;
  } catch (const http::http_error&) {
    out.sent = true;
  }
}

// Takes whole SSE events out of the bytes that arrive.
class event_reader {
 public:
  event_reader(streamed_answer& out, std::atomic<int>* seen) : out_(out), seen_(seen) {}

  void take(std::string_view bytes)
  {
    held_ += bytes;
    for (auto end = held_.find("\n\n"); end != std::string::npos; end = held_.find("\n\n")) {
      on_event(held_.substr(0, end));
      held_.erase(0, end + 2);
    }
  }

  void reset() { held_.clear(); }
  [[nodiscard]] std::string take_location() { return std::exchange(location_, {}); }

 private:
  static std::string field_of(const std::string& event, const std::string& name)
  {
    const auto start = ("\n" + event).find("\n" + name + ": ");
    if (start == std::string::npos) {
      return {};
    }
    const auto value = start + name.size() + 2;
    return event.substr(value, event.find('\n', value) - value);
  }

  void on_event(const std::string& event)
  {
    const auto kind = field_of(event, "event");
    const auto data = field_of(event, "data");
    if (kind == "moved") {
      location_ = json::value_to<std::string>(json::parse(data).at("location"));
    } else if (kind == "error") {
      out_.error = data;
    } else if (data == "[DONE]") {
      out_.done = true;
    } else if (const auto id = field_of(event, "id"); !id.empty()) {
      out_.in_order = out_.in_order && std::stoull(id) == out_.tokens;
      out_.text +=
          json::value_to<std::string>(json::parse(data).at("choices").as_array().at(0).at("text"));
      ++out_.tokens;
      if (seen_ != nullptr) {
        ++*seen_;
      }
    }
  }

  streamed_answer& out_;
  std::atomic<int>* seen_;
  std::string held_;
  std::string location_;
};

// GET of an absolute "http://ADDRESS/PATH" with the caller's workspace.
std::string address_of(const std::string& location)
{
  const auto end = location.find('/', scheme.size());
  return location.substr(scheme.size(), end - scheme.size());
}

http::request get_of(const std::string& location, const http::request& first)
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
                              std::atomic<int>* seen)
{
  streamed_answer out;
  event_reader reader(out, seen);
  auto to = address;
  auto next = message;
  for (int i = 0; i < moves_limit; ++i) {
    const auto got = call(to, next, [&](std::string_view bytes) { reader.take(bytes); });
    auto location = reader.take_location();
    if (got.status == status_see_other) {
      location = http::find_header(got.fields, "Location");
    }
    if (location.empty()) {
      out.cut = !got.whole;
      const auto kind = http::find_header(got.fields, "Content-Type");
      if (kind.find("event-stream") == std::string_view::npos) {
        out.outcome = got.outcome();
        out.error = got.body;
      }
      return out;
    }
    ++out.moves;
    reader.reset();
    to = address_of(location);
    next = get_of(location, message);
    next.fields.push_back({.name = "Accept", .value = "text/event-stream"});
    if (out.tokens > 0) {
      next.fields.push_back({.name = "Last-Event-ID", .value = std::to_string(out.tokens - 1)});
    }
  }
  out.error = "moved too often";
  return out;
}

reply call_following(const std::string& address, const http::request& message)
{
  auto got = call(address, message);
  for (int i = 0; i < moves_limit && got.status == status_see_other; ++i) {
    const std::string location(http::find_header(got.fields, "Location"));
    got = call(address_of(location), get_of(location, message));
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
