#include "membership_bench_fleet.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <iterator>
#include <numeric>
#include <span>
#include <string>
#include <utility>

#include "peer/peer_codec.h"
#include "wisteriaflow/membership/subsets.h"

namespace wisteriaflow::membership {
namespace {

constexpr std::int64_t step_ms = 10;
constexpr std::int64_t one_way_ms = 10;
constexpr std::int64_t timeout_ms = 500;
constexpr std::int64_t epoch_ms = 1'700'000'000'000;
// HTTP/2 and gRPC framing of one request or reply with indexed headers.
constexpr std::size_t framing_bytes = 40;

clock_reading at(std::int64_t ms)
{
  return {.mono = mono_time{std::chrono::milliseconds{ms}}, .wall = from_unix_ms(epoch_ms + ms)};
}

std::string name_of(const char* prefix, int i)
{
  return prefix + std::to_string(i);
}

int index_of(const daemon_id& id)
{
  return std::stoi(id.value().substr(1));
}

// Returns the bytes of repeated sub-messages, each with its tag and a length of one or two bytes.
template <typename Messages> std::uint64_t size_of_all(const Messages& messages)
{
  std::uint64_t bytes = 0;
  for (const auto& m : messages) {
    bytes += m.ByteSizeLong() + (m.ByteSizeLong() < 128 ? 2 : 3);
  }
  return bytes;
}

void count(const gossip_message& message, bool is_repair, wire_bytes& bytes)
{
  peer::v1::GossipMessage out;
  peer::encode(message, out);
  const auto add = [&bytes](wire_part part, std::uint64_t n) {
    bytes.at(static_cast<std::size_t>(part)) += n;
    return n;
  };
  auto remaining_bytes = out.ByteSizeLong() + framing_bytes;
  remaining_bytes -=
      add(wire_part::buckets, 4 * static_cast<std::uint64_t>(out.view_buckets_size()));
  remaining_bytes -= add(wire_part::usage, size_of_all(out.usage()));
  remaining_bytes -= add(wire_part::loads, size_of_all(out.loads()));
  const auto default_part =
      message.kind == gossip_kind::urgent ? wire_part::urgent : wire_part::exchange;
  remaining_bytes -= add(is_repair ? wire_part::repair : default_part, size_of_all(out.members()));
  auto without_heartbeats = out;
  without_heartbeats.clear_heartbeat_hashes();
  without_heartbeats.clear_heartbeat_counters();
  remaining_bytes -=
      add(wire_part::heartbeats, out.ByteSizeLong() - without_heartbeats.ByteSizeLong());
  add(wire_part::headers, remaining_bytes);
}

} // namespace

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

std::vector<std::set<endpoint_id>> bench_subsets(const fleet_options& options)
{
  std::vector<member> members;
  members.reserve(options.daemons + options.endpoints);
  for (int i = 0; i < options.daemons; ++i) {
    members.push_back(bench_daemon(i, options));
  }
  for (int i = 0; i < options.endpoints; ++i) {
    members.push_back(bench_endpoint(i, options));
  }
  std::vector<const member*> pointers;
  std::ranges::transform(members, std::back_inserter(pointers), [](auto& m) { return &m; });
  const std::span all(pointers);
  const auto daemons = all.first(options.daemons);
  std::vector<std::set<endpoint_id>> held;
  for (const member* d : daemons) {
    const auto subset = subset_of(daemon_id{d->key.id}, daemons, all.subspan(options.daemons));
    held.emplace_back(subset.begin(), subset.end());
  }
  return held;
}

bench_fleet::bench_fleet(const fleet_options& options)
    : options_(options), random_(options.seed), reached_endpoints_(bench_subsets(options))
{
  std::vector<member> list;
  list.reserve(options.endpoints);
  for (int i = 0; i < options.endpoints; ++i) {
    list.push_back(bench_endpoint(i, options));
  }
  for (int i = 0; i < options.daemons; ++i) {
    add_node(i, list);
  }
}

void bench_fleet::add_node(int i, const std::vector<member>& list)
{
  const auto self = bench_daemon(i, options_);
  const daemon_id id{self.key.id};
  node n;
  n.view = std::make_unique<membership_view>(
      view_options{.self = id, .incarnation = self.incarnation, .self_attributes = self.attributes},
      at(0));
  for (int other = 0; other < options_.daemons; ++other) {
    n.view->apply(bench_daemon(other, options_), at(0));
  }
  n.view->apply_list(list, at(0));
  n.gossip = std::make_unique<gossiper>(
      gossip_options{.seed = options_.seed * 1'000'003 + static_cast<std::uint64_t>(i),
                     .usage = {.self = id, .zone = self.attributes.zone},
                     .is_in_subset =
                         [this](const daemon_id& d, const endpoint_id& e) {
                           return reached_endpoints_[index_of(d)].contains(e);
                         }},
      *n.view, at(0));
  for (int w = 0; w < options_.workspaces; ++w) {
    n.gossip->usage().set_local_usage(workspace_id{name_of("workspace-", w)}, 700, 3);
  }
  for (const auto& e : reached_endpoints_[i]) {
    n.gossip->set_load(
        {.endpoint = e, .running = 9, .waiting = 2, .kv_used = 0.5, .measured_at = at(0).wall});
  }
  nodes_.push_back(std::move(n));
}

// Schedules the delivery of a message unless it is lost. The sender of a message to a dead daemon
// learns of the failure after timeout_ms; the sender of a lost message does not.
void bench_fleet::enqueue(delivery d)
{
  count(d.message, d.is_repair, nodes_[d.from].bytes);
  const bool lost = std::uniform_real_distribution<>(0, 1)(random_) < options_.loss;
  if (!lost) {
    in_flight_.emplace(now_ms_ + one_way_ms, std::move(d));
  }
}

void bench_fleet::send(int from, std::vector<outgoing_gossip> messages)
{
  for (auto& m : messages) {
    enqueue({.from = from, .to = index_of(m.to), .message = std::move(m.message)});
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
  enqueue({.from = d.to,
           .to = d.from,
           .is_reply = true,
           .is_repair = !d.message.view_buckets.empty(),
           .message = std::move(response.reply)});
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
      // The once-a-second work of the daemons is spread over the second.
      if ((now_ms_ / step_ms + i) % (1000 / step_ms) == 0) {
        n.view->tick(at(now_ms_));
      }
      if (n.gossip->next_due() <= at(now_ms_).mono) {
        send(i, n.gossip->tick(at(now_ms_)));
      }
    }
  }
}

