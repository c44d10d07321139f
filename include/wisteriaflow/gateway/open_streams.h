// The streams that this daemon has started and that their callers may have to resume: those under
// way, those that were cut, and those whose end a caller may not have received yet.
//
//   open_streams open({});
//   open.start({.origin = origin, .services = {"chat"}, .memory = 30s});
//   open.complete(origin.stream, now); // the answer has been sent to its end
//   const auto origins = open.origins([](const started_stream& s) { return needs_record(s); });

#ifndef WISTERIAFLOW_GATEWAY_OPEN_STREAMS_H_
#define WISTERIAFLOW_GATEWAY_OPEN_STREAMS_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "wisteriaflow/base/time.h"
#include "wisteriaflow/gateway/stream_origins.h"
#include "wisteriaflow/gateway/version_history.h"

namespace wisteriaflow::gateway {

// A stream of which an event has arrived.
struct started_stream {
  stream_origin origin;
  std::vector<std::string> services;   // of the route
  std::chrono::milliseconds memory{0}; // how long the route's streams may be resumed

  friend bool operator==(const started_stream&, const started_stream&) = default;
};

using origins_by_version = std::map<service_version, std::set<stream_id>>;

struct open_streams_options {
  std::size_t max_streams = 8'192; // about 200 KB in the store
  // A caller that has received the end of its answer does not resume it. One whose connection broke
  // at the end does so soon.
  std::chrono::milliseconds completed_memory{3'000};
};

// Not thread-safe.
class open_streams {
 public:
  explicit open_streams(open_streams_options options) : options_(options) {}

  // Returns false if there is no room for another stream.
  bool start(started_stream stream);
  // Keeps the stream for a short time only. Ignores a stream that is not known.
  void complete(const stream_id& stream, mono_time now);
  void forget_expired(mono_time now);

  // The origins of those streams for which `is_selected` returns true.
  [[nodiscard]] origins_by_version
  origins(const std::function<bool(const started_stream&)>& is_selected) const;

  [[nodiscard]] std::size_t size() const { return streams_.size(); }

 private:
  open_streams_options options_;
  std::map<stream_id, started_stream> streams_;
};

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_OPEN_STREAMS_H_
