#include "relay/crash_store.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "relay/async_sleep.h"
#include "relay/store_list.h"
#include "relay/stored_object.h"
#include "wisteriaflow/gateway/crash_report_codec.h"

namespace wisteriaflow::relay {
namespace {

using std::chrono::milliseconds;
namespace asio = boost::asio;

constexpr std::string_view hold_kind = "gateway-crash-holds";
// A new hold is in the store after this time, plus the time that a write takes.
constexpr milliseconds poll_period{200};
// Silent peers may be alive on the other side of a network partition. Their holds then arrive
// through the store only. Coordinators read it with this period, the other daemons at a rate that
// is limited for the whole fleet.
constexpr milliseconds coordinator_read_period{1'000};
constexpr milliseconds max_read_period{30'000};
constexpr double reads_per_second = 8; // all daemons but the coordinators together

bool has_contested(const gateway::crash_report& report)
{
  return std::any_of(report.crashes.begin(), report.crashes.end(), [](const auto& crash) {
    return std::any_of(crash.suspects.begin(), crash.suspects.end(),
                       [](const auto& it) { return it.second.outlived_by.has_value(); });
  });
}

} // namespace

void crash_store::start()
{
  asio::co_spawn(context_, run(), asio::detached);
}

asio::awaitable<void> crash_store::run()
{
  for (unsigned failures = 0;;) {
    const auto now = std::chrono::steady_clock::now();
    bool succeeded = true;
    if (is_read_due(now)) {
      succeeded = co_await read_holds();
    }
    // The coordinators are computed from all live peers, so this is checked last.
    if (succeeded && has_pending_writes() && state_.is_coordinator(now)) {
      succeeded = co_await write_holds();
      succeeded = succeeded && co_await remove_expired_holds();
    }
    failures = succeeded ? 0 : failures + 1;
    co_await async_sleep(succeeded ? poll_period : store_.backoff(failures));
  }
}

bool crash_store::is_read_due(mono_time now) const
{
  const bool all_peers_reporting =
      state_.peers.running_count(now) == state_.peers.live(now).size() + 1;
  return !initial_read_done_ || (!all_peers_reporting && next_read_at_ <= now);
}

bool crash_store::has_pending_writes()
{
  return !stored_.empty() || !state_.crashes.holds().empty();
}

asio::awaitable<bool> crash_store::read_holds()
{
  const auto listing = co_await list_objects(store_, state_, hold_kind, adapter::list_age::current);
  const auto now = std::chrono::steady_clock::now();
  const auto period = state_.is_coordinator(now)
                          ? coordinator_read_period
                          : std::clamp(state_.call_period(reads_per_second),
                                       coordinator_read_period, max_read_period);
  next_read_at_ = now + period;
  const bool is_first = listing.is_complete && !initial_read_done_;
  initial_read_done_ = initial_read_done_ || listing.is_complete;
  for (const auto& item : listing.items) {
    const auto hold = merge(item.name, item.spec);
    if (const auto suspect = gateway::parse_crash_suspect(item.name)) {
      stored_[*suspect] = hold;
    }
  }
  if (is_first) {
    // What peers have told of holds by now they have read there, too, or observed before.
    for (const auto& [suspect, hold] : state_.crashes.holds()) {
      state_.inherited_holds.add(suspect, hold, now);
    }
    state_.log.write(daemon::log_level::info, "stored holds read",
                     {{"objects", std::to_string(listing.items.size())},
                      {"held", std::to_string(state_.crashes.holds().size())},
                      {"revision", to_string(listing.revision)}});
  }
  co_return listing.is_complete;
}

crash_store::stored_hold crash_store::merge(const std::string& name, const boost::json::value& spec)
{
  try {
    const auto news = gateway::decode_crash_report(spec);
    state_.crashes.merge(news, state_.fleet_time());
    state_.review_held_contents();
    return {.crashes = news.crashes.size(), .is_contested = has_contested(news)};
  } catch (const gateway::crash_report_error& e) {
    state_.log.write(daemon::log_level::error, "stored hold unreadable",
                     {{"held", name}, {"reason", e.what()}});
    return {};
  }
}

asio::awaitable<bool> crash_store::write_holds()
{
  const auto holds = state_.crashes.holds();
  for (const auto& [suspect, hold] : holds) {
    const stored_hold wanted{.crashes = hold.crashed.size(), .is_contested = hold.is_contested};
    const auto it = stored_.find(suspect);
    const bool is_stored = it != stored_.end() && !it->second.is_behind(wanted);
    if (!is_stored && !co_await write_hold(suspect, wanted)) {
      co_return false;
    }
  }
  co_return true;
}

asio::awaitable<bool> crash_store::write_hold(gateway::crash_suspect suspect, stored_hold hold)
{
  const auto name = to_string(suspect);
  bool is_news = true;
  object_write wanted{.kind = hold_kind,
                      .name = name,
                      .spec = encode_crash_report(state_.crashes.evidence_of(suspect))};
  wanted.merge = [&](const adapter::stored_object& present) {
    is_news = merge(name, present.spec).is_behind(hold); // else a coordinator has written it
    return is_news ? std::optional(encode_crash_report(state_.crashes.evidence_of(suspect)))
                   : std::nullopt;
  };
  if (!co_await create_or_replace(store_, state_, std::move(wanted))) {
    co_return false;
  }
  stored_[suspect] = hold;
  if (is_news) {
    state_.log.write(daemon::log_level::info, "hold stored",
                     {{"held", name}, {"endpoints", std::to_string(hold.crashes)}});
  }
  co_return true;
}

// Removes the objects of what cannot be held any more: its crashes have expired, an endpoint has
// answered it, or it has come further elsewhere. A daemon that starts would hold it anew.
asio::awaitable<bool> crash_store::remove_expired_holds()
{
  std::vector<gateway::crash_suspect> expired;
  for (const auto& [suspect, hold] : stored_) {
    if (!state_.crashes.can_be_held(suspect)) {
      expired.push_back(suspect);
    }
  }
  for (const auto& suspect : expired) {
    auto name = to_string(suspect);
    if (!co_await remove_object(store_, hold_kind, std::move(name))) {
      co_return false;
    }
    stored_.erase(suspect);
  }
  co_return true;
}

} // namespace wisteriaflow::relay
