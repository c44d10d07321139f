#include "wisteriaflow/gateway/place_shares.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <utility>

#include "wisteriaflow/base/hash.h"

namespace wisteriaflow::gateway {
namespace {

using std::chrono::milliseconds;

// A place is taken over this long after the fleet has changed: by then its former holder knows of
// the change, too.
constexpr milliseconds handover_time{3'000};
// An endpoint stops working on a request this soon after its connection was closed.
constexpr milliseconds abandoned_time{1'000};
// Bounds of the pause after a rejection.
constexpr std::chrono::duration<double> min_pause{1};
constexpr std::chrono::duration<double> max_pause{10};

// Places are assigned in blocks: of several places together, one is free more often, so a peer that
// is asked for one has to refuse less often.
constexpr std::uint32_t places_per_block = 3;

std::size_t blocks_of(std::uint32_t places)
{
  return (places + places_per_block - 1) / places_per_block;
}

// Number of places assigned to the daemon with this rank of `daemons`.
std::uint32_t assigned_to_rank(std::uint32_t places, std::size_t rank, std::size_t daemons)
{
  std::uint32_t out = 0;
  for (auto block = rank; block < blocks_of(places); block += daemons) {
    const auto first = static_cast<std::uint32_t>(block) * places_per_block;
    out += std::min(places_per_block, places - first);
  }
  return out;
}

} // namespace

void place_shares::set_fleet(const fleet_view& fleet, mono_time now)
{
  live_peers_ = fleet.candidates;
  auto others = fleet.running;
  std::sort(others.begin(), others.end());
  const auto known = others.size() + 1;
  const auto unknown = fleet.running_count > known ? fleet.running_count - known : 0;
  if (views_.empty()) {
    holds_nothing_until_ = now + handover_time;
  } else if (views_.back().others == others && views_.back().unknown == unknown) {
    return;
  }
  views_.push_back({.others = std::move(others), .unknown = unknown, .since = now});
}

// Daemons whose ids are not known are assumed to have the highest ranks.
std::uint32_t place_shares::assigned_to_self(const endpoint_places& endpoint, const view& v) const
{
  const auto key = hash64_of(endpoint.process.id.value());
  const auto rank = rendezvous_rank(key, self_, v.others) + v.unknown;
  return assigned_to_rank(endpoint.places, rank, v.others.size() + 1 + v.unknown);
}

std::uint32_t place_shares::share_of(const endpoint_places& endpoint, mono_time now)
{
  drop_outdated_views(now);
  if (now < holds_nothing_until_) {
    return 0;
  }
  auto& it = assigned_[endpoint.process.id];
  if (it.places != endpoint.places) {
    it = {.places = endpoint.places, .first_view = first_view_};
  }
  for (; it.first_view < first_view_; ++it.first_view) {
    if (!it.by_view.empty()) {
      it.by_view.pop_front();
    }
  }
  for (auto n = it.by_view.size(); n < views_.size(); ++n) {
    it.by_view.push_back(assigned_to_self(endpoint, views_[n]));
  }
  return *std::min_element(it.by_view.begin(), it.by_view.end());
}

bool place_shares::has_free_place(const endpoint_places& endpoint, mono_time now)
{
  const auto share = share_of(endpoint, now);
  const auto it = usage_.find(endpoint.process);
  if (it == usage_.end()) {
    return share > 0;
  }
  const auto& used = it->second;
  const auto abandoned = std::count_if(used.abandoned_until.begin(), used.abandoned_until.end(),
                                       [now](mono_time until) { return now < until; });
  return used.in_progress + static_cast<std::uint32_t>(abandoned) < share &&
         used.rejected_until <= now;
}

std::vector<daemon_id> place_shares::holders_of(const endpoint_places& endpoint) const
{
  std::vector<daemon_id> out;
  if (views_.empty()) {
    return out;
  }
  const auto& v = views_.back();
  const auto key = hash64_of(endpoint.process.id.value());
  std::vector<std::pair<std::uint64_t, const daemon_id*>> ranked = {
      {rendezvous_score(key, self_.value()), &self_}};
  for (const auto& id : v.others) {
    ranked.emplace_back(rendezvous_score(key, id.value()), &id);
  }
  std::sort(ranked.begin(), ranked.end(), std::greater<>());
  const auto holders = std::min(blocks_of(endpoint.places), ranked.size());
  for (std::size_t rank = 0; rank < holders; ++rank) {
    const auto& id = *ranked[rank].second;
    if (std::find(live_peers_.begin(), live_peers_.end(), id) != live_peers_.end()) {
      out.push_back(id);
    }
  }
  return out;
}

void place_shares::on_ended(const endpoint_process& process, request_end end, mono_time now)
{
  const auto it = usage_.find(process);
  if (it == usage_.end() || it->second.in_progress == 0) {
    return;
  }
  --it->second.in_progress;
  if (end == request_end::abandoned) {
    it->second.abandoned_until.push_back(now + abandoned_time);
  }
}

void place_shares::on_rejected(const endpoint_places& endpoint, double rejections_per_second,
                               mono_time now)
{
  if (views_.empty()) {
    return;
  }
  const auto& v = views_.back();
  const auto daemons = v.others.size() + 1 + v.unknown;
  const auto holders = std::min(blocks_of(endpoint.places), daemons);
  const std::chrono::duration<double> pause(static_cast<double>(holders) / rejections_per_second);
  usage_[endpoint.process].rejected_until =
      now + std::chrono::duration_cast<mono_time::duration>(
                std::clamp(pause, min_pause, max_pause)); // without any tolerance, the maximum
}

void place_shares::drop_outdated_views(mono_time now)
{
  while (views_.size() > 1 && views_[1].since + handover_time <= now) {
    views_.pop_front();
    ++first_view_;
  }
}

void place_shares::tick(mono_time now)
{
  drop_outdated_views(now);
  for (auto& [process, used] : usage_) {
    std::erase_if(used.abandoned_until, [now](mono_time until) { return until <= now; });
  }
  std::erase_if(usage_, [now](const auto& it) {
    const auto& used = it.second;
    return used.in_progress == 0 && used.abandoned_until.empty() && used.rejected_until <= now;
  });
}

} // namespace wisteriaflow::gateway
