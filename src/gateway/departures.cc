#include "wisteriaflow/gateway/departures.h"

namespace wisteriaflow::gateway {
namespace {

using std::chrono::milliseconds;

// The last requests at a leaving endpoint have ended after this time.
constexpr milliseconds request_drain_time{30'000};
// For this long, an outdated list may still contain a record older than the departure.
constexpr milliseconds kept_for{120'000};

} // namespace

void departures::record(const endpoint_departure& d, std::uint64_t incarnation, bool in_use,
                        mono_time now)
{
  const auto [it, added] = entries_.try_emplace(d.id);
  auto& known = it->second;
  if (d.revision <= known.revision) {
    return;
  }
  const auto recorded_at = added || in_use ? now : known.recorded_at;
  known = {.revision = d.revision, .incarnation = incarnation, .recorded_at = recorded_at};
}

bool departures::is_recorded(const endpoint_departure& d) const
{
  const auto it = entries_.find(d.id);
  return it != entries_.end() && d.revision <= it->second.revision;
}

bool departures::had_departed(const endpoint_process& process, store_revision revision) const
{
  const auto it = entries_.find(process.id);
  if (it == entries_.end()) {
    return false;
  }
  const auto& departed = it->second;
  if (departed.revision.era < revision.era) {
    return !is_restart({.id = process.id, .incarnation = departed.incarnation}, process);
  }
  return revision <= departed.revision;
}

std::vector<endpoint_departure> departures::to_gossip(store_revision after, mono_time now) const
{
  std::vector<endpoint_departure> out;
  for (const auto& [id, d] : entries_) {
    const bool is_listed = after > 0 && d.revision > after;
    if (is_listed || now < d.recorded_at + gossip_duration_) {
      out.push_back({.id = id, .revision = d.revision});
    }
  }
  return out;
}

std::vector<endpoint_departure> departures::since(store_revision revision) const
{
  std::vector<endpoint_departure> out;
  for (const auto& [id, d] : entries_) {
    if (d.revision > revision) {
      out.push_back({.id = id, .revision = d.revision});
    }
  }
  return out;
}

std::vector<endpoint_id> departures::completed(mono_time now) const
{
  std::vector<endpoint_id> out;
  for (const auto& [id, d] : entries_) {
    if (d.recorded_at + request_drain_time <= now) {
      out.push_back(id);
    }
  }
  return out;
}

void departures::remove_expired(mono_time now)
{
  std::erase_if(entries_, [&](const auto& it) { return it.second.recorded_at + kept_for < now; });
}

} // namespace wisteriaflow::gateway
