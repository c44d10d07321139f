// Orders and rows of roll-outs as JSON, for daemons' reports.

#ifndef WISTERIAFLOW_GATEWAY_ROLLOUT_CODEC_H_
#define WISTERIAFLOW_GATEWAY_ROLLOUT_CODEC_H_

#include <vector>

#include <boost/json/value.hpp>

#include "wisteriaflow/gateway/rollout.h"
#include "wisteriaflow/gateway/version_counts.h"

namespace wisteriaflow::gateway {

[[nodiscard]] boost::json::value encode_rollouts(const rollout_book::entries& entries);
[[nodiscard]] boost::json::value encode_rollout_rows(const std::vector<rollout_row>& rows);

// These throw what Boost.JSON throws on a value of another shape, or std::out_of_range.
[[nodiscard]] rollout_book::entries decode_rollouts(const boost::json::value& from);
[[nodiscard]] std::vector<rollout_row> decode_rollout_rows(const boost::json::value& from);

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_ROLLOUT_CODEC_H_
