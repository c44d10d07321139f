// A client of the platform's object API (a subset of Kubernetes' custom-resource protocol).

#ifndef WISTERIAFLOW_PLATFORM_OBJECT_API_H_
#define WISTERIAFLOW_PLATFORM_OBJECT_API_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/json/value.hpp>

#include "wisteriaflow/base/time.h"
#include "wisteriaflow/http/client.h"

namespace wisteriaflow::platform {

// One object as the API holds it. `document` is the whole JSON, metadata and all.
struct stored_object {
  std::string name;
  std::uint64_t version = 0; // metadata.resourceVersion
  boost::json::value document;
};

// All objects of one resource at one version.
struct object_list {
  std::uint64_t version = 0;
  std::vector<stored_object> items;
};

// What a watch saw.
enum class watch_event_kind { added, modified, deleted, bookmark };

struct watch_event {
  watch_event_kind kind = watch_event_kind::bookmark;
  stored_object object;
};

// Calls the object API. Every call throws platform_unavailable, conflict_error, not_found_error,
// rejected_error or watch_expired_error. After platform_unavailable on a write, the write may have
// taken effect: read it back before deciding.
class object_api {
 public:
  object_api(http::client& client, http::socket_address address);

  boost::asio::awaitable<object_list> list(std::string_view plural, mono_time deadline);
  boost::asio::awaitable<stored_object> get(std::string_view plural, std::string_view name,
                                            mono_time deadline);

  // Creates `document` under its metadata.name. Throws conflict_error if the name is taken.
  boost::asio::awaitable<stored_object>
  create(std::string_view plural, const boost::json::value& document, mono_time deadline);

  // Replaces an object if its version is still the one in `document`'s metadata.
  boost::asio::awaitable<stored_object>
  replace(std::string_view plural, const boost::json::value& document, mono_time deadline);

  // Deletes an object; no error if it is gone already. With a `version`, throws conflict_error
  // unless that is the object's.
  boost::asio::awaitable<void> remove(std::string_view plural, std::string_view name,
                                      mono_time deadline, std::uint64_t version = 0);

  // Reports changes after `version` until the server ends the watch or `deadline` passes. It has
  // seen every change up to the bookmark's version only if it ends with a bookmark.
  boost::asio::awaitable<void> watch(std::string_view plural, std::uint64_t version,
                                     mono_time deadline, std::function<void(watch_event)> on_event);

 private:
  http::client& client_;
  http::socket_address address_;
};

// Builds an object's JSON from its parts. `version` 0 leaves the version out.
[[nodiscard]] boost::json::value make_document(std::string_view kind, std::string_view name,
                                               boost::json::value spec, std::uint64_t version = 0);

} // namespace wisteriaflow::platform

#endif // WISTERIAFLOW_PLATFORM_OBJECT_API_H_
