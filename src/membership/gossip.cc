#include "wisteriaflow/membership/gossip.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace wisteriaflow::membership {
namespace {

// Repair that brings this many records or more is a newcomer's; they are old to everybody else.
constexpr std::size_t bulk_repair = 32;

// Every so many choices a suspected peer is tried, so that parted halves of a fleet meet again.
constexpr std::uint64_t suspected_choice = 16;

// Loads kept until they are taken.
constexpr std::size_t max_heard_loads = 256;

// Live endpoints come to every daemon by the instance list, and each finds by itself who is gone.
bool is_news(const member& m)
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
      news_({.max_records = options_.max_news, .urgent_pushes = options_.urgent_pushes}, view_),
      heartbeats_({.max_heartbeats = options_.max_heartbeats, .sends = options_.heartbeat_sends}),
      usage_(options_.usage), repair_(options_.repair_delay, now.mono), urgent_due_(now.mono)
{
  // Daemons that start together do not speak together.
  exchange_due_ = now.mono + std::chrono::milliseconds(random_() % options_.period.count());
  // What the view was started with is news to nobody but for this daemon itself.
  note_changes(false, now);
  news_.add(view_.self());
}

void gossiper::set_configuration(std::uint64_t revision, std::uint64_t floor)
{
  own_configuration_ = {.revision = revision, .floor = floor};
}

void gossiper::set_load(const endpoint_load& load)
{
  own_loads_[load.endpoint] = load;
}

std::vector<endpoint_load> gossiper::take_loads()
{
  return std::exchange(heard_loads_, {});
}

void gossiper::send_failed(const daemon_id& to, clock_reading now)
{
  view_.connect_failed({member_kind::daemon, to.value()}, now);
}

void gossiper::note_changes(bool spread, clock_reading now)
{
  if (view_.version() == noted_version_) {
    return;
  }
  repair_.note_change(now.mono);
  const auto& changes = view_.changes();
  for (auto it = changes.upper_bound(noted_version_); it != changes.end(); ++it) {
    const member* m = view_.find(it->second);
    if (is_news(*m) && spread) {
      news_.add(*m);
    } else {
      news_.remove(it->second);
    }
  }
  noted_version_ = view_.version();
}

void gossiper::absorb(const gossip_message& message, clock_reading now)
{
  note_changes(true, now);
  for (const member& m : message.members) {
    view_.apply(m, now);
  }
  const bool is_repair = message.covered_version != 0;
  note_changes(!is_repair || message.members.size() < bulk_repair, now);
  for (const auto& beat : message.heartbeats) {
    if (view_.apply_heartbeat(beat.hash, beat.counter, now)) {
      heartbeats_.add(beat, now.mono);
    }
  }
  if (message.configuration_revision > highest_.revision) {
    highest_.revision = message.configuration_revision;
    highest_.holder = message.from;
  }
  highest_.floor = std::max(highest_.floor, message.configuration_floor);
  heard_loads_.insert(heard_loads_.end(), message.loads.begin(), message.loads.end());
  if (heard_loads_.size() > max_heard_loads) {
    // Nobody takes them; the newest are kept.
    const auto surplus = static_cast<std::ptrdiff_t>(heard_loads_.size() - max_heard_loads);
    heard_loads_.erase(heard_loads_.begin(), heard_loads_.begin() + surplus);
  }
  const auto* from = view_.find({member_kind::daemon, message.from.value()});
  if (from != nullptr && from->state != member_state::gone) {
    view_.connect_succeeded(from->key, now);
  }
}

gossip_message gossiper::message_to(const daemon_id& to, gossip_kind kind, clock_reading now)
{
  gossip_message message{.from = daemon_id{view_.self().key.id},
                         .kind = kind,
                         .configuration_revision = own_configuration_.revision,
                         .configuration_floor = own_configuration_.floor};
  if (kind == gossip_kind::exchange) {
    message.view_version = view_.version();
    message.view_hash = view_.hash();
    const auto seen = seen_versions_.find(to);
    message.seen_version = seen == seen_versions_.end() ? 0 : seen->second;
    message.members = news_.take();
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
  const auto heard = heartbeats_.take(now.mono);
  message.heartbeats.insert(message.heartbeats.end(), heard.begin(), heard.end());
}

void gossiper::add_loads(gossip_message& message, const daemon_id& to) const
{
  if (!options_.holds) {
    return;
  }
  for (const auto& [endpoint, load] : own_loads_) {
    if (message.loads.size() < options_.max_loads && options_.holds(to, endpoint)) {
      message.loads.push_back(load);
    }
  }
}

// The records of the parts that differ, the oldest changes first, so that what is left out by the
// bound is what comes after `covered_version`.
void gossiper::add_repair(gossip_message& reply, const gossip_message& asked)
{
  reply.covered_version = view_.version();
  if (asked.view_hash == view_.hash()) {
    return;
  }
  if (asked.view_buckets.size() != view_.buckets().size()) {
    reply.covered_version = 0;
    return;
  }
  std::size_t added = 0;
  const auto& changes = view_.changes();
  // A higher number than ours is of a process before this one.
  const auto seen = asked.seen_version <= view_.version() ? asked.seen_version : 0;
  for (auto it = changes.upper_bound(seen); it != changes.end(); ++it) {
    const auto bucket = membership_view::bucket_of(it->second);
    if (asked.view_buckets.at(bucket) == view_.buckets().at(bucket)) {
      continue;
    }
    if (added == options_.max_repair) {
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
  if (!suspected.empty() && (healthy.empty() || random_() % suspected_choice == 0)) {
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
  if (now.mono < urgent_due_ || !news_.has_urgent()) {
    return {};
  }
  gossip_message message = message_to({}, gossip_kind::urgent, now);
  // Nobody else may know what this daemon was told: it must not be lost if it dies now.
  const int fanout = std::exchange(told_, false) ? options_.told_fanout : options_.urgent_fanout;
  message.members = news_.take_urgent(fanout);
  // A fresh record may have come last; the next push is due soon enough for it.
  urgent_due_ = now.mono + (news_.has_urgent() ? options_.urgent_gap : options_.urgent_batch);
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
  if (const auto again = repair_.take_recheck(now.mono)) {
    const member* peer = view_.find({member_kind::daemon, again->value()});
    if (peer != nullptr && !peers.empty()) {
      peers.back() = peer;
    }
  }
  std::vector<outgoing_gossip> messages;
  for (const member* peer : peers) {
    const daemon_id to{peer->key.id};
    messages.push_back({.to = to,
                        .peer_address = peer->attributes.peer_address,
                        .message = message_to(to, gossip_kind::exchange, now)});
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
    auto message = message_to(reports.to, gossip_kind::usage, now);
    message.usage = std::move(reports.usage);
    messages.push_back({.to = reports.to,
                        .peer_address = owner->attributes.peer_address,
                        .message = std::move(message)});
  }
  return messages;
}

std::vector<outgoing_gossip> gossiper::tick(clock_reading now)
{
  told_ = told_ || view_.version() != noted_version_;
  note_changes(true, now);
  auto messages = urgent_pushes(now);
  std::ranges::move(exchanges(now), std::back_inserter(messages));
  std::ranges::move(usage_messages(now), std::back_inserter(messages));
  return messages;
}

mono_time gossiper::next_due() const
{
  const auto due = std::min(exchange_due_, usage_.report_due());
  return news_.has_urgent() ? std::min(due, urgent_due_) : due;
}

gossip_response gossiper::receive(const gossip_message& message, clock_reading now)
{
  absorb(message, now);
  gossip_response response;
  response.pushes = urgent_pushes(now);
  response.reply = message_to(message.from, message.kind, now);
  // What the peer has just said need not be said back.
  std::erase_if(response.reply.members, [&](const member& m) {
    return std::ranges::any_of(message.members,
                               [&](const member& said) { return agrees(m, said); });
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

// Views that agree have each other's changes: repair between the two need not begin at the start.
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
  absorb(reply, now);
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
    auto ask = message_to(reply.from, gossip_kind::exchange, now);
    ask.heartbeats.clear();
    ask.view_buckets = buckets_of(view_);
    messages.push_back({.to = reply.from,
                        .peer_address = from->attributes.peer_address,
                        .message = std::move(ask)});
  }
  return messages;
}

} // namespace wisteriaflow::membership
