// Remembers which software version of which service began each stream.
//
// What two versions of an endpoint's software write does not fit together, and endpoints do not
// check it. A stream that goes on elsewhere must therefore go on at the version that wrote its
// first event. The version follows from the id of the request whose answer brought that event.
//
//   stream_origins origins({});
//   const auto id = stream_id_of(workspace, request_id);
//   origins.record({.stream = id, .version = {"chat", "v1"}, .expires_at = t}, now);
//   const auto found = origins.find(id, now);
//   if (const auto* version = std::get_if<service_version>(&found)) { ... }

#ifndef WISTERIAFLOW_GATEWAY_STREAM_ORIGINS_H_
#define WISTERIAFLOW_GATEWAY_STREAM_ORIGINS_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string_view>
#include <unordered_map>
#include <variant>

#include "wisteriaflow/base/hash.h"
#include "wisteriaflow/base/ids.h"
#include "wisteriaflow/base/time.h"
#include "wisteriaflow/gateway/version_history.h"

namespace wisteriaflow::gateway {

// Identifies a stream in all daemons: a hash of the workspace and the id of the request.
struct stream_id {
  hash128 hash;

  friend auto operator<=>(const stream_id&,
                          const stream_id&) = default; // NOLINT(modernize-use-nullptr)
};

// Callers of different workspaces may use the same request id, and must not learn of each other's
// streams.
[[nodiscard]] stream_id stream_id_of(const workspace_id& workspace, std::string_view request_id);

// The version that wrote a stream's first event. It never changes.
struct stream_origin {
  stream_id stream;
  service_version version;
  mono_time expires_at; // the stream cannot be resumed after this time

  friend bool operator==(const stream_origin&, const stream_origin&) = default;
};

// Nothing is recorded for the stream.
struct unknown_origin {
  friend bool operator==(const unknown_origin&, const unknown_origin&) = default;
};

// Different versions are recorded for one id: its caller has used the id twice.
struct ambiguous_origin {
  friend bool operator==(const ambiguous_origin&, const ambiguous_origin&) = default;
};

using origin_lookup = std::variant<unknown_origin, ambiguous_origin, service_version>;

struct stream_origins_options {
  std::size_t max_streams = 32'768; // about 6 MB
};

// Not thread-safe.
class stream_origins {
 public:
  explicit stream_origins(stream_origins_options options) : options_(options) {}

  // Records the origin of a stream. Returns false if there is no room for another one.
  bool record(const stream_origin& origin, mono_time now);

  [[nodiscard]] origin_lookup find(const stream_id& stream, mono_time now) const;

  // Drops the streams that have expired.
  void forget_expired(mono_time now);

  [[nodiscard]] std::size_t size() const { return streams_.size(); }

 private:
  struct entry {
    service_version version;
    mono_time expires_at;
    bool is_ambiguous = false;
  };
  struct stream_hash {
    std::size_t operator()(const stream_id& id) const noexcept
    {
      return std::hash<hash128>{}(id.hash);
    }
  };

  stream_origins_options options_;
  std::unordered_map<stream_id, entry, stream_hash> streams_;
};

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_STREAM_ORIGINS_H_
