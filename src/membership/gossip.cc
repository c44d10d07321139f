#include "wisteriaflow/membership/gossip.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace wisteriaflow::membership {
namespace {

// A repair reply with this many records or more goes to a daemon that has just joined. All other
// daemons already know the records, so they are not gossiped further.
constexpr std::size_t bulk_repair_records = 32;

// Once in this many choices of peers, one is a suspected daemon, so that the halves of a
// partitioned fleet find each other again.
constexpr std::uint64_t suspected_peer_interval = 16;

// Maximum number of received loads that are kept until take_loads is called.
constexpr std::size_t max_received_loads = 256;

// Live endpoints reach every daemon through the instance list, and each daemon detects gone members
// by itself, so only daemons and leaving members are gossiped.
bool needs_gossip(const member& m)
{
  if (m.state == member_state::gone) {
    return false;
  }
  return m.key.kind == member_kind::daemon || m.state == member_state::leaving;
}

std::vector<std::uint32_t> buckets_of(const membership_view& view)
{
  return {view.buckets().begin(), view.buckets().end()};
}

} // namespace

gossiper::gossiper(gossip_options options, membership_view& view, clock_reading now)
    : options_(std::move(options)), view_(view), random_(options_.seed),
      updates_({.max_records = options_.max_updates, .urgent_pushes = options_.urgent_pushes},
               view_),
      heartbeats_(
          {.max_heartbeats = options_.max_heartbeats, .max_sends = options_.heartbeat_sends}),
      usage_(options_.usage), repair_(options_.repair_delay, now.mono), urgent_due_(now.mono)
{
  // A random first due time, so that daemons that start together do not all exchange at once.
  exchange_due_ = now.mono + std::chrono::milliseconds(random_() % options_.period.count());
  // Other daemons know the initial members already, except for this daemon itself.
  queue_changes(false, now);
  updates_.add(view_.self());
}

void gossiper::set_configuration(std::uint64_t revision, std::uint64_t floor)
{
  local_configuration_ = {.revision = revision, .floor = floor};
}

void gossiper::set_load(const endpoint_load& load)
{
  local_loads_[load.endpoint] = load;
}

std::vector<endpoint_load> gossiper::take_loads()
{
  return std::exchange(received_loads_, {});
}

void gossiper::send_failed(const daemon_id& to, clock_reading now)
{
  view_.connect_failed({member_kind::daemon, to.value()}, now);
}

void gossiper::queue_changes(bool disseminate, clock_reading now)
{
  if (view_.version() == queued_version_) {
    return;
  }
  repair_.note_change(now.mono);
  const auto& changes = view_.changes();
  for (auto it = changes.upper_bound(queued_version_); it != changes.end(); ++it) {
    const member* m = view_.find(it->second);
    if (needs_gossip(*m) && disseminate) {
      updates_.add(*m);
    } else {
      updates_.remove(it->second);
    }
  }
  queued_version_ = view_.version();
}

void gossiper::merge_message(const gossip_message& message, clock_reading now)
{
  queue_changes(true, now);
  for (const member& m : message.members) {
    view_.apply(m, now);
  }
  const bool is_repair = message.covered_version != 0;
  queue_changes(!is_repair || message.members.size() < bulk_repair_records, now);
  for (const auto& beat : message.heartbeats) {
    if (view_.apply_heartbeat(beat.hash, beat.counter, now)) {
      heartbeats_.add(beat, now.mono);
    }
  }
  if (message.configuration_revision > highest_configuration_.revision) {
    highest_configuration_.revision = message.configuration_revision;
    highest_configuration_.holder = message.from;
  }
  highest_configuration_.floor =
      std::max(highest_configuration_.floor, message.configuration_floor);
  received_loads_.insert(received_loads_.end(), message.loads.begin(), message.loads.end());
  if (received_loads_.size() > max_received_loads) {
    // The loads are not being taken; keep the newest.
    const auto surplus = static_cast<std::ptrdiff_t>(received_loads_.size() - max_received_loads);
    received_loads_.erase(received_loads_.begin(), received_loads_.begin() + surplus);
  }
  const auto* from = view_.find({member_kind::daemon, message.from.value()});
  if (from != nullptr && from->state != member_state::gone) {
    view_.connect_succeeded(from->key, now);
  }
}

