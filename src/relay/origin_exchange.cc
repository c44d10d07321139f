#include "relay/origin_exchange.h"

#include <algorithm>
#include <set>
#include <utility>
#include <variant>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "relay/async_sleep.h"
#include "wisteriaflow/gateway/origin_holders.h"
#include "wisteriaflow/http/errors.h"
#include "wisteriaflow/http/status.h"

namespace wisteriaflow::relay {
namespace {

using std::chrono::milliseconds;
namespace asio = boost::asio;

// Daemons that hold an origin, and those that may replace them if they don't reply.
constexpr std::size_t holder_count = 3;
constexpr std::size_t spare_holders = 3;
// The holders are among the first daemons of the order unless many came and went.
constexpr std::size_t max_queried = 8;
// A peer replies within a few milliseconds. The caller waits for the reply.
constexpr milliseconds peer_timeout{150};
constexpr std::size_t max_open_searches = 64;
// A caller waits for the peers' replies, and then for the store, at most this long.
constexpr milliseconds search_timeout{280};
// Attempts of one caller may together last longer than the route's timeout.
constexpr int stream_memory_factor = 2;
constexpr milliseconds min_stream_memory{30'000};
constexpr milliseconds max_stream_memory{600'000};
// Every daemon in touch with the store, or with one that is, knows within this time that a version
// has appeared.
constexpr milliseconds version_propagation_time{5'000};
constexpr milliseconds replication_check_period{400};
constexpr std::size_t max_unreplicated = 8'192;

} // namespace

std::string_view to_string(origin_evidence evidence)
{
  switch (evidence) {
  case origin_evidence::own_record:
    return "own_record";
  case origin_evidence::peer_record:
    return "peer_record";
  case origin_evidence::stored:
    return "stored";
  case origin_evidence::only_version:
    return "only_version";
  case origin_evidence::unknown:
    return "unknown";
  case origin_evidence::ambiguous:
    return "ambiguous";
  case origin_evidence::overloaded:
    return "overloaded";
  }
  return "unknown";
}

log_fields to_log_fields(const origin_basis& basis)
{
  const auto yes_or_no = [](bool value) { return value ? "yes" : "no"; };
  std::string versions;
  for (const auto& v : basis.in_use) {
    versions += (versions.empty() ? "" : ",") + v.service + "/" + v.version;
  }
  return {{"versions_in_use", std::move(versions)},
          {"replies", std::to_string(basis.replies)},
          {"knows_versions", yes_or_no(basis.knows_versions)},
          {"current_view", yes_or_no(basis.is_current)},
          {"majority", yes_or_no(basis.is_majority)},
          {"read_in_store", yes_or_no(basis.is_read)}};
}

milliseconds stream_memory(const gateway::route& r)
{
  return std::clamp(stream_memory_factor * r.timeout, min_stream_memory, max_stream_memory);
}

milliseconds longest_stream_memory(const fleet_state& state)
{
  auto out = min_stream_memory;
  if (const auto& configuration = state.configuration()) {
    for (const auto& r : configuration->declared().routes) {
      out = std::max(out, stream_memory(r));
    }
  }
  return out;
}

std::vector<std::string> services_of(const gateway::route& r)
{
  std::vector<std::string> out;
  for (const auto& s : r.services) {
    out.push_back(s.service);
  }
  return out;
}

struct origin_exchange::replication {
  replication(asio::io_context& context, const gateway::stream_origin& replicated)
      : origin(replicated), changed(context)
  {
  }

  gateway::stream_origin origin;
  std::vector<gateway::daemon_contact> holders; // in the order in which they are tried
  std::size_t next_holder = 0;
  std::size_t senders = 0; // coroutines that send to holders
  bool is_confirmed = false;
  asio::steady_timer changed;
};

struct origin_exchange::search {
  explicit search(asio::io_context& context) : changed(context) {}

  std::size_t waiting = 0; // questions without a reply
  std::vector<gateway::origin_answer> answers;
  bool has_origin = false; // one of the answers states it
  asio::steady_timer changed;
};

origin_exchange::origin_exchange(asio::io_context& context, fleet_state& state,
                                 recorded_versions_reader read_recorded, origin_store& stored)
    : context_(context), state_(state), read_recorded_(std::move(read_recorded)), stored_(stored),
      client_(context, {.connect_timeout = peer_timeout, .retry_stale_get = false})
{
}

void origin_exchange::start()
{
  asio::co_spawn(context_, replicate_in_background(), asio::detached);
}

bool origin_exchange::has_several_versions(const started_stream& stream, mono_time now) const
{
  const auto& versions = state_.endpoints.versions();
  return !is_only_version(versions.in_use(stream.services, now - stream.memory));
}

bool origin_exchange::are_versions_widely_known(const started_stream& stream, mono_time now) const
{
  const auto& versions = state_.endpoints.versions();
  const auto in_use = versions.in_use(stream.services, now - stream.memory);
  return std::all_of(in_use.begin(), in_use.end(), [&](const gateway::service_version& v) {
    return *versions.known_since(v) + version_propagation_time <= now;
  });
}

asio::awaitable<bool> origin_exchange::settle(started_stream stream)
{
  const auto began_at = std::chrono::steady_clock::now();
  if (!state_.stream_origins.record(stream.origin, began_at)) {
    state_.counters.count("stream_origins_dropped");
  }
  stored_.on_started(stream);
  if (!has_several_versions(stream, began_at)) {
    if (unreplicated_.size() < max_unreplicated) {
      unreplicated_[stream.origin.stream] = std::move(stream);
    }
    co_return true;
  }
  auto task = std::make_shared<replication>(context_, stream.origin);
  const auto order = gateway::order_holders(stream.origin.stream, state_.peers.live(began_at));
  task->holders = gateway::choose_holders(order, state_.options.zone, holder_count + spare_holders);
  if (task->holders.empty() && state_.peers.running_count(began_at) == 1) {
    co_return true;
  }
  task->senders = std::min(holder_count, task->holders.size());
  const auto senders = task->senders;
  for (std::size_t i = 0; i < senders; ++i) {
    asio::co_spawn(context_, replicate_to_next_holders(task), asio::detached);
  }
  while (!task->is_confirmed && task->senders > 0) {
    boost::system::error_code ec;
    task->changed.expires_at(mono_time::max());
    co_await task->changed.async_wait(asio::redirect_error(asio::use_awaitable, ec));
  }
  const auto now = std::chrono::steady_clock::now();
  state_.counters.observe("stream_origin_time", now - began_at, {});
  co_return task->is_confirmed || are_versions_widely_known(stream, now);
}

void origin_exchange::refresh(started_stream stream)
{
  asio::co_spawn(context_, settle(std::move(stream)), asio::detached);
}

void origin_exchange::on_completed(const gateway::stream_id& stream)
{
  stored_.on_completed(stream);
}

asio::awaitable<void> origin_exchange::replicate_to_next_holders(std::shared_ptr<replication> task)
{
  while (task->next_holder < task->holders.size()) {
    const auto& holder = task->holders[task->next_holder++];
    auto body = gateway::encode_origins({task->origin}, std::chrono::steady_clock::now());
    const bool confirmed = co_await send(holder.peer_address, std::move(body));
    if (confirmed) {
      task->is_confirmed = true;
      break;
    }
  }
  --task->senders;
  task->changed.cancel();
}

asio::awaitable<bool> origin_exchange::send(http::socket_address peer, std::string body)
{
  http::request message{
      .method = "POST", .target = std::string(origins_target), .body = std::move(body)};
  state_.counters.count("stream_origin_bytes", {}, message.body.size());
  bool confirmed = false;
  try {
    const auto deadline = std::chrono::steady_clock::now() + peer_timeout;
    const auto reply = co_await client_.call(peer, std::move(message), deadline);
    confirmed = reply.status == http::status::ok;
  } catch (const http::http_error& e) {
    confirmed = false;
  }
  state_.counters.count("stream_origin_messages", {{"confirmed", confirmed ? "yes" : "no"}});
  co_return confirmed;
}

gateway::origin_lookup origin_exchange::lookup(const gateway::stream_id& stream,
                                               mono_time now) const
{
  const auto known = state_.stream_origins.find(stream, now);
  return std::holds_alternative<gateway::unknown_origin>(known) ? stored_.find(stream, now) : known;
}

std::optional<found_origin> origin_exchange::find_own(const gateway::stream_id& stream,
                                                      mono_time now) const
{
  const auto known = lookup(stream, now);
  if (const auto* version = std::get_if<gateway::service_version>(&known)) {
    return found_origin{.version = *version, .evidence = origin_evidence::own_record};
  }
  if (std::holds_alternative<gateway::ambiguous_origin>(known)) {
    return found_origin{.evidence = origin_evidence::ambiguous};
  }
  return std::nullopt;
}

asio::awaitable<found_origin> origin_exchange::find(gateway::origin_question question)
{
  if (auto own = find_own(question.stream, std::chrono::steady_clock::now())) {
    co_return std::move(*own);
  }
  if (open_searches_ >= max_open_searches) {
    co_return found_origin{.evidence = origin_evidence::overloaded};
  }
  ++open_searches_;
  const auto stream = question.stream;
  const auto deadline = std::chrono::steady_clock::now() + search_timeout;
  auto found = co_await query_peers(question);
  if (found.evidence == origin_evidence::unknown) {
    found = co_await infer(std::move(found), deadline);
  }
  if (found.evidence == origin_evidence::unknown) {
    found = co_await find_stored(stream, std::move(found), deadline);
  }
  --open_searches_;
  co_return found;
}

asio::awaitable<found_origin> origin_exchange::query_peers(const gateway::origin_question& question)
{
  const auto now = std::chrono::steady_clock::now();
  auto replies = std::make_shared<search>(context_);
  auto order = gateway::order_holders(question.stream, state_.peers.live(now));
  order.resize(std::min(order.size(), max_queried));
  std::set<http::socket_address> queried;
  for (const auto& peer : order) {
    queried.insert(peer.peer_address);
  }
  if (!stored_.is_reader(now)) {
    for (auto& reader : state_.other_coordinators(now)) {
      queried.insert(std::move(reader));
    }
  }
  replies->waiting = queried.size();
  const auto body = gateway::encode_origin_question(question, now);
  for (const auto& peer : queried) {
    asio::co_spawn(context_, query(peer, body, replies), asio::detached);
  }
  while (replies->waiting > 0 && !replies->has_origin) {
    boost::system::error_code ec;
    replies->changed.expires_at(mono_time::max());
    co_await replies->changed.async_wait(asio::redirect_error(asio::use_awaitable, ec));
  }
  co_return evaluate_records(question, *replies, std::chrono::steady_clock::now());
}

asio::awaitable<found_origin> origin_exchange::find_stored(gateway::stream_id stream,
                                                           found_origin known, mono_time deadline)
{
  if (!stored_.is_reader(std::chrono::steady_clock::now())) {
    co_return known;
  }
  co_await stored_.read(deadline);
  if (auto own = find_own(stream, std::chrono::steady_clock::now())) {
    known.version = own->version;
    known.evidence = own->version ? origin_evidence::stored : own->evidence;
  }
  co_return known;
}

asio::awaitable<void> origin_exchange::query(http::socket_address peer, std::string body,
                                             std::shared_ptr<search> replies)
{
  http::request message{
      .method = "POST", .target = std::string(origin_target), .body = std::move(body)};
  try {
    const auto deadline = std::chrono::steady_clock::now() + peer_timeout;
    const auto reply = co_await client_.call(peer, std::move(message), deadline);
    if (reply.status == http::status::ok) {
      auto answer = gateway::decode_origin_answer(reply.body);
      replies->has_origin =
          replies->has_origin || !std::holds_alternative<gateway::unknown_origin>(answer.origin);
      replies->answers.push_back(std::move(answer));
    }
  } catch (const error& e) {
    state_.counters.count("stream_origin_questions_failed");
  }
  --replies->waiting;
  replies->changed.cancel();
}

found_origin origin_exchange::evaluate_records(const gateway::origin_question& question,
                                               const search& replies, mono_time now) const
{
  origin_basis basis{.in_use =
                         state_.endpoints.versions().in_use(question.services, question.since),
                     .replies = replies.answers.size(),
                     .knows_versions = knows_versions(question),
                     .is_current = state_.has_current_view(now)};
  std::optional<gateway::service_version> version;
  for (const auto& answer : replies.answers) {
    const auto* stated = std::get_if<gateway::service_version>(&answer.origin);
    const bool contradicts = stated != nullptr && version && *version != *stated;
    if (contradicts || std::holds_alternative<gateway::ambiguous_origin>(answer.origin)) {
      return {.evidence = origin_evidence::ambiguous, .basis = std::move(basis)};
    }
    if (stated != nullptr) {
      version = *stated;
    }
    basis.in_use.insert(answer.in_use.begin(), answer.in_use.end());
    basis.knows_versions = basis.knows_versions || answer.knows_versions;
    basis.is_current = basis.is_current || answer.has_current_view;
  }
  const auto daemons = std::min(state_.peers.running_count(now), max_queried + 1);
  basis.is_majority = 1 + basis.replies > daemons / 2;
  const auto evidence = version ? origin_evidence::peer_record : origin_evidence::unknown;
  return {.version = version, .evidence = evidence, .basis = std::move(basis)};
}

// A version that is not recorded has begun no stream, whoever knows it.
asio::awaitable<found_origin> origin_exchange::infer(found_origin known, mono_time deadline)
{
  auto& basis = known.basis;
  if (auto recorded = co_await read_recorded_(deadline)) {
    basis.is_read = true;
    basis.in_use = std::move(*recorded);
  }
  // While the store is down for all, no view is recent, but no new version is recorded either. A
  // minority may only be cut off from it and from the others.
  const bool is_in_touch = basis.is_current || basis.is_majority;
  if ((basis.is_read || (basis.knows_versions && is_in_touch)) && is_only_version(basis.in_use)) {
    known.version = *basis.in_use.begin();
    known.evidence = origin_evidence::only_version;
  }
  co_return known;
}

asio::awaitable<void> origin_exchange::serve_origins(http::request request,
                                                     http::response_writer& writer)
{
  http::response out{.status = http::status::ok};
  const auto now = std::chrono::steady_clock::now();
  try {
    for (const auto& origin : gateway::decode_origins(request.body, now)) {
      state_.endpoints.on_version_stated(origin.version, now);
      if (!state_.stream_origins.record(origin, now)) {
        out.status = http::status::service_unavailable;
      }
    }
  } catch (const gateway::stream_origin_error& e) {
    state_.log.write(daemon::log_level::error, "stream origins unreadable", {{"reason", e.what()}});
    out.status = http::status::bad_request;
  }
  co_await writer.send(std::move(out));
}

asio::awaitable<void> origin_exchange::serve_question(http::request request,
                                                      http::response_writer& writer)
{
  http::response out{.status = http::status::bad_request};
  try {
    const auto question =
        gateway::decode_origin_question(request.body, std::chrono::steady_clock::now());
    const bool is_known = find_own(question.stream, std::chrono::steady_clock::now()).has_value();
    if (!is_known && stored_.reads_for_others(std::chrono::steady_clock::now())) {
      co_await stored_.read(std::chrono::steady_clock::now() + peer_timeout / 2);
    }
    const auto now = std::chrono::steady_clock::now();
    out = {.status = http::status::ok,
           .body = gateway::encode_origin_answer(
               {.origin = lookup(question.stream, now),
                .in_use = state_.endpoints.versions().in_use(question.services, question.since),
                .knows_versions = knows_versions(question),
                .has_current_view = state_.has_current_view(now)})};
  } catch (const gateway::stream_origin_error& e) {
    state_.log.write(daemon::log_level::error, "stream origins unreadable", {{"reason", e.what()}});
  }
  co_await writer.send(std::move(out));
}

asio::awaitable<void> origin_exchange::replicate_in_background()
{
  for (;;) {
    co_await async_sleep(replication_check_period);
    const auto now = std::chrono::steady_clock::now();
    std::erase_if(unreplicated_,
                  [now](const auto& it) { return it.second.origin.expires_at <= now; });
    if (batches_in_flight_ > 0) {
      continue;
    }
    for (auto& message : unreplicated_batches(now)) {
      ++batches_in_flight_;
      asio::co_spawn(context_, send_batch(std::move(message)), asio::detached);
    }
  }
}

std::vector<origin_exchange::batch> origin_exchange::unreplicated_batches(mono_time now)
{
  std::map<std::vector<std::string>, bool> has_several; // by services
  std::map<daemon_id, batch> by_holder;
  std::optional<std::vector<gateway::daemon_contact>> live;
  for (const auto& [stream, it] : unreplicated_) {
    const auto [verdict, is_new] = has_several.try_emplace(it.services);
    if (is_new) {
      verdict->second = has_several_versions(it, now);
    }
    if (!verdict->second) {
      continue;
    }
    if (!live) {
      live = state_.peers.live(now);
    }
    const auto order = gateway::order_holders(stream, *live);
    for (auto& holder : gateway::choose_holders(order, state_.options.zone, holder_count)) {
      auto& message = by_holder[holder.id];
      message.to = std::move(holder);
      message.origins.push_back(it.origin);
    }
  }
  std::vector<batch> out;
  out.reserve(by_holder.size());
  for (auto& [id, message] : by_holder) {
    out.push_back(std::move(message));
  }
  return out;
}

asio::awaitable<void> origin_exchange::send_batch(batch message)
{
  auto body = gateway::encode_origins(message.origins, std::chrono::steady_clock::now());
  const bool confirmed = co_await send(message.to.peer_address, std::move(body));
  if (confirmed) {
    for (const auto& origin : message.origins) {
      unreplicated_.erase(origin.stream);
    }
  }
  --batches_in_flight_;
}

} // namespace wisteriaflow::relay
