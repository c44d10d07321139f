// Client of the object API that retries calls and determines the outcome of unanswered writes.
//
//   retrying_object_client declarations(api, "declarations");
//   auto written = co_await declarations.replace(document, deadline);
//
// Each write has a unique id in the annotation wisteriaflow.dev/write-id. If the response is lost,
// the object is read back. If it has the id, the write took effect. If it is still the version to
// be replaced, the same conditional write is sent again; at most one of them can take effect.

#ifndef WISTERIAFLOW_PLATFORM_RETRYING_OBJECT_CLIENT_H_
#define WISTERIAFLOW_PLATFORM_RETRYING_OBJECT_CLIENT_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>

#include <boost/asio/awaitable.hpp>
#include <boost/json/value.hpp>

#include "wisteriaflow/base/time.h"
#include "wisteriaflow/platform/object_api.h"

namespace wisteriaflow::platform {

// Timeout and backoff of the calls.
struct object_retry_options {
  std::chrono::milliseconds call_timeout{2'000};
  std::chrono::milliseconds initial_backoff{20}; // before the first retry; doubled for each later
                                                 // one, with jitter
  std::chrono::milliseconds max_backoff{1'000};
};

// Reads and writes objects of one resource type. Each call throws conflict_error, not_found_error
// or rejected_error if the write did not take effect, and platform_unavailable if the deadline
// passed before the outcome was known.
class retrying_object_client {
 public:
  retrying_object_client(object_api& api, std::string plural, object_retry_options options = {});

  // Reads one object; retries while the platform is unavailable.
  boost::asio::awaitable<stored_object> get(std::string_view name, mono_time deadline);

  // Lists all objects; retries while the platform is unavailable.
  boost::asio::awaitable<object_list> list(mono_time deadline);

  // Creates `document`; throws conflict_error if the name exists.
  boost::asio::awaitable<stored_object> create(boost::json::value document, mono_time deadline);

  // Replaces the object if it still has the version in `document`'s metadata.
  boost::asio::awaitable<stored_object> replace(boost::json::value document, mono_time deadline);

  // Deletes the object if it has `version`; succeeds if it does not exist.
  boost::asio::awaitable<void> remove(std::string name, std::uint64_t version, mono_time deadline);

  // Waits before a retry, for a random time whose limit doubles with each `attempt` (counted from
  // 0). Throws platform_unavailable with `error_text` if the wait would pass the deadline.
  boost::asio::awaitable<void> back_off(int attempt, mono_time deadline, std::string error_text);

 private:
  boost::asio::awaitable<std::optional<stored_object>> try_get(std::string_view name,
                                                               mono_time deadline);
  [[nodiscard]] mono_time call_deadline(mono_time deadline) const;
  std::string next_write_id();

  object_api& api_;
  std::string plural_;
  object_retry_options options_;
  std::mt19937_64 random_;
};

// Sets an annotation of `document`, which must have metadata.
void set_annotation(boost::json::value& document, std::string_view key, std::string_view value);

// Returns the value of an annotation, or an empty string if there is none.
[[nodiscard]] std::string annotation_of(const boost::json::value& document, std::string_view key);

} // namespace wisteriaflow::platform

#endif // WISTERIAFLOW_PLATFORM_RETRYING_OBJECT_CLIENT_H_
