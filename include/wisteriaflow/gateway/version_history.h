// The software versions of each service whose endpoints may have served a stream lately.
//
// A version is in use while an endpoint of it is known, and for a while after the last one is gone:
// a stream that it started may still be resumed.
//
//   version_history versions;
//   versions.on_endpoint_added({.service = "chat", .version = "v1"}, now);
//   const auto used = versions.in_use({"chat"}, now - longest_stream);
//   if (used.size() > 1) { ... any of them may have started a stream ... }

#ifndef WISTERIAFLOW_GATEWAY_VERSION_HISTORY_H_
#define WISTERIAFLOW_GATEWAY_VERSION_HISTORY_H_

#include <compare>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "wisteriaflow/base/time.h"

namespace wisteriaflow::gateway {

// A version of the software of a service's endpoints.
struct service_version {
  std::string service;
  std::string version; // empty: the endpoint does not state it

  [[nodiscard]] bool is_stated() const { return !version.empty(); }

  friend auto operator<=>(const service_version&,
                          const service_version&) = default; // NOLINT(modernize-use-nullptr)
};

using service_version_set = std::set<service_version>;

// Whether one version has started every stream of the services: there is no other, and it is
// stated.
[[nodiscard]] inline bool is_only_version(const service_version_set& in_use)
{
  return in_use.size() == 1 && in_use.begin()->is_stated();
}

// Not thread-safe.
class version_history {
 public:
  // An endpoint of the version has become known, or is not known any more.
  void on_endpoint_added(const service_version& version, mono_time now);
  void on_endpoint_removed(const service_version& version, mono_time now);

  // The version was in use at `now` according to another daemon or to the store.
  void on_stated(const service_version& version, mono_time now);

  // Versions of the services with an endpoint now or at any time after `since`.
  [[nodiscard]] service_version_set in_use(const std::vector<std::string>& services,
                                           mono_time since) const;
  // The same for all services.
  [[nodiscard]] service_version_set in_use(mono_time since) const;

  // When this daemon learned of the version; nothing if it does not know it.
  [[nodiscard]] std::optional<mono_time> known_since(const service_version& version) const;

  // Drops versions that were last in use before `time`.
  void forget_before(mono_time time);

 private:
  struct entry {
    std::size_t endpoints = 0;
    mono_time known_since;
    mono_time last_used_at; // while `endpoints` is 0
  };

  [[nodiscard]] static bool is_in_use(const entry& it, mono_time since)
  {
    return it.endpoints > 0 || it.last_used_at >= since;
  }

  std::map<service_version, entry> entries_;
};

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_VERSION_HISTORY_H_
