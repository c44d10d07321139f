#include "wisteriaflow/load/long_prompt_affinity.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <tuple>
#include <utility>

#include "wisteriaflow/base/hash.h"

namespace wisteriaflow::load {

long_prompt_affinity::long_prompt_affinity(daemon_id self) : self_(std::move(self)) {}

void long_prompt_affinity::count_daemon(assigned_engine& engine, const daemon_id& daemon,
                                        std::uint32_t change)
{
  if (engine.key != 0 && rendezvous_score(engine.key, daemon.value()) > engine.score) {
    engine.daemons_before += change;
  }
}

void long_prompt_affinity::set_daemons(std::vector<daemon_id> others)
{
  std::sort(others.begin(), others.end());
  if (others == others_) {
    return;
  }
  std::vector<daemon_id> added;
  std::vector<daemon_id> removed;
  std::set_difference(others.begin(), others.end(), others_.begin(), others_.end(),
                      std::back_inserter(added));
  std::set_difference(others_.begin(), others_.end(), others.begin(), others.end(),
                      std::back_inserter(removed));
  for (auto& engine : engines_) {
    for (const auto& daemon : added) {
      count_daemon(engine, daemon, 1);
    }
    for (const auto& daemon : removed) {
      count_daemon(engine, daemon, static_cast<std::uint32_t>(-1));
    }
  }
  others_ = std::move(others);
}

void long_prompt_affinity::add_engine(engine_index index, const endpoint_id& id)
{
  if (index >= engines_.size()) {
    engines_.resize(index + std::size_t{1});
  }
  const auto key = hash64_of(id.value());
  auto& engine = engines_[index];
  if (engine.key == key) {
    return;
  }
  engine = {.key = key, .score = rendezvous_score(key, self_.value())};
  for (const auto& daemon : others_) {
    count_daemon(engine, daemon, 1);
  }
}

void long_prompt_affinity::remove_engine(engine_index index)
{
  if (index < engines_.size()) {
    engines_[index] = {};
  }
}

std::vector<bool> long_prompt_affinity::own_engines(std::span<const engine_index> open) const
{
  std::vector<bool> out(open.size());
  if (others_.empty() || open.empty()) {
    return out;
  }
  // By the daemons before this one, then by the score: a daemon that is first for too few engines
  // takes those for which it is second.
  std::vector<std::tuple<std::uint32_t, std::uint64_t, std::size_t>> order;
  order.reserve(open.size());
  for (std::size_t i = 0; i < open.size(); ++i) {
    if (open[i] < engines_.size() && engines_[open[i]].key != 0) {
      order.emplace_back(engines_[open[i]].daemons_before, ~engines_[open[i]].score, i);
    }
  }
  const auto per_daemon =
      std::lround(static_cast<double>(open.size()) / static_cast<double>(others_.size() + 1));
  const auto number = std::min<std::size_t>(order.size(), std::max(1L, per_daemon));
  std::nth_element(order.begin(),
                   order.begin() + static_cast<std::ptrdiff_t>(number) - (number > 0 ? 1 : 0),
                   order.end());
  for (std::size_t i = 0; i < number; ++i) {
    out[std::get<2>(order[i])] = true;
  }
  return out;
}

} // namespace wisteriaflow::load
