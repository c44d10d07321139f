#include "fakes/fake_endpoint.h"

#include <thread>
#include <utility>

namespace wisteriaflow::fakes {
namespace {

constexpr int last_event = 6;
constexpr int cut_after = 3;

std::string event(int id)
{
  return "id: " + std::to_string(id) + "\ndata: t" + std::to_string(id) + "\n\n";
}

int resumed_after(const fake_request& r)
{
  const auto text = http::find_header(r.fields, "Last-Event-Id", "0");
  return std::stoi(std::string(text));
}

} // namespace

http::response fake_endpoint::with_statements(http::response answer) const
{
  answer.fields.insert(answer.fields.end(), statements.begin(), statements.end());
  return answer;
}

http::response fake_endpoint::whole_answer(const fake_request& r) const
{
  const auto id = std::string(http::find_header(r.fields, "Request-Id"));
  http::response out{.fields = {{"Request-Id", id}, {"Keep-Alive", "timeout=5"}}};
  switch (mood) {
  case endpoint_mood::sheds:
    return {.status = 503, .fields = {{"Not-Executed", "1"}}};
  case endpoint_mood::is_another:
    return {.status = 421};
  case endpoint_mood::refuses_unpromised:
    out.status = 503;
    break;
  case endpoint_mood::fails:
    out.status = 500;
    break;
  case endpoint_mood::answers_unsigned:
    return out;
  case endpoint_mood::answers_for_another:
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
  std::this_thread::sleep_for(stall);
  if (!deadly_path.empty() && r.path.starts_with(deadly_path)) {
    close();
    co_return;
  }
  switch (mood) {
  case endpoint_mood::cuts:
    w.abort();
    co_return;
  case endpoint_mood::says_nothing:
    co_await pause(std::chrono::seconds(30));
    co_return;
  case endpoint_mood::streams:
  case endpoint_mood::streams_and_cuts:
    co_await stream(r, w);
    co_return;
  default:
    break;
  }
  auto out = with_statements(whole_answer(r));
  co_await w.send(std::move(out));
}

boost::asio::awaitable<void> fake_endpoint::stream(const fake_request& r, http::response_writer& w)
{
  http::response head{
      .fields = {{"Request-Id", std::string(http::find_header(r.fields, "Request-Id"))},
                 {"Response-Seal", "signature-" + id_},
                 {"Content-Type", "text/event-stream"}}};
  head = with_statements(std::move(head));
  co_await w.start_stream(std::move(head));
  const bool cuts = mood == endpoint_mood::streams_and_cuts;
  const int last = cuts ? cut_after : last_event;
  for (int i = resumed_after(r) + 1; i <= last; ++i) {
    const auto text = event(i);
    co_await w.write_chunk(text);
  }
  if (cuts) {
    co_await w.write_chunk("id: 4\nda");
    w.abort();
    co_return;
  }
  co_await w.finish_stream();
}

} // namespace wisteriaflow::fakes
