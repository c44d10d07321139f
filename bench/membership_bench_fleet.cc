#include "membership_bench_fleet.h"

#include <algorithm>
#include <chrono>
#include <set>
#include <string>
#include <utility>

#include <peer.pb.h>

namespace wisteriaflow::membership {
namespace {

constexpr std::int64_t step_ms = 10;
constexpr std::int64_t one_way_ms = 10;
constexpr std::int64_t timeout_ms = 500;
constexpr std::int64_t epoch_ms = 1'700'000'000'000;
// HTTP/2 and gRPC framing with indexed headers, for a request or a reply.
constexpr std::size_t framing_bytes = 40;

clock_reading at(std::int64_t ms)
{
  return {.mono = mono_time{std::chrono::milliseconds{ms}}, .wall = from_unix_ms(epoch_ms + ms)};
}

void encode(const member& m, peer::v1::Member& out)
{
  out.set_kind(m.key.kind == member_kind::daemon ? peer::v1::MEMBER_KIND_DAEMON
                                                 : peer::v1::MEMBER_KIND_ENDPOINT);
  out.set_id(m.key.id);
  out.set_incarnation(m.incarnation);
  out.set_state(static_cast<peer::v1::MemberState>(static_cast<int>(m.state) + 1));
  out.set_heartbeat(m.heartbeat);
  out.set_reclaim_at_unix_ms(m.reclaim_at ? to_unix_ms(*m.reclaim_at) : 0);
  out.set_attributes_revision(m.attributes_revision);
  out.set_peer_address(m.attributes.peer_address);
  out.set_caller_address(m.attributes.address);
  out.set_availability_zone(m.attributes.zone.value());
  for (const auto& [key, value] : m.attributes.labels) {
    (*out.mutable_labels())[key] = value;
  }
  out.set_instance_class(m.attributes.instance_class);
  out.set_role(m.attributes.role);
  out.set_reclaimable(m.attributes.reclaimable);
  out.set_price_per_hour(m.attributes.price_per_hour);
  out.set_checks_fencing(m.attributes.checks_fencing);
}

std::string name_of(const char* prefix, int i)
{
  return prefix + std::to_string(i);
}

int number_of(const daemon_id& id)
{
  return std::stoi(id.value().substr(1));
}

} // namespace

std::size_t wire_size_of(const gossip_message& message)
{
  peer::v1::GossipMessage out;
  out.set_from(message.from.value());
  out.set_kind(static_cast<peer::v1::GossipKind>(static_cast<int>(message.kind) + 1));
  out.set_configuration_revision(message.configuration_revision);
  out.set_configuration_floor(message.configuration_floor);
  out.set_view_version(message.view_version);
  out.set_view_hash(message.view_hash);
  out.set_seen_version(message.seen_version);
  out.set_covered_version(message.covered_version);
  for (const auto& m : message.members) {
    encode(m, *out.add_members());
  }
  for (const auto& h : message.heartbeats) {
    out.add_heartbeat_hashes(h.hash);
    out.add_heartbeat_counters(h.counter);
  }
  for (const auto part : message.view_buckets) {
    out.add_view_buckets(part);
  }
  for (const auto& u : message.usage) {
    auto& usage = *out.add_usage();
    usage.set_workspace(u.workspace.value());
    usage.set_daemon(u.daemon.value());
    usage.set_tokens_per_second(u.tokens_per_second);
    usage.set_requests_per_second(u.requests_per_second);
    usage.set_sequence(u.sequence);
  }
  return out.ByteSizeLong() + framing_bytes;
}

member bench_daemon(int i, const fleet_options& options)
{
  const auto id = name_of("d", i);
  return {.key = {member_kind::daemon, id},
          .incarnation = epoch_ms,
          .heartbeat = 1,
          .attributes_revision = epoch_ms,
          .attributes = {.peer_address = "10.20.30.40:7101",
                         .address = "10.20.30.40:8080",
                         .zone = availability_zone{name_of("zone-", i % options.zones)},
                         .instance_class = "small",
                         .role = "daemon"}};
}

member bench_endpoint(int i, const fleet_options& options)
{
  return {.key = {member_kind::endpoint, name_of("e", i)},
          .attributes_revision = 1,
          .attributes = {.address = "10.20.30.40:8000",
                         .zone = availability_zone{name_of("zone-", i % options.zones)},
                         .labels = {{"pool", "standard"}, {"model", "switching-7b"}},
                         .instance_class = "gpu-24",
                         .role = "engine",
                         .reclaimable = true,
                         .price_per_hour = 0.42}};
}

bench_fleet::bench_fleet(const fleet_options& options) : options_(options), random_(options.seed)
{
  std::vector<member> list;
  list.reserve(options.endpoints);
  for (int i = 0; i < options.endpoints; ++i) {
    list.push_back(bench_endpoint(i, options));
  }
  for (int i = 0; i < options.daemons; ++i) {
    const auto self = bench_daemon(i, options);
    node n;
    n.view = std::make_unique<membership_view>(view_options{.self = daemon_id{self.key.id},
                                                            .incarnation = self.incarnation,
                                                            .self_attributes = self.attributes},
                                               at(0));
    for (int other = 0; other < options.daemons; ++other) {
      n.view->apply(bench_daemon(other, options), at(0));
    }
    n.view->apply_list(list, at(0));
    n.gossip = std::make_unique<gossiper>(
        gossip_options{.seed = options.seed * 1'000'003 + static_cast<std::uint64_t>(i),
                       .usage = {.self = daemon_id{self.key.id}, .zone = self.attributes.zone}},
        *n.view, at(0));
    for (int w = 0; w < options.workspaces; ++w) {
      n.gossip->usage().set_own(workspace_id{name_of("workspace-", w)}, 700, 3);
    }
    nodes_.push_back(std::move(n));
  }
}

// A lost message, or one to a dead daemon, is noticed by its sender after a timeout.
void bench_fleet::post(delivery d)
{
  nodes_[d.from].bytes += wire_size_of(d.message);
  const bool lost = std::uniform_real_distribution<>(0, 1)(random_) < options_.loss;
  if (!lost) {
    in_flight_.emplace(now_ms_ + one_way_ms, std::move(d));
  }
}

void bench_fleet::send(int from, std::vector<outgoing_gossip> messages)
{
  for (auto& m : messages) {
    post({.from = from, .to = number_of(m.to), .message = std::move(m.message)});
  }
}

void bench_fleet::deliver(const delivery& d)
{
  auto& to = nodes_[d.to];
  if (!to.alive) {
    nodes_[d.from].gossip->send_failed(daemon_id{name_of("d", d.to)}, at(now_ms_ + timeout_ms));
    return;
  }
  if (d.is_reply) {
    send(d.to, to.gossip->receive_reply(d.message, at(now_ms_)));
    return;
  }
  auto response = to.gossip->receive(d.message, at(now_ms_));
  post({.from = d.to, .to = d.from, .is_reply = true, .message = std::move(response.reply)});
  send(d.to, std::move(response.pushes));
}

void bench_fleet::run_for(std::int64_t ms)
{
  const auto end = now_ms_ + ms;
  while (now_ms_ < end) {
    now_ms_ += step_ms;
    while (!in_flight_.empty() && in_flight_.begin()->first <= now_ms_) {
      const auto d = std::move(in_flight_.extract(in_flight_.begin()).mapped());
      deliver(d);
    }
    for (int i = 0; i < std::ssize(nodes_); ++i) {
      auto& n = nodes_[i];
      if (!n.alive) {
        continue;
      }
      // Each daemon's once-a-second duties fall at a time of its own.
      if ((now_ms_ / step_ms + i) % (1000 / step_ms) == 0) {
        n.view->tick(at(now_ms_));
      }
      if (n.gossip->next_due() <= at(now_ms_).mono) {
        send(i, n.gossip->tick(at(now_ms_)));
      }
    }
  }
}

void bench_fleet::announce(int daemon, const member_key& key, std::int64_t reclaim_in_ms)
{
  auto& n = nodes_[daemon];
  n.view->announce_leaving(key, at(now_ms_ + reclaim_in_ms).wall, at(now_ms_));
  send(daemon, n.gossip->tick(at(now_ms_)));
}

void bench_fleet::kill(int daemon)
{
  nodes_[daemon].alive = false;
}

std::int64_t bench_fleet::run_until_known(const member_key& key, std::int64_t limit_ms)
{
  const auto begin = now_ms_;
  for (; now_ms_ - begin < limit_ms; run_for(step_ms)) {
    const bool known = std::ranges::all_of(nodes_, [&](const node& n) {
      return !n.alive || n.view->find(key)->state != member_state::live;
    });
    if (known) {
      return now_ms_ - begin;
    }
  }
  return -1;
}

std::size_t bench_fleet::distinct_views() const
{
  std::set<std::uint64_t> hashes;
  for (const node& n : nodes_) {
    if (n.alive) {
      hashes.insert(n.view->hash());
    }
  }
  return hashes.size();
}

std::vector<std::uint64_t> bench_fleet::take_bytes()
{
  std::vector<std::uint64_t> bytes;
  for (node& n : nodes_) {
    bytes.push_back(std::exchange(n.bytes, 0));
  }
  return bytes;
}

std::vector<int> bench_fleet::alive() const
{
  std::vector<int> found;
  for (int i = 0; i < std::ssize(nodes_); ++i) {
    if (nodes_[i].alive) {
      found.push_back(i);
    }
  }
  return found;
}

// Pairs of a daemon alive and a peer alive that it suspects: should be none.
int bench_fleet::suspected() const
{
  int n = 0;
  for (const int i : alive()) {
    for (const int other : alive()) {
      n += nodes_[i].view->is_suspected(daemon_id{name_of("d", other)}) ? 1 : 0;
    }
  }
  return n;
}

} // namespace wisteriaflow::membership
