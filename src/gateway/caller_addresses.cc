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
                                                        std::size_t most)
{
  auto ranked = ranked_for(zone, daemons);
  const auto is_near = [&zone](const ranked_daemon& r) { return r.contact->zone == zone; };
  const auto others = std::stable_partition(ranked.begin(), ranked.end(), is_near);
  const auto near_count = static_cast<std::size_t>(others - ranked.begin());
  const auto other_count = ranked.size() - near_count;
  const auto from_others = std::min(other_count, most - std::min(near_count, most / 2));
  const auto from_near = std::min(near_count, most - from_others);
  std::vector<http::socket_address> out;
  for (std::size_t i = 0; i < from_near; ++i) {
    out.push_back(ranked[i].contact->caller_address);
  }
  for (std::size_t i = 0; i < from_others; ++i) {
    out.push_back(ranked[near_count + i].contact->caller_address);
  }
  return out;
}

} // namespace wisteriaflow::gateway
