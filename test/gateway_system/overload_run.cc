#include "gateway_system/overload_run.h"

#include <algorithm>
#include <iostream>
#include <numeric>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "wisteriaflow/http/errors.h"

namespace wisteriaflow::gateway_system_tests {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds poll_period{20};
constexpr milliseconds sample_period{1'000};
// Daemons exchange reports for this long before calls arrive.
constexpr milliseconds settle_time{4'000};
// Half of the endpoints state a rate.
constexpr std::size_t limited_part = 2;

asio::awaitable<void> sleep(asio::io_context& context, steady_clock::duration time)
{
  asio::steady_timer timer(context, time);
  co_await timer.async_wait(asio::use_awaitable);
}

} // namespace

overload_run::overload_run(asio::io_context& context, overload_options options)
    : context_(context), options_(options), random_(options.seed), fleet_(context),
      client_(context, {.idle_connections_per_address = 64})
{
  fleet_.set_endpoint_slots(options_.room.places);
  for (int i = 0; i < options_.endpoints; ++i) {
    add_endpoint();
  }
  for (int i = 0; i < options_.daemons; ++i) {
    fleet_.start_daemon();
  }
}

void overload_run::add_endpoint()
{
  auto& endpoint = *fleet_.add_endpoint().endpoint;
  apply_terms(endpoint);
  endpoint.on_overload = [this, id = endpoint.id()] {
    if (fleet_.endpoints().contains(id)) {
      ++current_.failures;
      ++result_.failures;
      asio::co_spawn(context_, replace_failed(id), asio::detached);
    }
  };
}

void overload_run::apply_terms(counting_endpoint& endpoint) const
{
  auto room = options_.room;
  if (is_announced_) {
    room.max_rejections = options_.max_rejections;
  }
  if (is_tightened_) {
    room.waiting = options_.waiting_after_notice;
  }
  endpoint.limit_room(room, options_.work_time);
}

asio::awaitable<void> overload_run::replace_failed(std::string id)
{
  fleet_.crash(id);
  co_await sleep(context_, options_.downtime);
  fleet_.store().erase("servers", id);
  add_endpoint();
}

asio::awaitable<void> overload_run::announce()
{
  co_await sleep(context_, options_.duration / 3);
  is_announced_ = true;
  std::size_t n = 0;
  for (const auto& [id, each] : fleet_.endpoints()) {
    apply_terms(*each.endpoint);
    if (n++ < fleet_.endpoints().size() / limited_part) {
      each.endpoint->announce_rate_limit(options_.request_rate);
    }
  }
  std::cout << "endpoints state their terms" << std::endl;
  co_await sleep(context_, options_.notice);
  is_tightened_ = true;
  for (const auto& [id, each] : fleet_.endpoints()) {
    apply_terms(*each.endpoint);
  }
  result_ = {};
  std::cout << "endpoints let " << options_.waiting_after_notice << " wait" << std::endl;
}

asio::awaitable<void> overload_run::send_clumps()
{
  std::exponential_distribution<double> pause(options_.calls_per_second / options_.clump);
  auto next = steady_clock::now();
  while (!is_stopped_) {
    next += std::chrono::duration_cast<steady_clock::duration>(
        std::chrono::duration<double>(pause(random_)));
    co_await sleep(context_, next - steady_clock::now());
    for (int i = 0; i < options_.clump; ++i) {
      auto it = fleet_.daemons().begin();
      std::advance(it, static_cast<std::ptrdiff_t>(random_() % fleet_.daemons().size()));
      asio::co_spawn(context_, send_call(*it->second), asio::detached);
    }
  }
}

asio::awaitable<void> overload_run::send_call(const gateway_process& d)
{
  ++active_;
  ++current_.calls;
  const auto id = "r" + std::to_string(++last_call_);
  const auto started_at = steady_clock::now();
  senders_[id] = {.daemon = d.id, .sent_at = started_at};
  http::request message{
      .method = "POST",
      .target = "/unsafe/1",
      .fields = {{"Host", gateway_fleet::host},
                 {"Request-Id", id},
                 {"Api-Key", "k1"},
                 {"Deadline-Ms", std::to_string(gateway_fleet::route_timeout.count())}}};
  int status = 0;
  try {
    http::stream_observer observer;
    observer.on_head = [&status](const http::response& head) { status = head.status; };
    co_await client_.stream(d.callers, std::move(message),
                            started_at + gateway_fleet::route_timeout, std::move(observer));
  } catch (const http::http_error&) {
    status = 0;
  }
  current_.served += status == 200 ? 1 : 0;
  ++result_.answers[status];
  --active_;
}

std::size_t overload_run::total_arrivals() const
{
  const auto all = fleet_.all_endpoints();
  return std::accumulate(all.begin(), all.end(), std::size_t{0},
                         [](std::size_t sum, const auto* e) { return sum + e->received().size(); });
}

std::size_t overload_run::total_rejections() const
{
  const auto all = fleet_.all_endpoints();
  return std::accumulate(
      all.begin(), all.end(), std::size_t{0},
      [](std::size_t sum, const auto* e) { return sum + e->room().rejections(); });
}

asio::awaitable<void> overload_run::sample()
{
  std::size_t arrivals_before = total_arrivals();
  std::size_t rejections_before = total_rejections();
  for (int n = 1; !is_stopped_; ++n) {
    co_await sleep(context_, sample_period);
    std::size_t in_progress = 0;
    for (const auto& [id, each] : fleet_.endpoints()) {
      in_progress += each.endpoint->room().in_progress();
    }
    const auto arrivals = total_arrivals();
    const auto rejections = total_rejections();
    current_.arrivals = arrivals - std::exchange(arrivals_before, arrivals);
    current_.rejections = rejections - std::exchange(rejections_before, rejections);
    result_.arrivals += current_.arrivals;
    result_.rejections += current_.rejections;
    std::cout << "second " << n << ": calls " << current_.calls << ", served " << current_.served
              << ", arrivals " << current_.arrivals << ", rejected " << current_.rejections
              << ", failed endpoints " << current_.failures << ", in progress " << in_progress
              << std::endl;
    current_ = {};
  }
}

overload_result overload_run::run()
{
  fleet_.await_ready();
  context_.restart();
  context_.run_for(settle_time);
  asio::co_spawn(context_, announce(), asio::detached);
  asio::co_spawn(context_, send_clumps(), asio::detached);
  asio::co_spawn(context_, sample(), asio::detached);
  context_.restart();
  context_.run_for(options_.duration);
  is_stopped_ = true;
  while (active_ > 0) {
    context_.restart();
    context_.run_for(poll_period);
  }
  for (const auto* endpoint : fleet_.all_endpoints()) {
    auto found = check_terms(*endpoint, senders_);
    std::move(found.begin(), found.end(), std::back_inserter(result_.violations));
  }
  return result_;
}

} // namespace wisteriaflow::gateway_system_tests
