#include "wisteriaflow/gateway/departures.h"

namespace wisteriaflow::gateway {
namespace {

using std::chrono::milliseconds;

// The last requests at an endpoint that leaves have ended after this.
constexpr milliseconds last_requests{30'000};
// A record older than the departure may still arrive with a stale list for this long.
constexpr milliseconds kept_for{120'000};

} // namespace

void departures::note(const endpoint_departure& d, mono_time now)
{
  auto& it = entries_[d.id];
  if (d.revision > it.revision) {
    it = {.revision = d.revision, .noted_at = now};
  }
}

bool departures::covers(const endpoint_id& id, std::uint64_t revision) const
{
  const auto it = entries_.find(id);
  return it != entries_.end() && revision <= it->second.revision;
}

std::vector<endpoint_departure> departures::to_tell(mono_time now) const
{
  std::vector<endpoint_departure> out;
  for (const auto& [id, d] : entries_) {
    if (now < d.noted_at + told_for_) {
      out.push_back({.id = id, .revision = d.revision});
    }
  }
  return out;
}

std::vector<endpoint_departure> departures::after(std::uint64_t revision) const
{
  std::vector<endpoint_departure> out;
  for (const auto& [id, d] : entries_) {
    if (d.revision > revision) {
      out.push_back({.id = id, .revision = d.revision});
    }
  }
  return out;
}

std::vector<endpoint_id> departures::over(mono_time now) const
{
  std::vector<endpoint_id> out;
  for (const auto& [id, d] : entries_) {
    if (d.noted_at + last_requests <= now) {
      out.push_back(id);
    }
  }
  return out;
}

void departures::forget_old(mono_time now)
{
  std::erase_if(entries_, [&](const auto& it) { return it.second.noted_at + kept_for < now; });
}

} // namespace wisteriaflow::gateway
