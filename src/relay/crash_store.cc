#include "relay/crash_store.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "errors.h"
#include "relay/pause.h"
#include "relay/store_list.h"
#include "wisteriaflow/gateway/crash_codec.h"

namespace wisteriaflow::relay {
namespace {

using std::chrono::milliseconds;
namespace asio = boost::asio;

constexpr std::string_view hold_kind = "gateway-crash-holds";
// A hold is in the store this long after it began, and the time that a write takes.
constexpr milliseconds check_period{200};
// While peers are silent, which may be alive on the other side of a cut, holds of theirs come by
// way of the store alone. The leads read it so often, the others at a rate of the fleet.
constexpr milliseconds lead_read_period{1'000};
constexpr milliseconds longest_read_period{30'000};
constexpr double reads_per_second = 8; // of the fleet without its leads

} // namespace

void crash_store::start()
{
  asio::co_spawn(context_, run(), asio::detached);
}

asio::awaitable<void> crash_store::run()
{
  for (unsigned failures = 0;;) {
    const auto now = std::chrono::steady_clock::now();
    bool done = true;
    if (is_read_due(now)) {
      done = co_await read();
    }
    // Who leads is worked out from all live peers, so it is asked only when it matters.
    if (done && has_work() && state_.leads(now)) {
      done = co_await write_holds();
      done = done && co_await remove_needless();
    }
    failures = done ? 0 : failures + 1;
    co_await pause(done ? check_period : store_.backoff(failures));
  }
}

bool crash_store::is_read_due(mono_time now) const
{
  const bool all_heard = state_.peers.running_count(now) == state_.peers.live(now).size() + 1;
  return !was_read_ || (!all_heard && next_read_ <= now);
}

bool crash_store::has_work()
{
  return !stored_.empty() || !state_.crashes.holds().empty();
}

asio::awaitable<bool> crash_store::read()
{
  const auto all = co_await list_objects(store_, state_, hold_kind, adapter::list_age::current);
  const auto now = std::chrono::steady_clock::now();
  const auto period = state_.leads(now) ? lead_read_period
                                        : std::clamp(state_.call_period(reads_per_second),
                                                     lead_read_period, longest_read_period);
  next_read_ = now + period;
  was_read_ = was_read_ || all.whole;
  for (const auto& item : all.items) {
    const auto ended = take(item.name, item.spec);
    if (const auto content = gateway::parse_content_id(item.name)) {
      stored_[*content] = ended;
    }
  }
  co_return all.whole;
}

std::size_t crash_store::take(const std::string& name, const boost::json::value& spec)
{
  try {
    const auto news = gateway::decode_crash_report(spec);
    state_.crashes.merge(news, state_.fleet_time());
    return news.crashes.size();
  } catch (const gateway::crash_report_error& e) {
    state_.log.write(daemon::log_level::error, "stored hold unreadable",
                     {{"content", name}, {"reason", e.what()}});
    return 0;
  }
}

asio::awaitable<bool> crash_store::write_holds()
{
  const auto holds = state_.crashes.holds();
  for (const auto& [content, hold] : holds) {
    const auto it = stored_.find(content);
    const bool is_stored = it != stored_.end() && it->second >= hold.crashed.size();
    if (!is_stored && !co_await write(content, hold.crashed.size())) {
      co_return false;
    }
  }
  co_return true;
}

asio::awaitable<bool> crash_store::write(gateway::content_id content, std::size_t ended)
{
  const auto name = to_string(content);
  const auto spec = encode_crash_report(state_.crashes.evidence_of(content));
  auto create = adapter::create_call(hold_kind, name, spec);
  auto reply = co_await store_.call(std::move(create), "create", store_call_timeout);
  if (reply.result == adapter::store_result::conflict) {
    try {
      const auto present = adapter::decode_object(reply.body);
      if (take(name, present.spec) >= ended) {
        stored_[content] = ended; // another lead has written it
        co_return true;
      }
      auto replace = adapter::replace_call(hold_kind, name, spec, present.revision);
      reply = co_await store_.call(std::move(replace), "replace", store_call_timeout);
    } catch (const adapter::format_error& e) {
      state_.log.write(daemon::log_level::error, "store answer unreadable",
                       {{"kind", std::string(hold_kind)}, {"reason", e.what()}});
      co_return false;
    }
  }
  if (reply.result != adapter::store_result::done) {
    co_return false;
  }
  stored_[content] = ended;
  state_.log.write(daemon::log_level::info, "hold stored",
                   {{"content", name}, {"endpoints", std::to_string(ended)}});
  co_return true;
}

// What nothing speaks against any more, since it is too long ago or the content was answered.
asio::awaitable<bool> crash_store::remove_needless()
{
  std::vector<gateway::content_id> needless;
  for (const auto& [content, ended] : stored_) {
    if (state_.crashes.times_suspected(content) == 0) {
      needless.push_back(content);
    }
  }
  for (const auto& content : needless) {
    auto message = adapter::remove_call(hold_kind, to_string(content));
    const auto reply = co_await store_.call(std::move(message), "remove", store_call_timeout);
    const bool gone = reply.result == adapter::store_result::done ||
                      reply.result == adapter::store_result::missing;
    if (!gone) {
      co_return false;
    }
    stored_.erase(content);
  }
  co_return true;
}

} // namespace wisteriaflow::relay
