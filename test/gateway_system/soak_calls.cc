#include "gateway_system/soak_calls.h"

#include <array>
#include <chrono>
#include <utility>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "gateway_system/soak_terms.h"
#include "wisteriaflow/http/errors.h"
#include "wisteriaflow/http/status.h"

namespace wisteriaflow::gateway_system_tests {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

constexpr std::array<const char*, 4> routes = {"safe", "unsafe", "stream", "resumable"};
// A caller waits so long beyond the route's timeout. No answer by then breaks a promise, unless
// the daemon or its ways were harmed.
constexpr milliseconds answer_slack{2'000};
// Callers go on at a daemon that was told to end for as long as they may keep its address.
constexpr milliseconds address_validity{1'000};
constexpr milliseconds pause_between_calls{15};
constexpr milliseconds pause_between_looks{40};
// Every daemon that is not disturbed knows within this of an endpoint's end.
constexpr milliseconds time_to_know{3'000};
// The request that ends endpoints may be sent so often after the third, and one in 500 of the other
// calls, and five, refused for their content.
constexpr std::size_t ends_before_hold = 3;
constexpr std::size_t tolerated_sends = 3;
constexpr std::size_t tolerated_refusals = 5;
constexpr std::size_t calls_a_refusal = 500;

// These promise that the request has not run and never will.
bool promises_not_run(int status)
{
  return status == http::status::unavailable || status == http::status::too_many_requests ||
         status == 408 || status == 421;
}

bool is_stream(const seen_call& call)
{
  return call.route == "stream" || call.route == "resumable";
}

asio::awaitable<void> sleep(asio::io_context& context, milliseconds time)
{
  asio::steady_timer timer(context, time);
  co_await timer.async_wait(asio::use_awaitable);
}

} // namespace

void soak_calls::fail(const std::string& what)
{
  result_.broken.push_back(what);
}

const gateway_process* soak_calls::draw_daemon()
{
  std::vector<const gateway_process*> open;
  const auto now = std::chrono::steady_clock::now();
  for (const auto& [id, d] : fleet_.daemons()) {
    if (!d->gone && (!d->told_to_end_at || now < *d->told_to_end_at + address_validity)) {
      open.push_back(d.get());
    }
  }
  return open.empty() ? nullptr : open.at(random_() % open.size());
}

asio::awaitable<void> soak_calls::call_once(const gateway_process& d, seen_call& call,
                                            const std::string& path)
{
  const auto address = d.callers; // the daemon may be gone when the call ends
  call.daemon = d.id;
  call.id = "r" + std::to_string(++last_call_);
  call.started_at = std::chrono::steady_clock::now();
  const auto deadline = call.started_at + gateway_fleet::route_timeout + answer_slack;
  http::request message{
      .method = "POST",
      .target = path,
      .fields = {{"Host", gateway_fleet::host},
                 {"Request-Id", call.id},
                 {"Api-Key", "k1"},
                 {"Deadline-Ms", std::to_string(gateway_fleet::route_timeout.count())}},
      .body = call.body};
  http::stream_observer observer;
  observer.on_head = [&call](const http::response& head) { call.answer = head; };
  observer.on_bytes = [&call](std::string_view bytes) { call.answer.body += bytes; };
  try {
    co_await client_.stream(address, std::move(message), deadline, std::move(observer));
    call.whole = true;
  } catch (const http::connect_error&) {
    call.started_at = mono_time(); // never sent
  } catch (const http::http_error&) {
    // No answer, or a part of one; judged later.
  }
}

asio::awaitable<void> soak_calls::call_until_stopped()
{
  ++active_;
  while (!stopped_) {
    co_await sleep(context_, pause_between_calls);
    const auto* d = draw_daemon();
    if (d == nullptr) {
      continue;
    }
    seen_call call{.route = routes.at(random_() % routes.size())};
    co_await call_once(*d, call, "/" + call.route + "/1");
    if (call.started_at != mono_time()) {
      judge(call);
      calls_.push_back(std::move(call));
    }
  }
  --active_;
}

asio::awaitable<void> soak_calls::call_deadly_until_stopped()
{
  ++active_;
  while (!stopped_) {
    co_await sleep(context_, milliseconds(300 + random_() % 1'200));
    const auto* d = draw_daemon();
    if (d == nullptr) {
      continue;
    }
    seen_call call{.route = "unsafe", .body = "the one that ends endpoints"};
    co_await call_once(*d, call, deadly_path);
    const bool informed = d->is_calm_since(call.started_at - time_to_know);
    deadly_calls_.push_back(
        {.id = call.id, .sent_at = call.started_at, .by_informed_daemon = informed});
    ++result_.outcomes["deadly " + std::to_string(call.answer.status)];
  }
  --active_;
}

asio::awaitable<void> soak_calls::watch_configuration()
{
  ++active_;
  while (!stopped_) {
    co_await sleep(context_, pause_between_looks);
    const auto* d = draw_daemon();
    if (d == nullptr) {
      continue;
    }
    const auto version = 1 + random_() % newest_version_;
    seen_call call{.route = "safe"};
    const std::pair key(d->id, version);
    co_await call_once(*d, call, "/extra-" + std::to_string(version) + "/1");
    if (call.answer.status == http::status::ok) {
      known_.insert(key);
    } else if (call.answer.status == http::status::not_found && known_.contains(key)) {
      fail(key.first + " does not know version " + std::to_string(version) + " any more");
    }
  }
  --active_;
}

asio::awaitable<bool> soak_calls::serves(const gateway_process& d)
{
  seen_call call{.route = "safe"};
  co_await call_once(d, call, "/safe/1");
  co_return call.answer.status == http::status::ok;
}

void soak_calls::judge(const seen_call& call)
{
  const auto status = call.answer.status;
  ++result_.outcomes[status == 0 ? "no answer" : call.whole ? std::to_string(status) : "cut short"];
  refused_for_content_ += status == http::status::bad_request ? 1 : 0;
  if (status != 0 && call.whole) {
    judge_answer(call);
  } else if (status == 0) {
    judge_missing(call);
  }
}

// A success is an endpoint's own answer to this very request, whole.
void soak_calls::judge_answer(const seen_call& call)
{
  const auto& a = call.answer;
  const auto signature = std::string(http::find_header(a.fields, "Response-Seal"));
  bool of_an_endpoint = false;
  for (const auto* e : fleet_.all_endpoints()) {
    if (signature == signature_of(e->id(), call.id)) {
      of_an_endpoint = true;
      const auto wanted = is_stream(call) ? whole_stream(call.id) : whole_body(e->id(), call.id);
      if (a.body != wanted) {
        fail(call.id + " at " + call.daemon + ": not the answer of " + e->id() + ": " + a.body);
      }
    }
  }
  if (a.status < 300 && !of_an_endpoint) {
    fail(call.id + " at " + call.daemon + ": a success that no endpoint signed");
  }
}

// Silence is allowed only where the daemon or a way of its was harmed.
void soak_calls::judge_missing(const seen_call& call)
{
  if (fleet_.daemons().at(call.daemon)->is_calm_since(call.started_at)) {
    fail(call.id + " (" + call.route + ") at " + call.daemon + ": no answer from a sound daemon");
  }
}

int soak_calls::runs_of(const std::string& id) const
{
  int n = 0;
  for (const auto* e : fleet_.all_endpoints()) {
    const auto it = e->runs().find(id);
    n += it == e->runs().end() ? 0 : it->second;
  }
  return n;
}

void soak_calls::judge_runs(const seen_call& call)
{
  const bool repeatable = call.route == "safe" || call.route == "resumable";
  const int runs = runs_of(call.id);
  if (!repeatable && runs > 1) {
    fail(call.id + " (" + call.route + ") at " + call.daemon + ": ran " + std::to_string(runs) +
         " times");
  }
  if (!repeatable && runs > 0 && promises_not_run(call.answer.status)) {
    fail(call.id + " (" + call.route + ") at " + call.daemon + ": refused as not run, but ran");
  }
}

void soak_calls::judge_holds()
{
  std::size_t ended = 0;
  std::size_t sent_late = 0;
  mono_time third_at;
  for (const auto& call : deadly_calls_) { // in the order in which they were sent
    if (runs_of(call.id) == 0) {
      continue;
    }
    const bool late = ended >= ends_before_hold && third_at + time_to_know < call.sent_at;
    sent_late += late && call.by_informed_daemon ? 1 : 0;
    third_at = ++ended == ends_before_hold ? call.sent_at : third_at;
  }
  result_.outcomes["endpoints ended by requests"] = ended;
  if (sent_late > tolerated_sends) {
    fail("a request under which three endpoints had ended was sent " + std::to_string(sent_late) +
         " times more");
  }
  if (refused_for_content_ > tolerated_refusals + calls_.size() / calls_a_refusal) {
    fail(std::to_string(refused_for_content_) + " calls that end no endpoint were refused as if");
  }
}

void soak_calls::judge_all_terms()
{
  request_senders senders;
  for (const auto& call : calls_) {
    if (!fleet_.daemons().at(call.daemon)->was_stopped) {
      senders[call.id] = {.daemon = call.daemon, .sent_at = call.started_at};
    }
  }
  for (const auto* e : fleet_.all_endpoints()) {
    for (const auto& what : judge_terms(*e, senders)) {
      fail(what);
    }
  }
}

soak_result soak_calls::conclude()
{
  judge_all_terms();
  for (const auto& call : calls_) {
    judge_runs(call);
  }
  judge_holds();
  return result_;
}

} // namespace wisteriaflow::gateway_system_tests
