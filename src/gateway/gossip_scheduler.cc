#include "wisteriaflow/gateway/gossip_scheduler.h"

#include <algorithm>
#include <utility>

#include "wisteriaflow/base/hash.h"

namespace wisteriaflow::gateway {

void gossip_scheduler::on_report(const http::socket_address& peer, mono_time now)
{
  states_[peer] = {.answered_at = now};
}

gossip_scheduler::peer_state gossip_scheduler::state_of(const http::socket_address& peer) const
{
  const auto it = states_.find(peer);
  return it == states_.end() ? peer_state{} : it->second;
}

bool gossip_scheduler::is_due(const peer_state& it, mono_time now) const
{
  if (now < it.answered_at + options_.period / 2) {
    return false;
  }
  const bool silent = it.unanswered >= options_.silent_backoff_rounds;
  return !silent || round_ % options_.silent_backoff_rounds == 0;
}

std::size_t gossip_scheduler::fanout(std::size_t peers, mono_time now) const
{
  if (peers <= options_.full_mesh_limit) {
    return peers;
  }
  const bool is_new = now < started_at_ + options_.start_duration;
  return peers > options_.max_rotating_peers && !is_new ? options_.neighbour_fanout
                                                        : options_.fanout;
}

void gossip_scheduler::record_asked(const std::vector<http::socket_address>& peers)
{
  for (const auto& peer : peers) {
    ++states_[peer].unanswered;
  }
}

std::optional<http::socket_address>
gossip_scheduler::regular_target_to_ask(const regular_targets& regular, mono_time now)
{
  const auto period = std::max(options_.regular_period, static_cast<int>(regular.askers) *
                                                            options_.regular_period_per_asker);
  if (regular.addresses.empty() || now < regular_asked_at_ + period) {
    return std::nullopt;
  }
  regular_asked_at_ = now;
  return *std::min_element(regular.addresses.begin(), regular.addresses.end(),
                           [this](const auto& a, const auto& b) {
                             return state_of(a).answered_at < state_of(b).answered_at;
                           });
}

void gossip_scheduler::choose_neighbours(const std::vector<http::socket_address>& addresses,
                                         mono_time now)
{
  if (now < neighbours_until_ && addresses.size() == chosen_among_) {
    return;
  }
  neighbours_until_ = now + options_.neighbour_lifetime;
  chosen_among_ = addresses.size();
  std::vector<std::pair<std::uint64_t, http::socket_address>> scores;
  scores.reserve(addresses.size());
  for (const auto& peer : addresses) {
    scores.emplace_back(hash64_of(to_string(peer), seed_), peer);
  }
  const auto end = scores.begin() + static_cast<std::ptrdiff_t>(options_.neighbours);
  std::partial_sort(scores.begin(), end, scores.end());
  neighbours_.clear();
  for (auto it = scores.begin(); it != end; ++it) {
    neighbours_.push_back(std::move(it->second));
  }
}

std::vector<http::socket_address>
gossip_scheduler::candidates(std::vector<http::socket_address> addresses, mono_time now)
{
  if (addresses.size() <= options_.max_rotating_peers) {
    return addresses;
  }
  choose_neighbours(addresses, now);
  auto out = neighbours_;
  const auto& other = addresses.front();
  if (round_ % options_.exploration_rounds == 0 &&
      std::find(out.begin(), out.end(), other) == out.end()) {
    out.push_back(other);
  }
  return out;
}

std::vector<http::socket_address>
gossip_scheduler::next_targets(std::vector<http::socket_address> addresses,
                               const regular_targets& regular, mono_time now)
{
  if (round_++ == 0) {
    started_at_ = now;
  }
  const auto peer_count = addresses.size();
  const auto max_asked = fanout(peer_count, now);
  std::shuffle(addresses.begin(), addresses.end(), random_);
  addresses = candidates(std::move(addresses), now);
  struct due_peer {
    mono_time answered_at;
    http::socket_address address;
  };
  std::vector<due_peer> due;
  for (auto& peer : addresses) {
    const auto it = state_of(peer);
    if (is_due(it, now)) {
      due.push_back({.answered_at = it.answered_at, .address = std::move(peer)});
    }
  }
  // The oldest reports first, so that no peer is left out by chance.
  const auto asked = std::min(due.size(), max_asked);
  std::partial_sort(due.begin(), due.begin() + static_cast<std::ptrdiff_t>(asked), due.end(),
                    [](const auto& a, const auto& b) { return a.answered_at < b.answered_at; });
  std::vector<http::socket_address> out;
  for (std::size_t i = 0; i < asked; ++i) {
    out.push_back(std::move(due[i].address));
  }
  const auto target = regular_target_to_ask(regular, now);
  if (target && std::find(out.begin(), out.end(), *target) == out.end()) {
    out.push_back(*target);
  }
  record_asked(out);
  return out;
}

std::vector<http::socket_address>
gossip_scheduler::next_urgent_targets(std::vector<http::socket_address> addresses)
{
  std::shuffle(addresses.begin(), addresses.end(), random_);
  addresses.resize(std::min(addresses.size(), options_.urgent_fanout));
  record_asked(addresses);
  return addresses;
}

} // namespace wisteriaflow::gateway
