// Reads the documents of the platform's instance list and cloud API into typed values. An entry
// that cannot be read is left out and counted; it never spoils the rest.

#ifndef WISTERIAFLOW_SRC_CORE_PLATFORM_DOCUMENTS_H_
#define WISTERIAFLOW_SRC_CORE_PLATFORM_DOCUMENTS_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <boost/json/value.hpp>

#include "wisteriaflow/base/ids.h"
#include "wisteriaflow/base/time.h"
#include "wisteriaflow/membership/member.h"
#include "wisteriaflow/routing/endpoint_table.h"
#include "wisteriaflow/routing/prefix_belief.h"

namespace wisteriaflow::core::internal {

// The instance list.
struct instance_list {
  std::vector<membership::member> endpoints;
  std::size_t unreadable = 0;
};

[[nodiscard]] instance_list read_instance_list(const boost::json::value& document);

// One announced reclaim.
struct reclaim_notice {
  std::string instance;
  wall_time reclaim_at;
};

[[nodiscard]] std::vector<reclaim_notice> read_notices(const boost::json::value& document);

// An engine's load report; nothing if it cannot be read. `measured_at` is put on the monotonic
// clock by its age at `now`.
[[nodiscard]] std::optional<routing::load_report> read_load(const boost::json::value& document,
                                                            clock_reading now);

// An engine's cache events; those that cannot be read are left out.
[[nodiscard]] std::vector<routing::cache_event>
read_cache_events(const boost::json::value& document);

// A daemon's own registration in the object API.
[[nodiscard]] std::optional<membership::member>
read_registration(const boost::json::value& document);

// The registration of `self` as an object's spec.
[[nodiscard]] boost::json::value make_registration(const membership::member& self);

} // namespace wisteriaflow::core::internal

#endif // WISTERIAFLOW_SRC_CORE_PLATFORM_DOCUMENTS_H_