gossip_message gossiper::make_message(const daemon_id& to, gossip_kind kind, clock_reading now)
{
  gossip_message message{.from = daemon_id{view_.self().key.id},
                         .kind = kind,
                         .configuration_revision = local_configuration_.revision,
                         .configuration_floor = local_configuration_.floor};
  if (kind == gossip_kind::exchange) {
    message.view_version = view_.version();
    message.view_hash = view_.hash();
    const auto seen = seen_versions_.find(to);
    message.seen_version = seen == seen_versions_.end() ? 0 : seen->second;
    message.members = updates_.take();
    add_heartbeats(message, now);
    add_loads(message, to);
  }
  return message;
}

void gossiper::add_heartbeats(gossip_message& message, clock_reading now)
{
  const member& self = view_.self();
  message.heartbeats.push_back(
      {.hash = membership_view::heartbeat_hash_of(self), .counter = self.heartbeat});
  const auto forwarded = heartbeats_.take(now.mono);
  message.heartbeats.insert(message.heartbeats.end(), forwarded.begin(), forwarded.end());
}

void gossiper::add_loads(gossip_message& message, const daemon_id& to) const
{
  if (!options_.is_in_subset) {
    return;
  }
  for (const auto& [endpoint, load] : local_loads_) {
    if (message.loads.size() < options_.max_loads && options_.is_in_subset(to, endpoint)) {
      message.loads.push_back(load);
    }
  }
}

// Adds the records of the buckets that differ, the oldest changes first, so that the records cut
// off by the limit are those after `covered_version`.
void gossiper::add_repair(gossip_message& reply, const gossip_message& request)
{
  reply.covered_version = view_.version();
  if (request.view_hash == view_.hash()) {
    return;
  }
  if (request.view_buckets.size() != view_.buckets().size()) {
    reply.covered_version = 0;
    return;
  }
  std::size_t added = 0;
  const auto& changes = view_.changes();
  // A version higher than the current one belongs to an earlier process of this daemon.
  const auto seen = request.seen_version <= view_.version() ? request.seen_version : 0;
  for (auto it = changes.upper_bound(seen); it != changes.end(); ++it) {
    const auto bucket = membership_view::bucket_of(it->second);
    if (request.view_buckets.at(bucket) == view_.buckets().at(bucket)) {
      continue;
    }
    if (added == options_.max_repair_records) {
      reply.covered_version = it->first - 1;
      return;
    }
    const member* m = view_.find(it->second);
    reply.members.push_back(m->state == member_state::gone ? without_attributes(*m) : *m);
    ++added;
  }
}

std::vector<const member*> gossiper::choose_peers(int n)
{
  std::vector<const member*> healthy;
  std::vector<const member*> suspected;
  for (const member* m : view_.other_daemons()) {
    if (m->attributes.peer_address.empty()) {
      continue;
    }
    (view_.is_suspected(daemon_id{m->key.id}) ? suspected : healthy).push_back(m);
  }
  if (!suspected.empty() && (healthy.empty() || random_() % suspected_peer_interval == 0)) {
    healthy.push_back(suspected.at(random_() % suspected.size()));
    std::swap(healthy.front(), healthy.back());
    std::vector<const member*> chosen = {healthy.front()};
    std::sample(healthy.begin() + 1, healthy.end(), std::back_inserter(chosen), n - 1, random_);
    return chosen;
  }
  std::vector<const member*> chosen;
  std::ranges::sample(healthy, std::back_inserter(chosen), n, random_);
  return chosen;
}

std::vector<outgoing_gossip> gossiper::urgent_pushes(clock_reading now)
{
  if (now.mono < urgent_due_ || !updates_.has_urgent()) {
    return {};
  }
  gossip_message message = make_message({}, gossip_kind::urgent, now);
  // If the update did not arrive by gossip, possibly no other daemon knows it. It goes to more
  // peers so that it is not lost if this daemon ends now.
  const int fanout =
      std::exchange(has_local_updates_, false) ? options_.origin_fanout : options_.urgent_fanout;
  message.members = updates_.take_urgent(fanout);
  // With pushes left, the next one is soon enough also for a record that was queued after this
  // push.
  urgent_due_ =
      now.mono + (updates_.has_urgent() ? options_.urgent_interval : options_.urgent_batch_delay);
  std::vector<outgoing_gossip> pushes;
  for (const member* peer : choose_peers(fanout)) {
    pushes.push_back({.to = daemon_id{peer->key.id},
                      .peer_address = peer->attributes.peer_address,
                      .message = message});
  }
  return pushes;
}

