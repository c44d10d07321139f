#include "fake_server.h"

#include <utility>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace wisteriaflow::fakes {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr std::size_t body_limit = std::size_t{2} * 1024 * 1024;

fake_request parse_request(http::request received)
{
  auto target = http::parse_target(received.target);
  fake_request out{.method = std::move(received.method),
                   .target = std::move(received.target),
                   .path = target.path,
                   .query = std::move(target.query),
                   .fields = std::move(received.fields),
                   .body_text = std::move(received.body)};
  std::size_t begin = 1;
  while (begin < target.path.size()) {
    const auto end = std::min(target.path.find('/', begin), target.path.size());
    out.segments.push_back(target.path.substr(begin, end - begin));
    begin = end + 1;
  }
  boost::system::error_code ec;
  out.body = json::parse(out.body_text, ec);
  if (ec || !out.body.is_object()) {
    out.body = json::object();
  }
  return out;
}

fake_reply bad_request(std::string_view why)
{
  return {.status = 400, .body = {{"message", why}}};
}

} // namespace

bool fake_request::is(std::string_view wanted_method, std::string_view wanted_path) const
{
  return method == wanted_method && path == wanted_path;
}

fake_reply error_reply(int status, std::string_view reason)
{
  return {.status = status, .body = {{"reason", reason}}};
}

fake_server::fake_server(asio::io_context& context, http::socket_address listen)
    : context_(context), server_(context, {.address = std::move(listen), .body_limit = body_limit},
                                 [this](http::request received, http::response_writer& w) {
                                   return serve_catching_errors(std::move(received), w);
                                 })
{
}

void fake_server::close()
{
  closed_ = true;
  server_.close();
}

asio::awaitable<void> fake_server::serve_catching_errors(http::request received,
                                                         http::response_writer& w)
{
  std::string failure;
  try {
    auto parts = parse_request(std::move(received));
    co_await serve(std::move(parts), w);
    co_return;
  } catch (const boost::system::system_error& e) {
    failure = e.what();
  } catch (const std::invalid_argument& e) {
    failure = e.what();
  }
  auto reply = bad_request(failure);
  co_await send(w, std::move(reply));
}

asio::awaitable<void> fake_server::send(http::response_writer& w, fake_reply reply)
{
  http::response out;
  out.status = reply.status;
  out.fields.push_back({.name = "Content-Type", .value = "application/json"});
  out.body = json::serialize(reply.body);
  co_await w.send(std::move(out));
}

asio::awaitable<void> fake_server::async_sleep(std::chrono::milliseconds time)
{
  if (time.count() > 0) {
    asio::steady_timer timer(context_, time);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

void read_field(const json::value& from, std::string_view name, std::chrono::milliseconds& to)
{
  to = std::chrono::milliseconds(integer_field(from, name, to.count()));
}

std::string string_field(const json::value& from, std::string_view name, std::string_view fallback)
{
  std::string out(fallback);
  read_field(from, name, out);
  return out;
}

std::int64_t integer_field(const json::value& from, std::string_view name, std::int64_t fallback)
{
  read_field(from, name, fallback);
  return fallback;
}

wall_time wall_now()
{
  return std::chrono::floor<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

} // namespace wisteriaflow::fakes
