#include "wisteriaflow/gateway/rollout.h"

#include <algorithm>
#include <utility>

#include "wisteriaflow/base/hash.h"

namespace wisteriaflow::gateway {

std::string_view to_string(rollout_phase phase)
{
  switch (phase) {
  case rollout_phase::trial:
    return "trial";
  case rollout_phase::moving:
    return "moving";
  case rollout_phase::rolled_back:
    return "rolled back";
  case rollout_phase::succeeded:
    return "succeeded";
  }
  return "unknown";
}

double rollout::moved_fraction(wall_time now) const
{
  if (phase == rollout_phase::succeeded) {
    return 1;
  }
  if (phase != rollout_phase::moving || now < move_starts_at) {
    return 0;
  }
  if (now >= move_ends_at) {
    return 1;
  }
  const std::chrono::duration<double> elapsed = now - move_starts_at;
  const std::chrono::duration<double> duration = move_ends_at - move_starts_at;
  return elapsed / duration;
}

rollout merged(const rollout& a, const rollout& b)
{
  if (a.order != b.order) {
    return a.revision >= b.revision ? a : b;
  }
  auto out = a.phase >= b.phase ? a : b;
  out.revision = std::max(a.revision, b.revision);
  out.ordered_at = std::min(a.ordered_at, b.ordered_at);
  out.deadline = std::min(a.deadline, b.deadline);
  return out;
}

std::uint64_t order_id(std::string_view service, std::string_view target,
                       std::string_view placement)
{
  return hash64_of(placement, hash64_of(target, hash64_of(service)));
}

bool carries_traffic(const rollout& r, std::string_view version)
{
  const bool moves = r.phase == rollout_phase::moving || r.phase == rollout_phase::succeeded;
  return moves == (version == r.target);
}

bool is_open(const rollout& r)
{
  return r.phase == rollout_phase::trial || r.phase == rollout_phase::moving;
}

bool rollout_registry::merge_entry(const entry& update)
{
  auto [it, added] = entries_.try_emplace(update.latest.service, update);
  if (added) {
    return true;
  }
  auto& known = it->second;
  const auto before = known;
  for (const auto& [version, revision] : update.refused) {
    auto& since = known.refused[version];
    since = std::max(since, revision);
  }
  const auto& older = known.latest.revision < update.latest.revision ? known.latest : update.latest;
  // An order that another one replaces has not succeeded, and its version is no longer observed.
  if (known.latest.order != update.latest.order && older.phase != rollout_phase::succeeded) {
    auto& since = known.refused[older.target];
    since = std::max(since, older.revision);
  }
  known.latest = merged(known.latest, update.latest);
  // A version that is ordered again gets a new trial.
  std::erase_if(known.refused, [&](const auto& r) { return r.first == known.latest.target; });
  return known != before;
}

bool rollout_registry::update(const rollout& order)
{
  return merge_entry({.latest = order});
}

bool rollout_registry::merge(const entries& updates)
{
  bool changed = false;
  for (const auto& [service, e] : updates) {
    changed = merge_entry(e) || changed;
  }
  return changed;
}

bool rollout_registry::withdraw(std::string_view service, store_revision revision)
{
  const auto* known = find(service);
  if (known == nullptr || !is_open(*known) || known->revision > revision) {
    return false;
  }
  auto withdrawn = *known;
  withdrawn.phase = rollout_phase::rolled_back;
  withdrawn.reason = "withdrawn";
  return update(withdrawn);
}

const rollout* rollout_registry::find(std::string_view service) const
{
  const auto it = entries_.find(service);
  return it == entries_.end() ? nullptr : &it->second.latest;
}

bool rollout_registry::is_refused(std::string_view service, std::string_view version) const
{
  const auto it = entries_.find(service);
  if (it == entries_.end()) {
    return false;
  }
  const auto& [latest, refused] = it->second;
  if (latest.phase == rollout_phase::succeeded) {
    return version != latest.target;
  }
  const bool rolled_back = latest.phase == rollout_phase::rolled_back && version == latest.target;
  return rolled_back || refused.contains(version);
}

} // namespace wisteriaflow::gateway
