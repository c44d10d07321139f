#include "relay/peer_sync.h"

#include <algorithm>
#include <utility>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "wisteriaflow/base/deflate.h"
#include "wisteriaflow/base/text.h"
#include "wisteriaflow/gateway/crash_codec.h"
#include "wisteriaflow/gateway/peer_report.h"
#include "wisteriaflow/http/errors.h"
#include "wisteriaflow/http/status.h"

namespace wisteriaflow::relay {
namespace {

using std::chrono::milliseconds;
namespace asio = boost::asio;

// A daemon asks each peer so often, unless the peer has asked it meanwhile.
constexpr milliseconds exchange_period{400};
// News wait so long for others to share their message.
constexpr milliseconds news_batch{15};
constexpr milliseconds exchange_timeout{500};
// An owner answers within a few milliseconds; a caller should not wait longer for one that is away.
constexpr milliseconds quota_timeout{120};
constexpr milliseconds fetch_timeout{1'000};
// News of crashes reach every daemon well within this; what still differs then was missed, as by a
// daemon that was cut off. One that knows of none fetches them at once.
constexpr milliseconds crash_news_time{3'000};
// Of an unpacked report, in bytes. The largest seen, of 63 daemons, has 5 KB.
constexpr std::size_t report_limit = std::size_t{1} << 20U;

// One report serves all who are asked or ask within this time, a quarter of a period: making one
// takes 0.11 ms with 195 daemons, reading and absorbing one 0.05 ms (without sockets).
constexpr milliseconds report_reuse{100};
// How long ago the report in a message was made, in ms.
constexpr std::string_view report_age_field = "Report-Age-Ms";

constexpr std::string_view report_target = "/report";
constexpr std::string_view brief_report_target = "/report?brief";
constexpr std::string_view quota_target = "/quota";
constexpr std::string_view configuration_target = "/configuration";
constexpr std::string_view endpoints_target = "/endpoints"; // ?after=REVISION of the store
constexpr std::string_view crashes_target = "/crashes";
constexpr std::string_view metrics_target = "/metrics";

http::header age_field(mono_time made_at, mono_time now)
{
  const auto age = std::chrono::ceil<milliseconds>(now - made_at);
  return {.name = std::string(report_age_field), .value = std::to_string(age.count())};
}

// What a peer answered; throws peer_report_error.
boost::json::value parse_json(const std::string& body)
{
  boost::system::error_code ec;
  auto out = boost::json::parse(body, ec);
  if (ec) {
    throw gateway::peer_report_error("not JSON: " + ec.message());
  }
  return out;
}

} // namespace

peer_sync::peer_sync(asio::io_context& context, fleet_state& state)
    : context_(context), state_(state),
      client_(context, {.connect_timeout = exchange_timeout, .repeat_stale_get = false}),
      server_(context, {.address = state.options.peers},
              [this](http::request asked, http::response_writer& w) {
                return serve(std::move(asked), w);
              }),
      wait_(context), rounds_({.period = exchange_period}, state.seed())
{
}

void peer_sync::start()
{
  state_.on_news([this] { hurry(); });
  asio::co_spawn(context_, run(), asio::detached);
}

asio::awaitable<void> peer_sync::run()
{
  for (;;) {
    const auto now = std::chrono::steady_clock::now();
    if (std::exchange(hurried_, false)) {
      tell_news(now);
    }
    // News never take the place of a round: it alone tells what is known of others.
    if (now >= next_round_) {
      next_round_ = now + exchange_period;
      ask_peers(now);
      state_.tick(read_clocks());
    }
    wait_.expires_at(next_round_);
    boost::system::error_code ec;
    co_await wait_.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    if (hurried_) {
      wait_.expires_after(news_batch);
      co_await wait_.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
  }
}

void peer_sync::hurry()
{
  made_.clear(); // the next report has to tell the news
  if (!hurried_) {
    hurried_ = true;
    wait_.cancel();
  }
}

std::vector<http::socket_address> peer_sync::peers_to_ask(mono_time now) const
{
  auto out = state_.peers.addresses_to_contact(now);
  std::erase_if(out, [this](const auto& peer) { return asked_.contains(peer); });
  return out;
}

void peer_sync::ask(const http::socket_address& peer, fleet_state::report_extent extent)
{
  asked_.insert(peer);
  asio::co_spawn(context_, exchange(peer, extent), asio::detached);
}

void peer_sync::ask_peers(mono_time now)
{
  using extent = fleet_state::report_extent;
  auto leads = state_.other_leads(now);
  std::erase_if(leads, [this](const auto& peer) { return asked_.contains(peer); });
  const bool large = rounds_.is_large(state_.peers.running_count(now));
  for (const auto& peer : rounds_.next_targets(peers_to_ask(now), leads, now)) {
    const bool is_lead = std::find(leads.begin(), leads.end(), peer) != leads.end();
    ask(peer, large && is_lead ? extent::brief : extent::whole);
  }
}

void peer_sync::tell_news(mono_time now)
{
  using extent = fleet_state::report_extent;
  const bool large = rounds_.is_large(state_.peers.running_count(now));
  for (const auto& peer : rounds_.next_urgent_targets(peers_to_ask(now))) {
    ask(peer, large ? extent::brief : extent::whole);
  }
}

const peer_sync::made_report& peer_sync::current_report(fleet_state::report_extent extent)
{
  const auto now = read_clocks();
  const auto [it, is_first] = made_.try_emplace(extent);
  if (is_first || now.mono >= it->second.made_at + report_reuse) {
    it->second = {.packed = deflate(encode_peer_report(state_.report(now, extent))),
                  .made_at = now.mono};
  }
  return it->second;
}

void peer_sync::count_report(const std::string& body, const char* direction)
{
  state_.counters.count("peer_report_bytes", {{"direction", direction}}, body.size());
}

gateway::peer_report peer_sync::unpack_report(const std::string& body, const http::headers& fields)
{
  count_report(body, "received");
  // Peers of an earlier version make each report for its message.
  const auto age = parse_number<std::uint32_t>(http::find_header(fields, report_age_field, "0"));
  if (!age) {
    throw gateway::peer_report_error("report of unreadable age");
  }
  try {
    return aged_by(gateway::decode_peer_report(inflate(body, report_limit)), milliseconds(*age));
  } catch (const deflate_error& e) {
    throw gateway::peer_report_error(e.what());
  }
}

asio::awaitable<void> peer_sync::exchange(http::socket_address peer,
                                          fleet_state::report_extent extent)
{
  const auto& report = current_report(extent);
  const bool brief = extent == fleet_state::report_extent::brief;
  const auto asked_at = std::chrono::steady_clock::now();
  http::request message{.method = "POST",
                        .target = std::string(brief ? brief_report_target : report_target),
                        .fields = {age_field(report.made_at, asked_at)},
                        .body = report.packed};
  count_report(message.body, "sent");
  try {
    const auto deadline = asked_at + exchange_timeout;
    const auto reply = co_await client_.call(peer, std::move(message), deadline);
    if (reply.status == http::status::ok) {
      const auto told = unpack_report(reply.body, reply.fields);
      take_report(told, peer);
      if (state_.feed.on_peer_view(told.endpoints, asked_at) == gateway::feed_action::fetch) {
        fetch_endpoints(peer);
      }
    }
  } catch (const http::http_error& e) {
    state_.counters.count("peer_exchanges_failed");
  } catch (const gateway::peer_report_error& e) {
    state_.log.write(daemon::log_level::error, "peer report unreadable",
                     {{"peer", to_string(peer)}, {"reason", e.what()}});
  }
  asked_.erase(peer);
}

asio::awaitable<void> peer_sync::fetch(http::socket_address peer, fetch_kind kind)
{
  if (!fetches_.insert(kind.what).second) {
    co_return;
  }
  http::request message{.target = kind.target};
  try {
    const auto deadline = std::chrono::steady_clock::now() + fetch_timeout;
    const auto reply = co_await client_.call(peer, std::move(message), deadline);
    if (reply.status == http::status::ok) {
      kind.take(reply.body);
    }
  } catch (const error& e) {
    state_.log.write(daemon::log_level::warn, kind.what + " not fetched",
                     {{"peer", to_string(peer)}, {"reason", e.what()}});
  }
  fetches_.erase(kind.what);
}

void peer_sync::fetch_configuration(const http::socket_address& peer)
{
  fetch_kind kind{.what = "configuration", .target = std::string(configuration_target)};
  kind.take = [this](const std::string& body) {
    state_.offer_configuration(parse_json(body), "peer");
  };
  asio::co_spawn(context_, fetch(peer, std::move(kind)), asio::detached);
}

void peer_sync::fetch_endpoints(const http::socket_address& peer)
{
  const auto after = state_.feed.revision();
  const auto asked_at = std::chrono::steady_clock::now();
  fetch_kind kind{.what = "endpoints",
                  .target = std::string(endpoints_target) + "?after=" + std::to_string(after)};
  kind.take = [this, after, asked_at](const std::string& body) {
    const auto changes = gateway::decode_endpoint_changes(body);
    const auto now = std::chrono::steady_clock::now();
    state_.take_departures(changes.departures, now);
    for (const auto& r : changes.records) {
      state_.endpoints.apply(r, now);
      state_.feed.update_from_peer(r);
    }
    state_.feed.on_fetched(changes.view, after, asked_at);
  };
  asio::co_spawn(context_, fetch(peer, std::move(kind)), asio::detached);
}

void peer_sync::take_report(const gateway::peer_report& told, const http::socket_address& from)
{
  const auto now = read_clocks();
  rounds_.on_report(from, now.mono);
  state_.absorb(told, now);
  if (told.configuration_version > state_.configuration_version()) {
    fetch_configuration(from);
  }
  compare_crashes(told, now.mono);
}

void peer_sync::compare_crashes(const gateway::peer_report& told, mono_time now)
{
  const auto own = state_.crashes.digest();
  if (told.crash_digest == own || told.crash_digest == 0) {
    crashes_differ_since_.reset();
    return;
  }
  const auto since = crashes_differ_since_.value_or(now);
  crashes_differ_since_ = since;
  if (own == 0 || since + crash_news_time <= now) {
    crashes_differ_since_.reset();
    fetch_crashes(told.self.peer_address);
  }
}

void peer_sync::fetch_crashes(const http::socket_address& peer)
{
  fetch_kind kind{.what = "crashes", .target = std::string(crashes_target)};
  kind.take = [this](const std::string& body) {
    state_.crashes.merge(gateway::decode_crash_report(parse_json(body)), state_.fleet_time());
  };
  asio::co_spawn(context_, fetch(peer, std::move(kind)), asio::detached);
}

asio::awaitable<gateway::quota_decision> peer_sync::admit(workspace_id workspace, double units)
{
  auto decided = state_.quota.admit(workspace, units, std::chrono::steady_clock::now());
  if (decided.outcome == gateway::quota_outcome::ask_owner) {
    gateway::quota_request question{
        .workspace = workspace, .min_units = units, .wanted_units = decided.units_to_request};
    const auto grant = co_await ask_owner(decided.owner, std::move(question));
    decided = state_.quota.on_grant(workspace, units, grant, std::chrono::steady_clock::now());
  }
  co_return decided;
}

asio::awaitable<std::optional<gateway::quota_grant>>
peer_sync::ask_owner(daemon_id owner, gateway::quota_request question)
{
  const auto address = state_.peers.address_of(owner);
  if (!address) {
    co_return std::nullopt;
  }
  http::request message{.method = "POST",
                        .target = std::string(quota_target),
                        .body = encode_quota_request(question)};
  std::string reason;
  try {
    const auto deadline = std::chrono::steady_clock::now() + quota_timeout;
    const auto reply = co_await client_.call(*address, std::move(message), deadline);
    if (reply.status == http::status::ok) {
      co_return gateway::decode_quota_grant(reply.body);
    }
    reason = "status " + std::to_string(reply.status);
  } catch (const error& e) {
    reason = e.what();
  }
  state_.counters.count("quota_questions_failed");
  state_.log.write(
      daemon::log_level::warn, "quota owner did not answer",
      {{"owner", owner.value()}, {"workspace", question.workspace.value()}, {"reason", reason}});
  co_return std::nullopt;
}

http::response peer_sync::answer_report(const http::request& asked)
{
  const auto told = unpack_report(asked.body, asked.fields);
  take_report(told, told.self.peer_address);
  const bool brief = asked.target == brief_report_target;
  const auto& report =
      current_report(brief ? fleet_state::report_extent::brief : fleet_state::report_extent::whole);
  count_report(report.packed, "sent");
  return {.status = http::status::ok,
          .fields = {age_field(report.made_at, std::chrono::steady_clock::now())},
          .body = report.packed};
}

http::response peer_sync::answer_quota(const http::request& asked)
{
  const auto q = gateway::decode_quota_request(asked.body);
  const auto grant = state_.quota.grant(q.workspace, q.min_units, q.wanted_units,
                                        std::chrono::steady_clock::now());
  if (!grant) {
    return {.status = http::status::unavailable};
  }
  return {.status = http::status::ok, .body = encode_quota_grant(*grant)};
}

http::response peer_sync::answer_endpoints(const http::request& asked)
{
  const auto query = http::parse_target(asked.target).query;
  const auto after = parse_number<std::uint64_t>(http::find_header(query, "after"));
  if (!after) {
    return {.status = http::status::bad_request};
  }
  const auto changes = state_.endpoint_changes(*after, std::chrono::steady_clock::now());
  return {.status = http::status::ok, .body = encode_endpoint_changes(changes)};
}

asio::awaitable<void> peer_sync::serve(http::request asked, http::response_writer& writer)
{
  http::response out{.status = http::status::not_found};
  try {
    if (asked.target == report_target || asked.target == brief_report_target) {
      out = answer_report(asked);
    } else if (asked.target == quota_target) {
      out = answer_quota(asked);
    } else if (asked.target == configuration_target && state_.configuration()) {
      out = {.status = http::status::ok,
             .body = boost::json::serialize(state_.configuration_document())};
    } else if (http::parse_target(asked.target).path == endpoints_target) {
      out = answer_endpoints(asked);
    } else if (asked.target == crashes_target) {
      out = {.status = http::status::ok,
             .body = boost::json::serialize(encode_crash_report(state_.crashes.all()))};
    } else if (asked.target == metrics_target) {
      out = {.status = http::status::ok, .body = state_.counters.exposition()};
    }
  } catch (const gateway::peer_report_error& e) {
    state_.log.write(daemon::log_level::error, "peer report unreadable", {{"reason", e.what()}});
    out.status = http::status::bad_request;
  }
  co_await writer.send(std::move(out));
}

} // namespace wisteriaflow::relay
