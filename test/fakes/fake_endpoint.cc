#include "fakes/fake_endpoint.h"

#include <thread>
#include <utility>

namespace wisteriaflow::fakes {
namespace {

std::string event(int id, const std::string& version)
{
  const auto writer = version.empty() ? "" : " by " + version;
  return "id: " + std::to_string(id) + "\ndata: t" + std::to_string(id) + writer + "\n\n";
}

int resumed_after(const fake_request& r)
{
  const auto text = http::find_header(r.fields, "Last-Event-Id", "0");
  return std::stoi(std::string(text));
}

} // namespace

bool has_shared_part(const fake_request& r, std::string_view part)
{
  const auto prompt = "," + std::string(http::find_header(r.fields, "Prompt-Prefix"));
  const auto at = prompt.find("," + std::string(part) + ":");
  return at != std::string::npos && prompt.find(',', at + 1) != std::string::npos;
}

http::response fake_endpoint::with_extra_headers(http::response answer) const
{
  answer.fields.insert(answer.fields.end(), extra_headers.begin(), extra_headers.end());
  return answer;
}

http::response fake_endpoint::build_response(const fake_request& r) const
{
  const auto id = std::string(http::find_header(r.fields, "Request-Id"));
  http::response out{.fields = {{"Request-Id", id}, {"Keep-Alive", "timeout=5"}}};
  switch (behaviour) {
  case endpoint_behaviour::refuses_not_executed:
    return {.status = 503, .fields = {{"Not-Executed", "1"}}};
  case endpoint_behaviour::answers_misdirected:
    return {.status = 421};
  case endpoint_behaviour::refuses_without_marker:
    out.status = 503;
    break;
  case endpoint_behaviour::fails:
    out.status = 500;
    break;
  case endpoint_behaviour::answers_unsigned:
    return out;
  case endpoint_behaviour::answers_wrong_request_id:
    out.fields.at(0).value = "another";
    break;
  default:
    out.body = "made by " + id_;
  }
  out.fields.push_back({.name = "Response-Seal", .value = "signature-" + id_});
  return out;
}

boost::asio::awaitable<void> fake_endpoint::serve(fake_request r, http::response_writer& w)
{
  received.push_back(r);
  on_request();
  std::this_thread::sleep_for(blocking_delay);
  if (crashes_at(r, 0)) {
    close();
    co_return;
  }
  if (!crash_part.empty() && has_shared_part(r, crash_part)) {
    co_await crash_at_first_event(r, w);
    co_return;
  }
  switch (behaviour) {
  case endpoint_behaviour::disconnects:
    w.abort();
    co_return;
  case endpoint_behaviour::never_responds:
    w.on_peer_closed([this] { ++abandoned; });
    co_await async_sleep(std::chrono::seconds(30));
    co_return;
  case endpoint_behaviour::streams:
  case endpoint_behaviour::streams_then_disconnects:
    co_await stream(r, w);
    co_return;
  default:
    break;
  }
  co_await async_sleep(pace);
  auto out = with_extra_headers(build_response(r));
  co_await w.send(std::move(out));
}

bool fake_endpoint::crashes_at(const fake_request& r, int event) const
{
  return !crash_path.empty() && r.path.starts_with(crash_path) && event == last_event_before_crash;
}

http::response fake_endpoint::stream_head(const fake_request& r) const
{
  http::response head{
      .fields = {{"Request-Id", std::string(http::find_header(r.fields, "Request-Id"))},
                 {"Response-Seal", "signature-" + id_},
                 {"Content-Type", "text/event-stream"}}};
  return with_extra_headers(std::move(head));
}

boost::asio::awaitable<void> fake_endpoint::crash_at_first_event(const fake_request& r,
                                                                 http::response_writer& w)
{
  auto head = stream_head(r);
  co_await w.start_stream(std::move(head));
  close();
}

boost::asio::awaitable<void> fake_endpoint::stream(const fake_request& r, http::response_writer& w)
{
  auto head = stream_head(r);
  co_await w.start_stream(std::move(head));
  co_await async_sleep(stream_delay);
  const bool disconnects = behaviour == endpoint_behaviour::streams_then_disconnects;
  const int last = disconnects ? last_event_before_cut : last_event;
  for (int i = resumed_after(r) + 1; i <= last; ++i) {
    co_await async_sleep(pace);
    const auto text = event(i, version);
    co_await w.write_chunk(text);
    if (crashes_at(r, i)) {
      close();
      co_return;
    }
  }
  if (disconnects) {
    const auto part = "id: " + std::to_string(last_event_before_cut + 1) + "\nda";
    co_await w.write_chunk(part);
    w.abort();
    co_return;
  }
  co_await w.finish_stream();
}

} // namespace wisteriaflow::fakes
