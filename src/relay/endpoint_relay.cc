#include "relay/endpoint_relay.h"

#include <chrono>
#include <string>
#include <string_view>
#include <utility>

#include <absl/cleanup/cleanup.h>

#include "messages.h"
#include "wisteriaflow/http/errors.h"
#include "wisteriaflow/http/status.h"

namespace wisteriaflow::relay {
namespace {

using std::chrono::milliseconds;
namespace asio = boost::asio;

// Calls carried for all peers together. This daemon serves callers of its own.
constexpr std::size_t max_open_calls = 128;

gateway::endpoint_process process_of(const gateway::endpoint_record& r)
{
  return {.id = r.id, .incarnation = r.incarnation};
}

} // namespace

struct endpoint_relay::carried_call {
  endpoint_request request;
  gateway::endpoint_process endpoint;
  http::socket_address address;
  mono_time received_at;
  http::cancel_handle exchange;
  bool peer_gone = false;
  std::optional<http::response> head; // of the endpoint's answer
  bool answer_begun = false;
  bool is_complete = false;      // the endpoint has ended its answer
  bool is_abandoned = false;     // see end_open_calls
  std::string_view end_evidence; // see gateway::end_evidence; empty: the answer broke off
};

asio::awaitable<void> endpoint_relay::serve(http::request received, http::response_writer& writer)
{
  const auto now = std::chrono::steady_clock::now();
  auto request = decode_relay_request(std::move(received), now);
  const auto* endpoint = request ? usable_endpoint(*request) : nullptr;
  auto result = std::optional(relay_result::refused);
  std::string_view end_evidence;
  const auto request_id = request ? request->request_id : std::string();
  if (endpoint != nullptr && open_calls_.size() < max_open_calls &&
      state_.endpoints.start_carried(process_of(*endpoint), now)) {
    auto call = std::make_shared<carried_call>();
    call->request = std::move(*request);
    call->endpoint = process_of(*endpoint);
    call->address = endpoint->address;
    call->received_at = now;
    open_calls_.insert(call.get());
    const absl::Cleanup remove = [this, id = call.get()] { open_calls_.erase(id); };
    result = co_await carry(call, writer);
    release_place(*call, result);
    end_evidence = call->end_evidence;
  }
  const std::string outcome(to_string(result.value_or(relay_result::answered)));
  state_.counters.count("calls_carried", {{"result", outcome}});
  state_.log.write(
      daemon::log_level::info, "call carried for a peer",
      {{"request", request_id}, {"result", outcome}, {"end_known_by", std::string(end_evidence)}});
  if (result) {
    auto out = with_relay_result({.status = http::status::bad_gateway}, *result);
    co_await writer.send(std::move(out));
  }
}

void endpoint_relay::end_open_calls()
{
  const auto now = std::chrono::steady_clock::now();
  for (auto* call : open_calls_) {
    const auto left = std::chrono::duration_cast<milliseconds>(call->request.deadline - now);
    state_.log.write(daemon::log_level::warn, "carried call open at the end",
                     {{"request", call->request.request_id},
                      {"endpoint", call->endpoint.id.value()},
                      {"answer_begun", call->answer_begun ? "yes" : "no"},
                      {"time_left_ms", std::to_string(left.count())}});
    call->is_abandoned = true;
    call->exchange.cancel();
  }
}

void endpoint_relay::release_place(const carried_call& call,
                                   std::optional<relay_result> failure) const
{
  const auto now = std::chrono::steady_clock::now();
  const auto answer = call.head ? adapter::decode_answer(*call.head) : gateway::answer_head{};
  const bool is_rejected = answer.not_run && !answer.other_endpoint;
  const bool has_ended = call.is_complete || answer.not_run || failure == relay_result::unreachable;
  state_.endpoints.on_carried_ended(
      call.endpoint, has_ended ? gateway::request_end::completed : gateway::request_end::abandoned,
      now);
  if (is_rejected) {
    state_.endpoints.on_rejected(call.endpoint, now);
  }
}

const gateway::endpoint_record*
endpoint_relay::usable_endpoint(const endpoint_request& request) const
{
  const auto& all = state_.endpoints.all();
  const auto it = all.find(request.endpoint);
  if (it == all.end() || it->second.leaving || state_.links.is_lost(request.endpoint) ||
      state_.drain() || state_.feed.is_outdated(std::chrono::steady_clock::now())) {
    return nullptr;
  }
  // Peers of an earlier version state none.
  const bool has_version = request.version.empty() || request.version == it->second.version;
  return has_version ? &it->second : nullptr;
}

asio::awaitable<std::optional<relay_result>>
endpoint_relay::carry(std::shared_ptr<carried_call> call, http::response_writer& writer)
{
  writer.on_peer_closed([weak = std::weak_ptr<carried_call>(call)] {
    if (const auto live = weak.lock()) {
      live->peer_gone = true;
      live->exchange.cancel();
    }
  });
  http::stream_observer observer;
  observer.on_head = [this, call](const http::response& head) {
    call->head = head;
    apply_statement(*call);
  };
  observer.on_bytes_async = [call, &writer](std::string_view bytes) -> asio::awaitable<void> {
    if (!std::exchange(call->answer_begun, true)) {
      auto head = with_relay_result(*call->head, relay_result::answered);
      co_await writer.start_stream(std::move(head));
    }
    co_await writer.write_chunk(bytes);
  };
  observer.is_expected = [call](const http::response& head) {
    const auto id = adapter::decode_answer(head).request_id;
    return id.empty() || id == call->request.request_id;
  };
  auto request = call->request;
  request.message = adapter::with_time_left(std::move(request.message), request.deadline,
                                            std::chrono::steady_clock::now());
  std::optional<relay_result> failure;
  try {
    co_await transport_.exchange_directly(std::move(request), call->address, std::move(observer),
                                          call->exchange);
    call->is_complete = true;
    const auto seen =
        co_await transport_.links().find_end(*call->head, call->endpoint, call->address);
    call->end_evidence = to_string(seen.end.evidence);
    if (!seen.end.is_whole()) {
      throw http::broken_exchange_error("the answer is not known to be whole");
    }
    if (!call->answer_begun) {
      auto head = with_relay_result(*call->head, relay_result::answered);
      co_await writer.start_stream(std::move(head));
    }
    co_await writer.finish_stream();
    co_return std::nullopt;
  } catch (const http::connect_error& e) {
    failure = relay_result::unreachable;
  } catch (const http::exchange_timeout_error& e) {
    failure = relay_result::timed_out;
  } catch (const http::http_error& e) {
    failure = call->is_abandoned ? relay_result::abandoned : relay_result::interrupted;
  }
  if (call->answer_begun || call->peer_gone) {
    writer.abort(); // the peer must see that the answer is incomplete
    co_return std::nullopt;
  }
  co_return failure;
}

void endpoint_relay::apply_statement(const carried_call& call)
{
  const auto answer = adapter::decode_answer(*call.head);
  if (!answer.other_endpoint) {
    state_.apply_answer_statement(call.endpoint, answer, call.request.request_id, call.received_at);
  }
}

} // namespace wisteriaflow::relay
