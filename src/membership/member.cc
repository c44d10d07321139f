#include "wisteriaflow/membership/member.h"

#include <algorithm>
#include <array>
#include <bit>
#include <string_view>
#include <tuple>

#include "wisteriaflow/base/hash.h"

namespace wisteriaflow::membership {
namespace {

auto precedence_of(const member& m)
{
  return std::tuple(m.incarnation, m.state);
}

std::optional<wall_time> earlier(const std::optional<wall_time>& a,
                                 const std::optional<wall_time>& b)
{
  if (!a || !b) {
    return a ? a : b;
  }
  return std::min(*a, *b);
}

} // namespace

member join(const member& a, const member& b)
{
  const bool a_wins = precedence_of(a) >= precedence_of(b);
  member joined = a_wins ? a : b;
  if (precedence_of(a) == precedence_of(b)) {
    joined.reclaim_at = earlier(a.reclaim_at, b.reclaim_at);
  }
  joined.heartbeat =
      std::max(std::tuple(a.incarnation, a.heartbeat), //
               std::tuple(b.incarnation, b.heartbeat)) == std::tuple(a.incarnation, a.heartbeat)
          ? a.heartbeat
          : b.heartbeat;
  const bool a_has_newer_attributes = a.attributes_revision != b.attributes_revision
                                          ? a.attributes_revision > b.attributes_revision
                                          : a.attributes >= b.attributes;
  const member& newer = a_has_newer_attributes ? a : b;
  joined.attributes_revision = newer.attributes_revision;
  joined.attributes = newer.attributes;
  return joined;
}

member without_attributes(const member& m)
{
  return {.key = m.key,
          .incarnation = m.incarnation,
          .state = m.state,
          .reclaim_at = m.reclaim_at,
          .heartbeat = m.heartbeat};
}

std::uint64_t hash_of(const member_key& key)
{
  return hash64_of(key.id, static_cast<std::uint64_t>(key.kind));
}

// Each text is hashed with the hash of the previous ones as seed, so that moving characters between
// adjacent texts changes the result.
std::uint64_t hash_of(const member_attributes& attributes)
{
  std::uint64_t h = (attributes.reclaimable ? 1U : 0U) + (attributes.checks_fencing ? 2U : 0U);
  for (const std::string_view text :
       {std::string_view(attributes.peer_address), std::string_view(attributes.address),
        std::string_view(attributes.zone.value()), std::string_view(attributes.instance_class),
        std::string_view(attributes.role)}) {
    h = hash64_of(text, h);
  }
  for (const auto& [key, value] : attributes.labels) {
    h = hash64_of(value, hash64_of(key, h));
  }
  return h ^ std::bit_cast<std::uint64_t>(attributes.price_per_hour);
}

std::uint64_t hash_without_heartbeat(const member& m)
{
  const auto reclaim = m.reclaim_at ? to_unix_ms(*m.reclaim_at) : 0;
  const std::array<std::uint64_t, 6> parts = {hash_of(m.key),
                                              m.incarnation,
                                              static_cast<std::uint64_t>(m.state),
                                              static_cast<std::uint64_t>(reclaim),
                                              m.attributes_revision,
                                              hash_of(m.attributes)};
  return hash64_of({reinterpret_cast<const char*>(parts.data()), sizeof(parts)});
}

bool equal_without_heartbeat(const member& a, const member& b)
{
  return a.key == b.key && a.incarnation == b.incarnation && a.state == b.state &&
         a.reclaim_at == b.reclaim_at && a.attributes_revision == b.attributes_revision &&
         a.attributes == b.attributes;
}

} // namespace wisteriaflow::membership
