// Converts tails and segments to and from the `spec` of stored objects. Numbers are packed in
// binary form and encoded in base64 to keep the tail small, since every batch of claims rewrites
// it: an entry takes 56 characters.

#ifndef WISTERIAFLOW_CLAIMS_TAIL_CODEC_H_
#define WISTERIAFLOW_CLAIMS_TAIL_CODEC_H_

#include <boost/json/value.hpp>

#include "wisteriaflow/claims/shard_tail.h"

namespace wisteriaflow::claims {

[[nodiscard]] boost::json::value encode_tail(const shard_tail& tail);
[[nodiscard]] boost::json::value encode_segment(const claim_segment& segment);

// Throw malformed_document_error for a spec that encode_tail or encode_segment cannot have
// produced.
[[nodiscard]] shard_tail decode_tail(const boost::json::value& spec);
[[nodiscard]] claim_segment decode_segment(const boost::json::value& spec);

} // namespace wisteriaflow::claims

#endif // WISTERIAFLOW_CLAIMS_TAIL_CODEC_H_
