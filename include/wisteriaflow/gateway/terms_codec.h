// The terms of endpoints as daemons tell them to each other, as JSON.

#ifndef WISTERIAFLOW_GATEWAY_TERMS_CODEC_H_
#define WISTERIAFLOW_GATEWAY_TERMS_CODEC_H_

#include <vector>

#include <boost/json/value.hpp>

#include "wisteriaflow/gateway/stated_terms.h"

namespace wisteriaflow::gateway {

[[nodiscard]] boost::json::value encode_terms(const std::vector<told_terms>& terms);

// Throws std::exception if it cannot be read.
[[nodiscard]] std::vector<told_terms> decode_terms(const boost::json::value& from);

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_TERMS_CODEC_H_