void bench_fleet::mark_leaving(int daemon, const member_key& key, std::int64_t reclaim_in_ms)
{
  auto& n = nodes_[daemon];
  n.view->mark_leaving(key, at(now_ms_ + reclaim_in_ms).wall, at(now_ms_));
  send(daemon, n.gossip->tick(at(now_ms_)));
}

void bench_fleet::kill(int daemon)
{
  nodes_[daemon].alive = false;
}

bool bench_fleet::is_known_to_all(const member_key& key) const
{
  return std::ranges::all_of(nodes_, [&](const node& n) {
    return !n.alive || n.view->find(key)->state != member_state::live;
  });
}

bool bench_fleet::is_known_to_none(const member_key& key) const
{
  return std::ranges::all_of(nodes_, [&](const node& n) {
    return !n.alive || n.view->find(key)->state == member_state::live;
  });
}

std::int64_t bench_fleet::run_until_known(const member_key& key, std::int64_t limit_ms)
{
  const auto begin = now_ms_;
  for (; now_ms_ - begin < limit_ms; run_for(step_ms)) {
    if (is_known_to_all(key)) {
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

bench_fleet::sent_bytes bench_fleet::take_bytes()
{
  sent_bytes sent;
  for (node& n : nodes_) {
    const auto bytes = std::exchange(n.bytes, {});
    std::ranges::transform(bytes, sent.total, sent.total.begin(), std::plus{});
    sent.max_per_daemon = std::max(sent.max_per_daemon, std::reduce(bytes.begin(), bytes.end()));
  }
  return sent;
}

int bench_fleet::alive() const
{
  return static_cast<int>(std::ranges::count_if(nodes_, &node::alive));
}

bench_fleet::failure_detections bench_fleet::count_failure_detections() const
{
  failure_detections found;
  for (const node& n : nodes_) {
    if (!n.alive) {
      continue;
    }
    for (int i = 0; i < std::ssize(nodes_); ++i) {
      const auto id = name_of("d", i);
      const member* m = n.view->find({member_kind::daemon, id});
      const bool gone = m == nullptr || m->state == member_state::gone;
      const bool suspected = gone || n.view->is_suspected(daemon_id{id});
      (nodes_[i].alive ? found.gone_alive : found.gone_dead) += gone ? 1 : 0;
      (nodes_[i].alive ? found.suspected_alive : found.suspected_dead) += suspected ? 1 : 0;
    }
  }
  return found;
}

} // namespace wisteriaflow::membership
