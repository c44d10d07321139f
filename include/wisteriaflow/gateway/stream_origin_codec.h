// JSON messages by which daemons exchange the origins of streams, and the objects in which they
// store them.

#ifndef WISTERIAFLOW_GATEWAY_STREAM_ORIGIN_CODEC_H_
#define WISTERIAFLOW_GATEWAY_STREAM_ORIGIN_CODEC_H_

#include <string>
#include <string_view>
#include <vector>

#include <boost/json/value.hpp>

#include "wisteriaflow/base/errors.h"
#include "wisteriaflow/base/time.h"
#include "wisteriaflow/gateway/open_streams.h"
#include "wisteriaflow/gateway/stream_origins.h"
#include "wisteriaflow/gateway/version_history.h"

namespace wisteriaflow::gateway {

// Thrown for a message that cannot be parsed.
class stream_origin_error : public error {
 public:
  using error::error;
};

// A query for the origin of a stream that one of the services wrote.
struct origin_question {
  stream_id stream;
  std::vector<std::string> services;
  mono_time since; // versions in use after this time may have written its first event

  friend bool operator==(const origin_question&, const origin_question&) = default;
};

struct origin_answer {
  origin_lookup origin;
  // Versions of the services that the queried daemon knows to have been in use. `knows_versions` is
  // false if it has not learned of all of them yet.
  service_version_set in_use;
  bool knows_versions = false;
  bool has_current_view = false; // its view of the endpoints is recent

  friend bool operator==(const origin_answer&, const origin_answer&) = default;
};

// Times travel as the time left until them, or since them.
[[nodiscard]] std::string encode_origins(const std::vector<stream_origin>& origins, mono_time now);
[[nodiscard]] std::string encode_origin_question(const origin_question& question, mono_time now);
[[nodiscard]] std::string encode_origin_answer(const origin_answer& answer);
[[nodiscard]] boost::json::value encode_stored_origins(const origins_by_version& origins);
[[nodiscard]] std::string encode_versions(const service_version_set& versions);

// All throw stream_origin_error. Times are limited to `max_stream_memory` from `now`.
[[nodiscard]] std::vector<stream_origin> decode_origins(std::string_view text, mono_time now);
[[nodiscard]] origin_question decode_origin_question(std::string_view text, mono_time now);
[[nodiscard]] origin_answer decode_origin_answer(std::string_view text);
[[nodiscard]] service_version_set decode_versions(std::string_view text);
[[nodiscard]] origins_by_version decode_stored_origins(const boost::json::value& from);

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_STREAM_ORIGIN_CODEC_H_
