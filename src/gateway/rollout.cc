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

double rollout::moved_part(wall_time now) const
{
  if (phase == rollout_phase::succeeded) {
    return 1;
  }
  if (phase != rollout_phase::moving || now < moves_from) {
    return 0;
  }
  if (now >= moved_by) {
    return 1;
  }
  const std::chrono::duration<double> gone = now - moves_from;
  const std::chrono::duration<double> whole = moved_by - moves_from;
  return gone / whole;
}

rollout joined(const rollout& a, const rollout& b)
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

std::uint64_t order_id(std::string_view service, std::string_view target, std::string_view placed)
{
  return hash64_of(placed, hash64_of(target, hash64_of(service)));
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

bool rollout_book::join(const entry& told)
{
  auto [it, added] = entries_.try_emplace(told.latest.service, told);
  if (added) {
    return true;
  }
  auto& known = it->second;
  const auto before = known;
  for (const auto& [version, revision] : told.refused) {
    auto& since = known.refused[version];
    since = std::max(since, revision);
  }
  const auto& older = known.latest.revision < told.latest.revision ? known.latest : told.latest;
  // An order that another one replaces has not succeeded, and nobody goes on to watch its version.
  if (known.latest.order != told.latest.order && older.phase != rollout_phase::succeeded) {
    auto& since = known.refused[older.target];
    since = std::max(since, older.revision);
  }
  known.latest = joined(known.latest, told.latest);
  // Who orders a version again has it tried again.
  std::erase_if(known.refused, [&](const auto& r) { return r.first == known.latest.target; });
  return known != before;
}

bool rollout_book::note(const rollout& told)
{
  return join({.latest = told});
}

bool rollout_book::absorb(const entries& told)
{
  bool news = false;
  for (const auto& [service, e] : told) {
    news = join(e) || news;
  }
  return news;
}

bool rollout_book::withdraw(std::string_view service, std::uint64_t revision)
{
  const auto* known = find(service);
  if (known == nullptr || !is_open(*known) || known->revision > revision) {
    return false;
  }
  auto withdrawn = *known;
  withdrawn.phase = rollout_phase::rolled_back;
  withdrawn.reason = "withdrawn";
  return note(withdrawn);
}

const rollout* rollout_book::find(std::string_view service) const
{
  const auto it = entries_.find(service);
  return it == entries_.end() ? nullptr : &it->second.latest;
}

bool rollout_book::is_refused(std::string_view service, std::string_view version) const
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
