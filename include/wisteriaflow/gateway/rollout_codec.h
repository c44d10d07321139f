// JSON encoding of rollout orders and of their outcome rows, for the daemons' reports.

#ifndef WISTERIAFLOW_GATEWAY_ROLLOUT_CODEC_H_
#define WISTERIAFLOW_GATEWAY_ROLLOUT_CODEC_H_

#include <vector>

#include <boost/json/value.hpp>

#include "wisteriaflow/gateway/rollout.h"
#include "wisteriaflow/gateway/version_counts.h"

namespace wisteriaflow::gateway {

[[nodiscard]] boost::json::value encode_rollouts(const rollout_registry::entries& entries);
[[nodiscard]] boost::json::value encode_rollout_rows(const std::vector<rollout_row>& rows);

// Both throw the exceptions of Boost.JSON on a value of another shape, or std::out_of_range.
[[nodiscard]] rollout_registry::entries decode_rollouts(const boost::json::value& from);
[[nodiscard]] std::vector<rollout_row> decode_rollout_rows(const boost::json::value& from);

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_ROLLOUT_CODEC_H_
