#include "wisteriaflow/gateway/origin_holders.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <tuple>
#include <utility>

#include "wisteriaflow/base/hash.h"

namespace wisteriaflow::gateway {

std::vector<daemon_contact> order_holders(const stream_id& stream,
                                          std::vector<daemon_contact> daemons)
{
  const auto key = stream.hash.low;
  struct ranked {
    std::size_t place = 0; // within the zone
    std::uint64_t zone_score = 0;
    std::uint64_t score = 0;
    daemon_contact daemon;
  };
  std::vector<ranked> order;
  order.reserve(daemons.size());
  for (auto& d : daemons) {
    const auto zone_score = rendezvous_score(key, d.zone.value());
    const auto score = rendezvous_score(key, d.id.value());
    order.push_back({.zone_score = zone_score, .score = score, .daemon = std::move(d)});
  }
  std::sort(order.begin(), order.end(),
            [](const ranked& a, const ranked& b) { return a.score > b.score; });
  std::map<availability_zone, std::size_t> places;
  for (auto& it : order) {
    it.place = places[it.daemon.zone]++;
  }
  std::stable_sort(order.begin(), order.end(), [](const ranked& a, const ranked& b) {
    return std::tie(a.place, b.zone_score) < std::tie(b.place, a.zone_score);
  });
  std::vector<daemon_contact> out;
  out.reserve(order.size());
  for (auto& it : order) {
    out.push_back(std::move(it.daemon));
  }
  return out;
}

std::vector<daemon_contact> choose_holders(const std::vector<daemon_contact>& order,
                                           const availability_zone& own_zone, std::size_t count)
{
  std::vector<daemon_contact> out;
  for (const bool in_own_zone : {false, true}) {
    for (const auto& d : order) {
      if (out.size() < count && !d.leaving && (d.zone == own_zone) == in_own_zone) {
        out.push_back(d);
      }
    }
  }
  return out;
}

} // namespace wisteriaflow::gateway
