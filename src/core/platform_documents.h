// Parsers for the documents of the platform: the instance list, reclaim notices, load reports,
// cache events and daemon registrations. An unreadable entry of a list is skipped (and counted for
// the instance list), and the other entries are still used.

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
#include "wisteriaflow/routing/prefix_cache_index.h"

namespace wisteriaflow::core::internal {

// The endpoints of the instance list, and the number of unreadable entries.
struct instance_list {
  std::vector<membership::member> endpoints;
  std::size_t unreadable = 0;
};

[[nodiscard]] instance_list read_instance_list(const boost::json::value& document);

// Announces that the cloud reclaims an instance at a given time.
struct reclaim_notice {
  std::string instance;
  wall_time reclaim_at;
};

[[nodiscard]] std::vector<reclaim_notice> read_notices(const boost::json::value& document);

// Parses an engine's load report. Returns nothing if it is malformed. The wall time of the report
// is converted to the monotonic clock by its age at `now`.
[[nodiscard]] std::optional<routing::load_report> read_load(const boost::json::value& document,
                                                            clock_reading now);

// Parses an engine's cache events. Unreadable ones are skipped.
[[nodiscard]] std::vector<routing::cache_event>
read_cache_events(const boost::json::value& document);

// Parses a daemon's registration in the object API. Returns nothing if it is malformed.
[[nodiscard]] std::optional<membership::member>
read_registration(const boost::json::value& document);

// Makes the spec of the registration of `self`.
[[nodiscard]] boost::json::value make_registration(const membership::member& self);

} // namespace wisteriaflow::core::internal

#endif // WISTERIAFLOW_SRC_CORE_PLATFORM_DOCUMENTS_H_
