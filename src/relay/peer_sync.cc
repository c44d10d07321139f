#include "relay/peer_sync.h"

#include <algorithm>
#include <limits>
#include <memory>
#include <utility>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/serialize.hpp>

#include "gateway/json_fields.h"
#include "wisteriaflow/base/deflate.h"
#include "wisteriaflow/base/text.h"
#include "wisteriaflow/gateway/crash_report_codec.h"
#include "wisteriaflow/gateway/peer_report.h"
#include "wisteriaflow/http/errors.h"
#include "wisteriaflow/http/status.h"

namespace wisteriaflow::relay {
namespace {

using std::chrono::milliseconds;
namespace asio = boost::asio;

// Each daemon exchanges reports with a peer once per period, unless the peer started an exchange in
// the meantime.
constexpr milliseconds exchange_period{400};
// Urgent updates are delayed by this much so that several share a message.
constexpr milliseconds urgent_batch_delay{15};
constexpr milliseconds exchange_timeout{500};
// A quota owner answers within a few milliseconds; a call should not wait longer for an owner that
// is unreachable.
constexpr milliseconds quota_timeout{120};
// A daemon that does not consider itself the owner names the one to ask. More than one redirect is
// needed only while daemons that were started at once learn of each other.
constexpr unsigned max_quota_redirects = 2;
constexpr milliseconds fetch_timeout{1'000};
// Descriptions of endpoints in one answer: some 10 KB, compressed.
constexpr std::size_t max_page_records = 200;
// A shorter answer is not worth compressing.
constexpr std::size_t min_compressed_bytes = 1'000;
constexpr std::size_t max_fetched_bytes = std::size_t{16} << 20U; // decompressed
// Crash records reach every daemon well within this time. If digests still differ after it, some
// were missed, for example by a daemon that was partitioned. A daemon without any fetches them at
// once.
constexpr milliseconds crash_propagation_time{3'000};
// Maximum size of a decompressed report in bytes. The largest observed report, of 63 daemons, has 5
// KB.
constexpr std::size_t max_report_bytes = std::size_t{1} << 20U;

// Limits of a message of a peer: those of a caller's request, which it may send through this
// daemon, and room for a few header fields.
constexpr std::size_t max_header_bytes = std::size_t{68} << 10U;
constexpr std::size_t max_body_bytes = std::size_t{16} << 20U;

// A report is reused for all exchanges within this time, a quarter of a period: building one takes
// 0.11 ms with 195 daemons, decoding and merging one 0.05 ms (without sockets).
constexpr milliseconds report_cache_time{100};
// Header with the age of the report in the message, in milliseconds.
constexpr std::string_view report_age_field = "Report-Age-Ms";

constexpr std::string_view report_target = "/report";
constexpr std::string_view brief_report_target = "/report?brief";
constexpr std::string_view quota_target = "/quota";
constexpr std::string_view usage_target = "/usage"; // for a relay
constexpr std::string_view leader_usage_target = "/usage?leader";
constexpr std::string_view configuration_target = "/configuration";
// With ?after=REVISION of the store, and &page=1 for at most max_page_records descriptions.
constexpr std::string_view endpoints_target = "/endpoints";
constexpr std::string_view crashes_target = "/crashes";
constexpr std::string_view metrics_target = "/metrics";

const http::header accept_deflate{.name = "Accept-Encoding", .value = "deflate"};

http::header age_field(mono_time made_at, mono_time now)
{
  const auto age = std::chrono::ceil<milliseconds>(now - made_at);
  return {.name = std::string(report_age_field), .value = std::to_string(age.count())};
}

// Decompresses a message of a peer; throws peer_report_error, also for more than `limit` bytes.
std::string unpack(const std::string& body, std::size_t limit)
{
  try {
    return inflate(body, limit);
  } catch (const deflate_error& e) {
    throw gateway::peer_report_error(e.what());
  }
}

// The body of a peer's answer to a fetch; throws peer_report_error.
std::string unpack_fetched(const http::response& reply)
{
  if (http::find_header(reply.fields, "Content-Encoding") != "deflate") {
    return reply.body; // short, or of a peer of an earlier version
  }
  return unpack(reply.body, max_fetched_bytes);
}

// The answer to a fetch, compressed if the peer accepts that.
http::response make_fetched(const http::request& request, std::string body)
{
  const bool accepts = http::find_header(request.fields, accept_deflate.name) == "deflate";
  if (!accepts || body.size() < min_compressed_bytes) {
    return {.status = http::status::ok, .body = std::move(body)};
  }
  return {.status = http::status::ok,
          .fields = {{.name = "Content-Encoding", .value = "deflate"}},
          .body = deflate(body)};
}

// Parses the body of a peer's answer; throws peer_report_error.
boost::json::value parse_json(const std::string& body)
{
  try {
    return gateway::internal::parse_lenient(body);
  } catch (const std::exception& e) {
    throw gateway::peer_report_error(std::string("not JSON: ") + e.what());
  }
}

} // namespace

peer_sync::peer_sync(asio::io_context& context, fleet_state& state)
    : context_(context), state_(state),
      client_(context, {.connect_timeout = exchange_timeout, .retry_stale_get = false}),
      server_(context,
              {.address = state.options.peers,
               .header_limit = max_header_bytes,
               .body_limit = max_body_bytes},
              [this](http::request request, http::response_writer& w) {
                return serve(std::move(request), w);
              }),
      timer_(context), rounds_({.period = exchange_period}, state.seed())
{
}

void peer_sync::add_handler(std::string target, http::handler serve)
{
  handlers_.emplace(std::move(target), std::move(serve));
}

void peer_sync::start()
{
  state_.set_urgent_update_callback([this] { schedule_urgent_exchange(); });
  asio::co_spawn(context_, run(), asio::detached);
}

asio::awaitable<void> peer_sync::run()
{
  for (;;) {
    const auto now = std::chrono::steady_clock::now();
    if (std::exchange(urgent_update_pending_, false)) {
      send_urgent_update(now);
    }
    // An urgent update does not replace a periodic round: only the round's reports contain what is
    // known of other daemons.
    if (now >= next_round_) {
      next_round_ = now + exchange_period;
      start_round(now);
      state_.tick(read_clocks());
      send_usage();
    }
    timer_.expires_at(next_round_);
    boost::system::error_code ec;
    co_await timer_.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    if (urgent_update_pending_) {
      timer_.expires_after(urgent_batch_delay);
      co_await timer_.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
  }
}

void peer_sync::schedule_urgent_exchange()
{
  cached_reports_.clear(); // the next report must contain the update
  if (!urgent_update_pending_) {
    urgent_update_pending_ = true;
    timer_.cancel();
  }
}

std::vector<http::socket_address> peer_sync::idle_peers(mono_time now) const
{
  auto out = state_.peers.addresses_to_contact(now);
  std::erase_if(out, [this](const auto& peer) { return exchanges_in_flight_.contains(peer); });
  return out;
}

void peer_sync::start_exchange(const http::socket_address& peer, fleet_state::report_extent extent)
{
  exchanges_in_flight_.insert(peer);
  asio::co_spawn(context_, exchange(peer, extent), asio::detached);
}

void peer_sync::start_round(mono_time now)
{
  using extent = fleet_state::report_extent;
  auto regular = state_.regular_targets(now);
  auto& addresses = regular.addresses;
  std::erase_if(addresses,
                [this](const auto& peer) { return exchanges_in_flight_.contains(peer); });
  const bool large = rounds_.is_large(state_.peers.running_count(now));
  for (const auto& peer : rounds_.next_targets(idle_peers(now), regular, now)) {
    const bool is_regular = std::find(addresses.begin(), addresses.end(), peer) != addresses.end();
    start_exchange(peer, large && is_regular ? extent::brief : extent::full);
  }
}

void peer_sync::send_urgent_update(mono_time now)
{
  using extent = fleet_state::report_extent;
  const bool large = rounds_.is_large(state_.peers.running_count(now));
  for (const auto& peer : rounds_.next_urgent_targets(idle_peers(now))) {
    start_exchange(peer, large ? extent::brief : extent::full);
  }
}

const peer_sync::cached_report& peer_sync::current_report(fleet_state::report_extent extent)
{
  const auto now = read_clocks();
  const auto [it, is_first] = cached_reports_.try_emplace(extent);
  if (is_first || now.mono >= it->second.made_at + report_cache_time) {
    it->second = {.packed = deflate(encode_peer_report(state_.report(now, extent))),
                  .made_at = now.mono};
  }
  return it->second;
}

void peer_sync::count_report(const std::string& body, const char* direction)
{
  state_.counters.count("peer_report_bytes", {{"direction", direction}}, body.size());
}

void peer_sync::count_bytes(const std::string& message, const char* direction,
                            const std::string& body)
{
  state_.counters.count("peer_fetch_bytes", {{"fetched", message}, {"direction", direction}},
                        body.size());
}

gateway::peer_report peer_sync::unpack_report(const std::string& body, const http::headers& fields)
{
  count_report(body, "received");
  // Peers of an older version send no age: they build each report for its message.
  const auto age = parse_number<std::uint32_t>(http::find_header(fields, report_age_field, "0"));
  if (!age) {
    throw gateway::peer_report_error("report of unreadable age");
  }
  return aged_by(gateway::decode_peer_report(unpack(body, max_report_bytes)), milliseconds(*age));
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
      const auto received = unpack_report(reply.body, reply.fields);
      handle_report(received, peer);
      if (state_.feed.on_peer_view(received.endpoints, asked_at) == gateway::feed_action::fetch) {
        fetch_endpoints(peer);
      }
    }
  } catch (const http::http_error& e) {
    state_.counters.count("peer_exchanges_failed");
  } catch (const gateway::peer_report_error& e) {
    state_.log.write(daemon::log_level::error, "peer report unreadable",
                     {{"peer", to_string(peer)}, {"reason", e.what()}});
  }
  exchanges_in_flight_.erase(peer);
}

asio::awaitable<void> peer_sync::fetch(http::socket_address peer, fetch_request request)
{
  if (!fetches_in_flight_.insert(request.name).second) {
    co_return;
  }
  try {
    for (bool has_more = true; has_more;) {
      http::request message{.target = request.target(), .fields = {accept_deflate}};
      const auto deadline = std::chrono::steady_clock::now() + fetch_timeout;
      const auto reply = co_await client_.call(peer, std::move(message), deadline);
      has_more = false;
      if (reply.status == http::status::ok) {
        count_bytes(request.name, "received", reply.body);
        has_more = request.apply(unpack_fetched(reply));
      }
    }
  } catch (const error& e) {
    state_.log.write(daemon::log_level::warn, request.name + " not fetched",
                     {{"peer", to_string(peer)}, {"reason", e.what()}});
  }
  fetches_in_flight_.erase(request.name);
}

void peer_sync::fetch_configuration(const http::socket_address& peer)
{
  fetch_request request{.name = "configuration"};
  request.target = [] { return std::string(configuration_target); };
  request.apply = [this](const std::string& body) {
    state_.apply_configuration_if_newer(parse_json(body), "peer");
    return false;
  };
  asio::co_spawn(context_, fetch(peer, std::move(request)), asio::detached);
}

void peer_sync::fetch_endpoints(const http::socket_address& peer)
{
  if (!state_.may_fetch_endpoints_from(peer, std::chrono::steady_clock::now())) {
    return;
  }
  struct position {
    gateway::store_revision after;
    mono_time asked_at;
  };
  auto asked = std::make_shared<position>();
  fetch_request request{.name = "endpoints"};
  request.target = [this, asked] {
    *asked = {.after = state_.feed.revision(), .asked_at = std::chrono::steady_clock::now()};
    return std::string(endpoints_target) + "?after=" + std::to_string(asked->after.packed()) +
           "&page=1";
  };
  request.apply = [this, peer, asked](const std::string& body) {
    const auto changes = gateway::decode_endpoint_changes(body);
    const auto now = std::chrono::steady_clock::now();
    state_.apply_departures(changes.departures, "changes of " + to_string(peer), now);
    for (const auto& r : changes.records) {
      state_.endpoints.apply(r, now);
      state_.feed.update_from_peer(r);
    }
    state_.feed.on_fetched(changes, asked->after, asked->asked_at);
    return !changes.is_complete && state_.feed.revision() > asked->after;
  };
  asio::co_spawn(context_, fetch(peer, std::move(request)), asio::detached);
}

void peer_sync::handle_report(const gateway::peer_report& report, const http::socket_address& from)
{
  const auto now = read_clocks();
  rounds_.on_report(from, now.mono);
  state_.merge_report(report, now);
  if (report.configuration_version > state_.configuration_version()) {
    fetch_configuration(from);
  }
  reconcile_crashes(report, now.mono);
}

void peer_sync::reconcile_crashes(const gateway::peer_report& report, mono_time now)
{
  const auto own = state_.crashes.digest();
  if (report.crash_digest == own || report.crash_digest == 0) {
    crashes_differ_since_.reset();
    return;
  }
  const auto since = crashes_differ_since_.value_or(now);
  crashes_differ_since_ = since;
  if (own == 0 || since + crash_propagation_time <= now) {
    crashes_differ_since_.reset();
    fetch_crashes(report.self.peer_address);
  }
}

void peer_sync::fetch_crashes(const http::socket_address& peer)
{
  fetch_request request{.name = "crashes"};
  request.target = [] { return std::string(crashes_target); };
  request.apply = [this](const std::string& body) {
    state_.crashes.merge(gateway::decode_crash_report(parse_json(body)), state_.fleet_time());
    state_.review_held_contents();
    return false;
  };
  asio::co_spawn(context_, fetch(peer, std::move(request)), asio::detached);
}

asio::awaitable<gateway::quota_decision> peer_sync::admit(workspace_id workspace, double units,
                                                          load::rank_class rank)
{
  auto decided = state_.quota.admit(workspace, units, std::chrono::steady_clock::now(), rank);
  if (decided.outcome == gateway::quota_outcome::ask_owner) {
    gateway::quota_request request{.workspace = workspace,
                                   .min_units = units,
                                   .wanted_units = decided.units_to_request,
                                   .from = state_.options.id,
                                   .rank = rank};
    const auto grant = co_await ask_owner(decided.owner, std::move(request));
    decided =
        state_.quota.on_grant(workspace, units, grant, std::chrono::steady_clock::now(), rank);
  }
  co_return decided;
}

asio::awaitable<std::optional<gateway::quota_grant>>
peer_sync::ask_owner(daemon_id owner, gateway::quota_request request)
{
  auto address = state_.peers.address_of(owner);
  if (!address) {
    co_return std::nullopt;
  }
  const auto deadline = std::chrono::steady_clock::now() + quota_timeout;
  std::string reason;
  try {
    for (unsigned redirects = 0; address && redirects <= max_quota_redirects; ++redirects) {
      http::request message{.method = "POST",
                            .target = std::string(quota_target),
                            .body = encode_quota_request(request)};
      const auto reply = co_await client_.call(*address, std::move(message), deadline);
      if (reply.status == http::status::ok) {
        co_return gateway::decode_quota_grant(reply.body);
      }
      reason = "status " + std::to_string(reply.status);
      address.reset();
      if (!reply.body.empty()) {
        auto redirect = gateway::decode_quota_redirect(reply.body);
        owner = std::move(redirect.owner);
        address = redirect.address;
      }
    }
  } catch (const error& e) {
    reason = e.what();
  }
  state_.counters.count("quota_questions_failed");
  state_.log.write(
      daemon::log_level::warn, "quota owner did not answer",
      {{"owner", owner.value()}, {"workspace", request.workspace.value()}, {"reason", reason}});
  co_return std::nullopt;
}

http::response peer_sync::answer_report(const http::request& request)
{
  const auto received = unpack_report(request.body, request.fields);
  handle_report(received, received.self.peer_address);
  using extent = fleet_state::report_extent;
  const bool brief = request.target == brief_report_target;
  // Only peers of an earlier version send full reports without ages.
  const auto full = received.ages.empty() ? extent::full_with_ids : extent::full;
  const auto& report = current_report(brief ? extent::brief : full);
  count_report(report.packed, "sent");
  return {.status = http::status::ok,
          .fields = {age_field(report.made_at, std::chrono::steady_clock::now())},
          .body = report.packed};
}

void peer_sync::send_usage()
{
  for (auto& delivery : state_.due_usage(read_clocks())) {
    if (usage_deliveries_in_flight_.insert(delivery.to).second) {
      asio::co_spawn(context_, deliver_usage(std::move(delivery)), asio::detached);
    }
  }
}

asio::awaitable<void> peer_sync::deliver_usage(gateway::usage_delivery delivery)
{
  const auto& to = delivery.to;
  try {
    if (const auto address = state_.peers.address_of(to)) {
      http::request message{
          .method = "POST",
          .target = std::string(delivery.to_leader ? leader_usage_target : usage_target),
          .body = deflate(gateway::encode_usage_rows(delivery.rows))};
      const auto deadline = std::chrono::steady_clock::now() + exchange_timeout;
      const auto reply = co_await client_.call(*address, std::move(message), deadline);
      if (reply.status == http::status::ok) {
        state_.courier.on_delivered(delivery);
      }
    }
  } catch (const http::http_error& e) {
    // The rows are sent again with the next round.
    state_.counters.count("usage_deliveries_failed");
  }
  usage_deliveries_in_flight_.erase(to);
}

http::response peer_sync::answer_usage(const http::request& request)
{
  const auto rows = gateway::decode_usage_rows(unpack(request.body, max_report_bytes));
  state_.receive_usage(rows, request.target == leader_usage_target, read_clocks());
  return {.status = http::status::ok};
}

http::response peer_sync::answer_quota(const http::request& request)
{
  const auto q = gateway::decode_quota_request(request.body);
  const auto now = std::chrono::steady_clock::now();
  if (const auto grant = state_.quota.grant(q, now)) {
    return {.status = http::status::ok, .body = encode_quota_grant(*grant)};
  }
  const auto owner = state_.quota.other_owner(q.workspace, now);
  const auto address = owner ? state_.peers.address_of(*owner) : std::nullopt;
  return {.status = http::status::service_unavailable,
          .body = address ? gateway::encode_quota_redirect({.owner = *owner, .address = *address})
                          : std::string()};
}

http::response peer_sync::answer_endpoints(const http::request& request)
{
  const auto query = http::parse_target(request.target).query;
  const auto after = parse_number<std::uint64_t>(http::find_header(query, "after"));
  if (!after) {
    return {.status = http::status::bad_request};
  }
  // Peers of an earlier version expect all changes at once.
  const bool is_paged = !http::find_header(query, "page").empty();
  const auto changes =
      state_.endpoint_changes(gateway::store_revision::from_packed(*after),
                              is_paged ? max_page_records : std::numeric_limits<std::size_t>::max(),
                              std::chrono::steady_clock::now());
  return make_fetched(request, encode_endpoint_changes(changes));
}

asio::awaitable<void> peer_sync::serve(http::request request, http::response_writer& writer)
{
  if (const auto it = handlers_.find(request.target); it != handlers_.end()) {
    co_await it->second(std::move(request), writer);
    co_return;
  }
  http::response out{.status = http::status::not_found};
  try {
    if (request.target == report_target || request.target == brief_report_target) {
      out = answer_report(request);
    } else if (request.target == usage_target || request.target == leader_usage_target) {
      out = answer_usage(request);
    } else if (request.target == quota_target) {
      out = answer_quota(request);
    } else if (request.target == configuration_target && state_.configuration()) {
      out = make_fetched(request, boost::json::serialize(state_.configuration_document()));
      count_bytes("configuration", "sent", out.body);
    } else if (http::parse_target(request.target).path == endpoints_target) {
      out = answer_endpoints(request);
      count_bytes("endpoints", "sent", out.body);
    } else if (request.target == crashes_target) {
      out =
          make_fetched(request, boost::json::serialize(encode_crash_report(state_.crashes.all())));
    } else if (request.target == metrics_target) {
      out = {.status = http::status::ok, .body = state_.counters.exposition()};
    }
  } catch (const gateway::peer_report_error& e) {
    state_.log.write(daemon::log_level::error, "peer report unreadable", {{"reason", e.what()}});
    out.status = http::status::bad_request;
  }
  co_await writer.send(std::move(out));
}

} // namespace wisteriaflow::relay