std::vector<outgoing_gossip> gossiper::exchanges(clock_reading now)
{
  if (now.mono < exchange_due_) {
    return {};
  }
  exchange_due_ = now.mono + options_.period;
  std::erase_if(seen_versions_, [this](const auto& item) {
    const member* m = view_.find({member_kind::daemon, item.first.value()});
    return m == nullptr || m->state == member_state::gone;
  });
  auto peers = choose_peers(options_.fanout);
  if (const auto recheck_peer = repair_.take_recheck(now.mono)) {
    const member* peer = view_.find({member_kind::daemon, recheck_peer->value()});
    if (peer != nullptr && !peers.empty()) {
      peers.back() = peer;
    }
  }
  std::vector<outgoing_gossip> messages;
  for (const member* peer : peers) {
    const daemon_id to{peer->key.id};
    messages.push_back({.to = to,
                        .peer_address = peer->attributes.peer_address,
                        .message = make_message(to, gossip_kind::exchange, now)});
  }
  return messages;
}

std::vector<outgoing_gossip> gossiper::usage_messages(clock_reading now)
{
  if (now.mono < usage_.report_due()) {
    return {};
  }
  std::vector<outgoing_gossip> messages;
  for (auto& reports : usage_.take_reports(view_.live_daemons(), now.mono)) {
    const member* owner = view_.find({member_kind::daemon, reports.to.value()});
    auto message = make_message(reports.to, gossip_kind::usage, now);
    message.usage = std::move(reports.usage);
    messages.push_back({.to = reports.to,
                        .peer_address = owner->attributes.peer_address,
                        .message = std::move(message)});
  }
  return messages;
}

std::vector<outgoing_gossip> gossiper::tick(clock_reading now)
{
  has_local_updates_ = has_local_updates_ || view_.version() != queued_version_;
  queue_changes(true, now);
  auto messages = urgent_pushes(now);
  std::ranges::move(exchanges(now), std::back_inserter(messages));
  std::ranges::move(usage_messages(now), std::back_inserter(messages));
  return messages;
}

mono_time gossiper::next_due() const
{
  const auto due = std::min(exchange_due_, usage_.report_due());
  return updates_.has_urgent() ? std::min(due, urgent_due_) : due;
}

gossip_response gossiper::receive(const gossip_message& message, clock_reading now)
{
  merge_message(message, now);
  gossip_response response;
  response.pushes = urgent_pushes(now);
  response.reply = make_message(message.from, message.kind, now);
  // The peer does not need the records that it has just sent.
  std::erase_if(response.reply.members, [&](const member& m) {
    return std::ranges::any_of(
        message.members, [&](const member& sent) { return equal_without_heartbeat(m, sent); });
  });
  if (message.kind == gossip_kind::exchange) {
    note_agreement(message);
    add_repair(response.reply, message);
  }
  if (message.kind == gossip_kind::usage) {
    response.reply.usage = usage_.receive_reports(message.usage, now.mono);
  }
  return response;
}

// Two views that agree contain each other's changes, so a later repair between them need not start
// from version 0.
void gossiper::note_agreement(const gossip_message& message)
{
  if (message.view_hash == view_.hash()) {
    repair_.note_agreement(message.from);
    auto& seen = seen_versions_[message.from];
    seen = std::max(seen, message.view_version);
  }
}

std::vector<outgoing_gossip> gossiper::receive_reply(const gossip_message& reply, clock_reading now)
{
  merge_message(reply, now);
  if (reply.kind == gossip_kind::usage) {
    usage_.receive_sums(reply.usage, now.mono);
  }
  auto messages = urgent_pushes(now);
  if (reply.kind != gossip_kind::exchange) {
    return messages;
  }
  note_agreement(reply);
  auto& seen = seen_versions_[reply.from];
  seen = std::max(seen, reply.covered_version);
  const bool was_bounded = reply.covered_version != 0 && reply.covered_version < reply.view_version;
  const bool differs = reply.covered_version == 0 && reply.view_hash != view_.hash();
  const member* from = view_.find({member_kind::daemon, reply.from.value()});
  if (from != nullptr &&
      (was_bounded || (differs && repair_.note_difference(reply.from, now.mono)))) {
    auto repair_request = make_message(reply.from, gossip_kind::exchange, now);
    repair_request.heartbeats.clear();
    repair_request.view_buckets = buckets_of(view_);
    messages.push_back({.to = reply.from,
                        .peer_address = from->attributes.peer_address,
                        .message = std::move(repair_request)});
  }
  return messages;
}

} // namespace wisteriaflow::membership
