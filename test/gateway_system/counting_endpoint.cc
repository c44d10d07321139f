#include "gateway_system/counting_endpoint.h"

#include <algorithm>
#include <utility>

namespace wisteriaflow::gateway_system_tests {
namespace {

constexpr int last_event = 8;
constexpr int events_before_a_cut = 3;
constexpr std::chrono::milliseconds event_pause{20};
constexpr std::chrono::milliseconds slow_time{500};
constexpr std::chrono::seconds stall_time{20};

std::string event(int number, const std::string& request)
{
  return "id: " + std::to_string(number) + "\ndata: " + std::to_string(number) + " of " + request +
         "\n\n";
}

} // namespace

std::string whole_body(const std::string& endpoint, const std::string& id)
{
  return "made by " + endpoint + " for " + id;
}

std::string signature_of(const std::string& endpoint, const std::string& id)
{
  return "signature of " + endpoint + " for " + id;
}

std::string whole_stream(const std::string& id)
{
  std::string out;
  for (int i = 1; i <= last_event; ++i) {
    out += event(i, id);
  }
  return out;
}

int counting_endpoint::received_after(mono_time since) const
{
  return static_cast<int>(
      std::count_if(received_at_.begin(), received_at_.end(), [&](auto at) { return at > since; }));
}

http::response counting_endpoint::head_for(const std::string& request) const
{
  return {.fields = {{"Request-Id", request},
                     {"Response-Seal", signature_of(id_, request)},
                     {"Keep-Alive", "timeout=5"}}};
}

boost::asio::awaitable<void> counting_endpoint::serve(fakes::fake_request r,
                                                      http::response_writer& w)
{
  received_at_.push_back(std::chrono::steady_clock::now());
  const auto request = std::string(http::find_header(r.fields, "Request-Id"));
  const auto now = random_() % 2 == 0 ? misbehaviour_ : misbehaviour::none;
  if (now == misbehaviour::sheds) {
    http::response refusal{.status = 503, .fields = {{"Not-Executed", "1"}}};
    co_await w.send(std::move(refusal));
    co_return;
  }
  ++runs_[request];
  if (r.path == deadly_path) {
    on_deadly();
    co_return;
  }
  if (now == misbehaviour::stalls) {
    co_await pause(stall_time);
    co_return;
  }
  if (now == misbehaviour::is_slow) {
    co_await pause(slow_time);
  }
  if (r.path.starts_with("/stream/") || r.path.starts_with("/resumable/")) {
    co_await stream(r, now, w);
    co_return;
  }
  if (now == misbehaviour::cuts) {
    w.abort();
    co_return;
  }
  auto out = head_for(request);
  out.status = now == misbehaviour::fails ? 500 : 200;
  out.body = whole_body(id_, request);
  co_await w.send(std::move(out));
}

boost::asio::awaitable<void> counting_endpoint::stream(const fakes::fake_request& r,
                                                       misbehaviour now, http::response_writer& w)
{
  const auto request = std::string(http::find_header(r.fields, "Request-Id"));
  const int after = std::stoi(std::string(http::find_header(r.fields, "Last-Event-Id", "0")));
  auto head = head_for(request);
  head.fields.push_back({.name = "Content-Type", .value = "text/event-stream"});
  co_await w.start_stream(std::move(head));
  for (int i = after + 1; i <= last_event; ++i) {
    if (now == misbehaviour::cuts && i > events_before_a_cut) {
      const auto part = "id: " + std::to_string(i) + "\nda";
      co_await w.write_chunk(part);
      w.abort();
      co_return;
    }
    const auto text = event(i, request);
    co_await w.write_chunk(text);
    co_await pause(event_pause);
  }
  co_await w.finish_stream();
}

} // namespace wisteriaflow::gateway_system_tests
