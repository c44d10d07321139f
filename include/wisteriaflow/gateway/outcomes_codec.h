// JSON encoding of the outcomes of calls at endpoints in messages between daemons.

#ifndef WISTERIAFLOW_GATEWAY_OUTCOMES_CODEC_H_
#define WISTERIAFLOW_GATEWAY_OUTCOMES_CODEC_H_

#include <cstddef>
#include <vector>

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include "wisteriaflow/load/endpoint_outcomes.h"

namespace wisteriaflow::gateway {

// Encodes counts as an object from endpoint id to [answered, failed].
[[nodiscard]] boost::json::object encode_outcomes(const load::outcome_map& outcomes);

// Encodes statements as an object from daemon id to [age in ms, counts].
[[nodiscard]] boost::json::object
encode_relayed_outcomes(const std::vector<load::relayed_outcomes>& relayed);

// Both read what is usable. Values that are no counts, too large or too many are bounded or left
// out, and `rejected` is increased by one for each.
[[nodiscard]] load::outcome_map decode_outcomes(const boost::json::value& from,
                                                std::size_t& rejected);
[[nodiscard]] std::vector<load::relayed_outcomes>
decode_relayed_outcomes(const boost::json::value& from, std::size_t& rejected);

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_OUTCOMES_CODEC_H_
