#include "fake_plain_service.h"

#include <utility>

#include <boost/json/value_from.hpp>
#include <boost/json/value_to.hpp>

namespace wisteriaflow::fakes {

namespace asio = boost::asio;
namespace json = boost::json;

fake_plain_service::fake_plain_service(asio::io_context& context, std::uint16_t port)
    : fake_server(context, port)
{
}

void fake_plain_service::set(const json::value& changes)
{
  read_field(changes, "delay_ms", settings_.delay_ms);
  read_field(changes, "slow_ms", settings_.slow_ms);
  read_field(changes, "lose_answers", settings_.lose_answers);
}

asio::awaitable<void> fake_plain_service::serve(fake_request received, http::response_writer& w)
{
  if (received.path.starts_with("/_fake/")) {
    auto reply = handle_control_request(received);
    co_await send(w, std::move(reply));
    co_return;
  }
  auto reply = execute(received);
  const bool lost = settings_.lose_answers > 0;
  settings_.lose_answers -= lost ? 1 : 0;
  const bool slow = received.path.starts_with("/slow");
  co_await async_sleep(slow ? settings_.slow_ms : settings_.delay_ms);
  if (lost) {
    w.abort();
    co_return;
  }
  co_await send(w, std::move(reply));
}

fake_reply fake_plain_service::handle_control_request(const fake_request& received)
{
  if (received.is("POST", "/_fake/settings")) {
    set(received.body);
    return {};
  }
  return {.body = {{"runs", json::value_from(runs_)},
                   {"total", total_},
                   {"requests_received_at_unix_ms", received_at_}}};
}

fake_reply fake_plain_service::execute(const fake_request& received)
{
  received_at_.push_back(to_unix_ms(wall_now()));
  ++total_;
  const auto key = http::find_header(received.fields, "Idempotency-Key");
  if (!key.empty()) {
    ++runs_[std::string(key)];
  }
  return {
      .body = {{"path", received.path}, {"method", received.method}, {"body", received.body_text}}};
}

} // namespace wisteriaflow::fakes
