// Writes to the object API whose outcome is known even when the answer is lost.
//
// Each write carries an id of its own in the annotation wisteriaflow.dev/write-id. When an answer
// is lost, the object is read back: if it carries the id, the write took effect; if the object is
// still the one that was to be replaced, the same conditional write is sent again, of which only
// one can take effect.

#ifndef WISTERIAFLOW_PLATFORM_SETTLED_WRITES_H_
#define WISTERIAFLOW_PLATFORM_SETTLED_WRITES_H_

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

// Times of settled writes.
struct settled_write_options {
  std::chrono::milliseconds call_timeout{2'000};
  std::chrono::milliseconds first_pause{20}; // before a call is repeated; then doubled, jittered
  std::chrono::milliseconds longest_pause{1'000};
};

// Writes objects of one resource. Each call throws conflict_error, not_found_error or
// rejected_error when the write did not take effect, and platform_unavailable when the deadline
// passed before that could be told.
class settled_writes {
 public:
  settled_writes(object_api& api, std::string plural, settled_write_options options = {});

  // Reads one object, again and again while the platform does not answer.
  boost::asio::awaitable<stored_object> get(std::string_view name, mono_time deadline);

  // Lists the resource, in the same way.
  boost::asio::awaitable<object_list> list(mono_time deadline);

  // Creates `document`.
  boost::asio::awaitable<stored_object> create(boost::json::value document, mono_time deadline);

  // Replaces the object whose version is in `document`'s metadata.
  boost::asio::awaitable<stored_object> replace(boost::json::value document, mono_time deadline);

  // Deletes the object if it has `version`. Success if it is gone.
  boost::asio::awaitable<void> remove(std::string name, std::uint64_t version, mono_time deadline);

  // Waits for a jittered time that grows with `attempt`, counted from 0. Throws
  // platform_unavailable with `why` if that would pass the deadline.
  boost::asio::awaitable<void> pause(int attempt, mono_time deadline, std::string why);

 private:
  boost::asio::awaitable<std::optional<stored_object>> try_get(std::string_view name,
                                                               mono_time deadline);
  [[nodiscard]] mono_time call_deadline(mono_time deadline) const;
  std::string next_write_id();

  object_api& api_;
  std::string plural_;
  settled_write_options options_;
  std::mt19937_64 random_;
};

// `document` with an annotation set; the document must have metadata.
void set_annotation(boost::json::value& document, std::string_view key, std::string_view value);

// The value of an annotation, or an empty string.
[[nodiscard]] std::string annotation_of(const boost::json::value& document, std::string_view key);

} // namespace wisteriaflow::platform

#endif // WISTERIAFLOW_PLATFORM_SETTLED_WRITES_H_
