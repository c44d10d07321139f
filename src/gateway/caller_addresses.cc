#include "wisteriaflow/gateway/caller_addresses.h"

#include <algorithm>
#include <cstdint>
#include <tuple>

#include "wisteriaflow/base/hash.h"

namespace wisteriaflow::gateway {
namespace {

struct ranked_daemon {
  std::uint64_t score = 0;
  const daemon_contact* contact = nullptr;
};

std::vector<ranked_daemon> ranked_for(const availability_zone& zone,
                                      std::span<const daemon_contact> daemons)
{
  const auto key = hash64_of(zone.value());
  std::vector<ranked_daemon> out;
  out.reserve(daemons.size());
  for (const auto& d : daemons) {
    if (d.ready) {
      out.push_back({.score = rendezvous_score(key, d.id.value()), .contact = &d});
    }
  }
  std::sort(out.begin(), out.end(), [](const ranked_daemon& a, const ranked_daemon& b) {
    return std::tie(a.score, a.contact->id) > std::tie(b.score, b.contact->id);
  });
  return out;
}

} // namespace

std::vector<http::socket_address> addresses_for_callers(const availability_zone& zone,
                                                        std::span<const daemon_contact> daemons,
                                                        std::size_t max_addresses)
{
  auto ranked = ranked_for(zone, daemons);
  const auto is_same_zone = [&zone](const ranked_daemon& r) { return r.contact->zone == zone; };
  const auto others = std::stable_partition(ranked.begin(), ranked.end(), is_same_zone);
  const auto same_zone_count = static_cast<std::size_t>(others - ranked.begin());
  const auto other_zone_count = ranked.size() - same_zone_count;
  const auto from_others =
      std::min(other_zone_count, max_addresses - std::min(same_zone_count, max_addresses / 2));
  const auto from_same_zone = std::min(same_zone_count, max_addresses - from_others);
  std::vector<http::socket_address> out;
  for (std::size_t i = 0; i < from_same_zone; ++i) {
    out.push_back(ranked[i].contact->caller_address);
  }
  for (std::size_t i = 0; i < from_others; ++i) {
    out.push_back(ranked[same_zone_count + i].contact->caller_address);
  }
  return out;
}

} // namespace wisteriaflow::gateway
