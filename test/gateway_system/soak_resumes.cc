#include <algorithm>
#include <charconv>
#include <utility>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "gateway_system/soak_calls.h"
#include "wisteriaflow/http/status.h"

namespace wisteriaflow::gateway_system_tests {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

constexpr milliseconds pause_before_resume{100};
// Attempts to resume a stream; after a power loss, those that are refused.
constexpr int max_resumes = 3;
// With fewer resumed streams, the share that goes on is not checked.
constexpr std::size_t min_streams_resumed = 12;
constexpr double min_relative_share = 0.5;
constexpr double min_share_after_power_loss = 0.5;
// Daemons write to the store which streams are under way every 200 ms; one write may be under way
// when a stream starts.
constexpr milliseconds storing_time{400};
// Callers that hold streams begin within this time, about as long as a stream takes.
constexpr milliseconds longest_delay_of_holders{1'000};

asio::awaitable<void> sleep(asio::io_context& context, milliseconds time)
{
  asio::steady_timer timer(context, time);
  co_await timer.async_wait(asio::use_awaitable);
}

milliseconds retry_after(const http::response& answer)
{
  const auto text = http::find_header(answer.fields, "Retry-After", "0");
  double seconds = 0;
  std::from_chars(text.data(), text.data() + text.size(), seconds);
  return milliseconds(static_cast<std::int64_t>(seconds * 1'000));
}

observed_call next_attempt(const observed_call& cut, const held_stream& stream)
{
  return {.route = cut.route,
          .body = cut.body,
          .prompt = cut.prompt,
          .resumes = stream.first_request(),
          .last_event = stream.last_event()};
}

} // namespace

std::size_t soak_calls::sound_endpoints(const std::string& version) const
{
  const auto now = std::chrono::steady_clock::now();
  const auto& all = fleet_.endpoints();
  return static_cast<std::size_t>(std::count_if(all.begin(), all.end(), [&](const auto& it) {
    const auto& endpoint = *it.second.endpoint;
    return endpoint.version() == version && endpoint.is_sound(now);
  }));
}

asio::awaitable<void> soak_calls::resume(observed_call cut)
{
  held_stream stream(cut.id);
  stream.add(cut.answer.body);
  bool is_whole = stream.empty() || stream.last_event() == last_stream_event;
  if (fleet_.daemons().at(cut.daemon)->lost_power_at && !is_whole) {
    co_await resume_after_power_loss(std::move(cut), std::move(stream));
    co_return;
  }
  for (int i = 0; i < max_resumes && !is_whole; ++i) {
    co_await sleep(context_, pause_before_resume);
    const auto* d = random_daemon();
    if (d == nullptr) {
      break;
    }
    auto next = next_attempt(cut, stream);
    const bool is_counted = sound_endpoints(*stream.versions().begin()) > 1;
    co_await call_once(*d, next, "/" + next.route + "/1");
    if (next.started_at == mono_time()) {
      continue;
    }
    if (is_counted && fleet_.daemons().at(next.daemon)->is_undisturbed_since(next.started_at)) {
      ++streams_resumed_;
      streams_continued_ += next.answer.status == http::status::ok ? 1 : 0;
    }
    record_outcome(next);
    if (next.answer.status == http::status::ok) {
      stream.add(next.answer.body);
    }
    is_whole = stream.last_event() == last_stream_event;
    calls_.push_back(std::move(next));
  }
  for (const auto& what : stream.violations()) {
    add_violation(what);
  }
}

asio::awaitable<void> soak_calls::resume_after_power_loss(observed_call cut, held_stream stream)
{
  const auto lost_at = *fleet_.daemons().at(cut.daemon)->lost_power_at;
  auto pause = pause_before_resume;
  bool is_counted = true;
  bool has_gone_on = false;
  int refusals = 0;
  while (refusals < max_resumes && !stopped_ && stream.last_event() != last_stream_event) {
    co_await sleep(context_, pause);
    const auto* d = random_daemon();
    if (d == nullptr) {
      continue; // all daemons are down
    }
    auto next = next_attempt(cut, stream);
    const bool has_endpoints = sound_endpoints(*stream.versions().begin()) > 0;
    co_await call_once(*d, next, slow_stream_path);
    if (next.started_at == mono_time()) {
      continue;
    }
    record_outcome(next);
    is_counted = is_counted && (has_gone_on || has_endpoints);
    if (next.answer.status == http::status::ok && !next.answer.body.empty()) {
      has_gone_on = true;
      stream.add(next.answer.body);
      pause = pause_before_resume;
    } else {
      ++refusals;
      pause = std::max(pause_before_resume, retry_after(next.answer));
    }
    calls_.push_back(std::move(next));
  }
  for (const auto& what : stream.violations()) {
    add_violation(what);
  }
  ++streams_cut_by_power_loss_;
  const bool could_be_stored =
      store_disturbed_until_ < cut.started_at && cut.first_bytes_at + storing_time <= lost_at;
  if (is_counted && could_be_stored && (has_gone_on || refusals > 0)) {
    ++streams_with_version_;
    streams_gone_on_after_power_loss_ += has_gone_on ? 1 : 0;
  }
}

asio::awaitable<void> soak_calls::hold_streams_until(mono_time end)
{
  ++active_;
  co_await sleep(context_, milliseconds(random_() % longest_delay_of_holders.count()));
  while (!stopped_ && std::chrono::steady_clock::now() < end) {
    if (const auto* d = random_daemon()) {
      observed_call call{.route = "resumable", .prompt = prompt_with("held")};
      call.body = call.prompt;
      co_await send_call(*d, std::move(call), slow_stream_path);
    }
    co_await sleep(context_, pause_before_resume);
  }
  --active_;
}

void soak_calls::check_resumed()
{
  result_.outcomes["resumed streams"] = streams_resumed_;
  result_.outcomes["resumed streams that went on"] = streams_continued_;
  if (streams_resumed_ < min_streams_resumed || streams_sent_ == 0) {
    return;
  }
  const auto started = static_cast<double>(streams_started_) / static_cast<double>(streams_sent_);
  const auto gone_on =
      static_cast<double>(streams_continued_) / static_cast<double>(streams_resumed_);
  if (gone_on < min_relative_share * started) {
    add_violation("of " + std::to_string(streams_resumed_) + " resumed streams only " +
                  std::to_string(streams_continued_) + " went on");
  }
}

void soak_calls::check_resumed_after_power_loss()
{
  result_.outcomes["streams cut by a power loss"] = streams_cut_by_power_loss_;
  result_.outcomes["streams cut by a power loss, stored and of a version that serves"] =
      streams_with_version_;
  result_.outcomes["streams cut by a power loss, of these gone on"] =
      streams_gone_on_after_power_loss_;
  if (streams_with_version_ >= min_streams_resumed &&
      static_cast<double>(streams_gone_on_after_power_loss_) <
          min_share_after_power_loss * static_cast<double>(streams_with_version_)) {
    add_violation("of " + std::to_string(streams_with_version_) +
                  " streams that a power loss cut, and whose version serves, only " +
                  std::to_string(streams_gone_on_after_power_loss_) + " went on");
  }
}

} // namespace wisteriaflow::gateway_system_tests
