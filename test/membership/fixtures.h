// Members, keys and times for the membership tests.

#ifndef WISTERIAFLOW_TEST_MEMBERSHIP_FIXTURES_H_
#define WISTERIAFLOW_TEST_MEMBERSHIP_FIXTURES_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "wisteriaflow/base/time.h"
#include "wisteriaflow/membership/member.h"
#include "wisteriaflow/membership/view.h"

namespace wisteriaflow::membership {

// Returns the clocks `ms` after the tests' epoch.
inline clock_reading at(std::int64_t ms)
{
  constexpr std::int64_t epoch_ms = 1'700'000'000'000;
  return {.mono = mono_time{std::chrono::milliseconds{ms + 1'000'000}},
          .wall = from_unix_ms(epoch_ms + ms)};
}

inline member_key daemon_key(const std::string& id)
{
  return {member_kind::daemon, id};
}

inline member_key endpoint_key(const std::string& id)
{
  return {member_kind::endpoint, id};
}

inline member daemon_member(const std::string& id, const std::string& zone = "z1",
                            std::uint64_t incarnation = 1)
{
  return {.key = daemon_key(id),
          .incarnation = incarnation,
          .heartbeat = 1,
          .attributes_revision = incarnation,
          .attributes = {.peer_address = id + ":1",
                         .address = id + ":2",
                         .zone = availability_zone{zone},
                         .role = "daemon"}};
}

inline member endpoint_member(const std::string& id, const std::string& zone = "z1")
{
  return {.key = endpoint_key(id),
          .attributes_revision = 1,
          .attributes = {.address = id + ":80", .zone = availability_zone{zone}, .role = "engine"}};
}

inline member with_state(member m, member_state state)
{
  m.state = state;
  return m;
}

inline std::vector<const member*> pointers_to(const std::vector<member>& members)
{
  std::vector<const member*> found;
  found.reserve(members.size());
  for (const member& m : members) {
    found.push_back(&m);
  }
  return found;
}

inline membership_view view_of(const std::string& self)
{
  return membership_view({.self = daemon_id{self},
                          .incarnation = 1,
                          .self_attributes = daemon_member(self).attributes},
                         at(0));
}

} // namespace wisteriaflow::membership

#endif // WISTERIAFLOW_TEST_MEMBERSHIP_FIXTURES_H_
