// HTTP client of the platform's object API, a subset of the Kubernetes protocol for custom
// resources.
//
//   object_api api(client, address);
//   auto listed = co_await api.list("declarations", deadline);

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

// An object as the API stores it. `document` is the complete JSON, including its metadata.
struct stored_object {
  std::string name;
  std::uint64_t version = 0; // metadata.resourceVersion
  boost::json::value document;
};

// All objects of one resource type, and the version of the list.
struct object_list {
  std::uint64_t version = 0;
  std::vector<stored_object> items;
};

// A change that a watch reports. A bookmark has no object but a version up to which the watch has
// reported every change.
enum class watch_event_kind { added, modified, deleted, bookmark };

struct watch_event {
  watch_event_kind kind = watch_event_kind::bookmark;
  stored_object object;
};

// Calls the object API, once per call and without retries. `plural` is the name of the resource
// type in the URL. Every call throws platform_unavailable, conflict_error, not_found_error,
// rejected_error or watch_expired_error. After platform_unavailable on a write, the write may have
// taken effect; read the object back to find out. retrying_object_client does this.
class object_api {
 public:
  object_api(http::client& client, http::socket_address address);

  boost::asio::awaitable<object_list> list(std::string_view plural, mono_time deadline);
  boost::asio::awaitable<stored_object> get(std::string_view plural, std::string_view name,
                                            mono_time deadline);

  // Creates `document` under its metadata.name. Throws conflict_error if the name exists already.
  boost::asio::awaitable<stored_object>
  create(std::string_view plural, const boost::json::value& document, mono_time deadline);

  // Replaces an object if it still has the version in `document`'s metadata. Throws conflict_error
  // otherwise.
  boost::asio::awaitable<stored_object>
  replace(std::string_view plural, const boost::json::value& document, mono_time deadline);

  // Deletes an object; succeeds if it does not exist. With a nonzero `version`, throws
  // conflict_error if the object has another version.
  boost::asio::awaitable<void> remove(std::string_view plural, std::string_view name,
                                      mono_time deadline, std::uint64_t version = 0);

  // Reports changes after `version` until the server ends the watch or `deadline` passes. The
  // reported changes are known to be complete only up to the version of the last bookmark.
  boost::asio::awaitable<void> watch(std::string_view plural, std::uint64_t version,
                                     mono_time deadline, std::function<void(watch_event)> on_event);

 private:
  http::client& client_;
  http::socket_address address_;
};

// Builds an object's JSON. `version` 0 omits the version.
[[nodiscard]] boost::json::value make_document(std::string_view kind, std::string_view name,
                                               boost::json::value spec, std::uint64_t version = 0);

} // namespace wisteriaflow::platform

#endif // WISTERIAFLOW_PLATFORM_OBJECT_API_H_
