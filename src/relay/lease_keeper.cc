#include "relay/lease_keeper.h"

#include <algorithm>
#include <ctime>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <boost/json/value_to.hpp>

#include "errors.h"

namespace wisteriaflow::relay {
namespace {

using std::chrono::milliseconds;
namespace asio = boost::asio;
namespace json = boost::json;

constexpr std::string_view lease_kind = "gateway-leases";
constexpr std::string_view lease_name = "duties";
// The store answers within a few milliseconds, or some hundred milliseconds under load.
constexpr milliseconds call_timeout{500};
// The leader's work resumes elsewhere after one lease, one read period and the wait for the old
// leader's last orders: 4.3 s with this duration, 7.6 s observed with 3 s. A shorter lease would
// expire when two answers of the store in a row are lost.
constexpr milliseconds max_lease_duration{2'000};
// The leader gives up its platform calls within this time, so none arrives later than this after it
// was sent.
constexpr milliseconds order_timeout{1'000};
// Allowance for the drift of two instances' monotonic clocks during one lease, and for the
// scheduling delay of a loaded process.
constexpr milliseconds skew_margin{300};

// The two clocks are read one after the other, so a smaller difference does not show a suspension.
constexpr milliseconds min_reported_suspension{50};

capacity::lease_options lease_options_of(const fleet_state& state)
{
  const auto duration = std::min(state.options.lease_duration, max_lease_duration);
  return {.name = std::string(lease_name),
          .self = state.options.id,
          .duration = duration,
          .renew_period = duration / 3,
          .read_period = duration / 2,
          .order_timeout = order_timeout,
          .skew_margin = skew_margin,
          .retry_period = milliseconds{500},
          .seed = state.seed()};
}

json::value encode(const capacity::lease_record& record)
{
  return {{"holder", record.holder.value()},
          {"fencing_number", record.fencing_number},
          {"nonce", record.nonce},
          {"duration_ms", record.duration.count()}};
}

capacity::lease_record decode(const json::value& spec)
{
  try {
    return {.holder = daemon_id(json::value_to<std::string>(spec.at("holder"))),
            .fencing_number = spec.at("fencing_number").to_number<std::uint64_t>(),
            .nonce = spec.at("nonce").to_number<std::uint64_t>(),
            .duration = milliseconds(spec.at("duration_ms").to_number<std::int64_t>())};
  } catch (const std::exception& e) {
    throw adapter::format_error(std::string("unreadable lease: ") + e.what());
  }
}

} // namespace

uptime_reading read_uptime()
{
  timespec since_boot{};
  ::clock_gettime(CLOCK_BOOTTIME, &since_boot);
  return {.monotonic = std::chrono::steady_clock::now(),
          .since_boot = std::chrono::seconds(since_boot.tv_sec) +
                        std::chrono::nanoseconds(since_boot.tv_nsec)};
}

lease_keeper::lease_keeper(asio::io_context& context, fleet_state& state, store_client& store,
                           std::function<uptime_reading()> uptime)
    : context_(context), state_(state), store_(store), holder_(lease_options_of(state)),
      clock_(std::move(uptime))
{
  store_.add_restore_callback([this] { on_event(capacity::store_restored{}); });
}

clock_reading lease_keeper::lease_time() const
{
  return {.mono = clock_.now(), .wall = read_clocks().wall};
}

bool lease_keeper::holds_lease() const
{
  constexpr bool checks_fencing = false;
  return holder_.may_issue_order(checks_fencing, clock_.now());
}

void lease_keeper::tick()
{
  report_suspension();
  const auto now = lease_time();
  const bool competes = state_.configuration() && !state_.drain() &&
                        (holds_lease() || state_.is_coordinator(std::chrono::steady_clock::now()));
  execute(holder_.handle(capacity::lease_wanted{.wanted = competes}, now));
  if (const auto due = holder_.wake_at(); due && *due <= now.mono) {
    execute(holder_.handle(capacity::lease_tick{}, now));
  }
  const bool is_leader = holds_lease();
  if (is_leader) {
    state_.record_fencing_number(fencing_number());
  }
  state_.counters.set("duties_held", is_leader ? 1 : 0);
  const std::chrono::duration<double> left = holder_.deadline() - now.mono;
  state_.counters.set("lease_left_seconds", is_leader ? left.count() : 0);
  if (state_.set_leader(is_leader)) {
    state_.log.write(daemon::log_level::info, is_leader ? "duties taken" : "duties given up",
                     {{"fencing_number", std::to_string(fencing_number())},
                      {"last_seen_holder", holder_.last_seen_holder().value()}});
  }
}

void lease_keeper::report_suspension()
{
  const auto before = std::exchange(last_suspended_, clock_.suspended_duration());
  const auto gap = std::chrono::duration_cast<milliseconds>(last_suspended_ - before);
  if (gap < min_reported_suspension) {
    return;
  }
  state_.counters.count("suspended_ms", {}, static_cast<std::uint64_t>(gap.count()));
  state_.log.write(
      daemon::log_level::warn, "instance was suspended",
      {{"for_ms", std::to_string(gap.count())}, {"duties_held", holds_lease() ? "yes" : "no"}});
}

void lease_keeper::execute(std::vector<capacity::lease_action> actions)
{
  for (auto& a : actions) {
    if (auto* r = std::get_if<capacity::read_lease>(&a)) {
      asio::co_spawn(context_, read(*r), asio::detached);
    } else {
      asio::co_spawn(context_, write(std::get<capacity::write_lease>(std::move(a))),
                     asio::detached);
    }
  }
}

void lease_keeper::on_event(const capacity::lease_event& e)
{
  execute(holder_.handle(e, lease_time()));
}

asio::awaitable<void> lease_keeper::read(capacity::read_lease a)
{
  auto message = adapter::get_call(lease_kind, lease_name);
  const auto reply = co_await store_.call(std::move(message), "lease", call_timeout);
  if (reply.result == adapter::store_result::missing) {
    on_event(capacity::lease_missing{.call = a.call,
                                     .last_fencing_number = state_.last_fencing_number()});
    co_return;
  }
  if (reply.result != adapter::store_result::done) {
    on_event(capacity::lease_call_unanswered{.call = a.call});
    co_return;
  }
  try {
    const auto object = adapter::decode_object(reply.body, reply.era);
    auto record = decode(object.spec);
    // A restored store may show a number that has been used since.
    record.fencing_number = std::max(record.fencing_number, state_.last_fencing_number());
    on_event(capacity::lease_found{
        .call = a.call, .record = std::move(record), .version = object.revision.packed()});
  } catch (const adapter::format_error& e) {
    state_.log.write(daemon::log_level::error, "lease unreadable", {{"reason", e.what()}});
    on_event(capacity::lease_call_unanswered{.call = a.call});
  }
}

asio::awaitable<void> lease_keeper::write(capacity::write_lease a)
{
  const auto base = gateway::store_revision::from_packed(a.version);
  if (a.version != 0 && base.era != store_.era()) {
    on_event(capacity::lease_conflict{.call = a.call}); // the number may be that of another write
    co_return;
  }
  const auto spec = encode(a.record);
  auto message = a.version == 0 ? adapter::create_call(lease_kind, lease_name, spec)
                                : adapter::replace_call(lease_kind, lease_name, spec, base);
  const auto reply = co_await store_.call(std::move(message), "lease", call_timeout);
  if (a.version != 0 && reply.era != base.era) {
    on_event(capacity::lease_call_unanswered{.call = a.call}); // the next read shows what it did
    co_return;
  }
  switch (reply.result) {
  case adapter::store_result::done:
    try {
      const auto object = adapter::decode_object(reply.body, reply.era);
      on_event(capacity::lease_written{.call = a.call, .version = object.revision.packed()});
    } catch (const adapter::format_error& e) {
      state_.log.write(daemon::log_level::error, "lease unreadable", {{"reason", e.what()}});
      on_event(capacity::lease_call_unanswered{.call = a.call});
    }
    break;
  case adapter::store_result::conflict:
  case adapter::store_result::missing:
    on_event(capacity::lease_conflict{.call = a.call});
    break;
  default:
    on_event(capacity::lease_call_unanswered{.call = a.call});
  }
}

} // namespace wisteriaflow::relay
