// JSON encoding of endpoint terms and rejection limits in messages between daemons.

#ifndef WISTERIAFLOW_GATEWAY_TERMS_CODEC_H_
#define WISTERIAFLOW_GATEWAY_TERMS_CODEC_H_

#include <vector>

#include <boost/json/value.hpp>

#include "wisteriaflow/gateway/rejection_limits.h"
#include "wisteriaflow/gateway/stated_terms.h"

namespace wisteriaflow::gateway {

// Encodes terms as a JSON array.
[[nodiscard]] boost::json::value encode_terms(const std::vector<peer_terms>& terms);

// Throws an exception derived from std::exception if `from` is not valid.
[[nodiscard]] std::vector<peer_terms> decode_terms(const boost::json::value& from);

// The same for rejection limits.
[[nodiscard]] boost::json::value
encode_rejection_limits(const std::vector<peer_rejection_limit>& limits);
[[nodiscard]] std::vector<peer_rejection_limit>
decode_rejection_limits(const boost::json::value& from);

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_TERMS_CODEC_H_
