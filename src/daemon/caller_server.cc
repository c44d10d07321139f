#include "wisteriaflow/daemon/caller_server.h"

#include <utility>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "wisteriaflow/http/errors.h"

namespace wisteriaflow::daemon {
namespace {

http::server_options server_options_of(const settings& s)
{
  return {.address = http::parse_socket_address(s.callers_listen),
          .header_limit = static_cast<std::size_t>(s.header_limit_bytes),
          .body_limit = static_cast<std::size_t>(s.body_limit_bytes),
          .connection_limit = static_cast<std::size_t>(s.connection_limit),
          .read_timeout = s.read_timeout,
          .idle_timeout = s.idle_timeout,
          .write_timeout = s.write_timeout};
}

// The response if the core's ring is full. The core never received the call, so it was not run.
http::response overloaded_response()
{
  return {.status = 503,
          .fields = {{.name = "Content-Type", .value = "application/json"},
                     {.name = "Retry-After", .value = "1"},
                     {.name = "Wisteriaflow-Outcome", .value = "refused-not-run"}},
          .body = R"({"error":{"type":"refused_not_run","reason":"overloaded",)"
                  R"("message":"this daemon takes no more calls at the moment"}})"};
}

// Writes one action of a call; returns whether the response has ended.
struct write_action {
  http::response_writer& writer;

  boost::asio::awaitable<bool> operator()(core::respond a) const
  {
    co_await writer.send(std::move(a.response));
    co_return true;
  }
  boost::asio::awaitable<bool> operator()(core::begin_response a) const
  {
    co_await writer.start_stream(std::move(a.head));
    co_return false;
  }
  boost::asio::awaitable<bool> operator()(core::write_response a) const
  {
    co_await writer.write_chunk(a.bytes);
    co_return false;
  }
  boost::asio::awaitable<bool> operator()(core::end_response /*a*/) const
  {
    co_await writer.finish_stream();
    co_return true;
  }
  boost::asio::awaitable<bool> operator()(core::stop_accepting /*a*/) const { co_return false; }
};

} // namespace

caller_server::caller_server(const settings& s, std::shared_ptr<event_ring> core)
    : core_(core),
      thread_(std::move(core), [this](core::caller_action a) { handle_action(std::move(a)); }),
      server_(thread_.context(), server_options_of(s),
              [this](http::request message, http::response_writer& writer) {
                return serve(std::move(message), writer);
              })
{
}

boost::asio::awaitable<void> caller_server::serve(http::request message,
                                                  http::response_writer& writer)
{
  const auto call = ++last_call_;
  const auto box = std::make_shared<mailbox>(thread_.context());
  open_calls_.emplace(call, box);
  // A new call is refused if the ring is full; it is never queued elsewhere.
  core::event received = core::call_received{.call = call, .message = std::move(message)};
  if (!core_->try_push(std::move(received))) {
    open_calls_.erase(call);
    co_await writer.send(overloaded_response());
    co_return;
  }
  writer.on_peer_closed([box] {
    box->closed_by_peer = true;
    box->changed.cancel();
  });
  bool ended = false;
  try {
    co_await write_responses(*box, writer);
    ended = !box->closed_by_peer;
  } catch (const http::http_error&) {
    ended = false;
  }
  open_calls_.erase(call);
  if (!ended) {
    thread_.post_event(core::caller_closed{.call = call});
    writer.abort();
  }
}

boost::asio::awaitable<void> caller_server::write_responses(mailbox& box,
                                                            http::response_writer& writer)
{
  const write_action write{writer};
  while (!box.closed_by_peer) {
    if (box.pending.empty()) {
      boost::system::error_code ec;
      box.changed.expires_at(mono_time::max());
      co_await box.changed.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ec));
      continue;
    }
    auto next = std::move(box.pending.front());
    box.pending.pop_front();
    const bool ended = co_await std::visit(write, std::move(next));
    if (ended) {
      co_return;
    }
  }
}

void caller_server::deliver(core::call_number call, core::caller_action a)
{
  const auto it = open_calls_.find(call);
  if (it == open_calls_.end()) {
    return; // the caller has disconnected
  }
  it->second->pending.push_back(std::move(a));
  it->second->changed.cancel();
}

void caller_server::handle_action(core::caller_action a)
{
  if (std::holds_alternative<core::stop_accepting>(a)) {
    server_.stop_accepting();
    return;
  }
  const auto call = std::visit(
      [](const auto& one) -> core::call_number {
        if constexpr (requires { one.call; }) {
          return one.call;
        } else {
          return 0;
        }
      },
      a);
  deliver(call, std::move(a));
}

} // namespace wisteriaflow::daemon
