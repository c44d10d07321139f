// The software versions of which a daemon knows that they are recorded in the platform's store.
//
// A version is recorded before its endpoints begin streams that may be resumed. What the store
// holds is therefore a complete list of the versions that may have begun a stream, also after the
// end of all daemons.
//
//   recorded_versions recorded;
//   recorded.add({.service = "chat", .version = "v1"});
//   if (!recorded.missing(versions.in_use(now)).empty()) { ... record them or ask ... }

#ifndef WISTERIAFLOW_GATEWAY_RECORDED_VERSIONS_H_
#define WISTERIAFLOW_GATEWAY_RECORDED_VERSIONS_H_

#include <set>
#include <string>

#include "wisteriaflow/gateway/version_history.h"

namespace wisteriaflow::gateway {

// Not thread-safe.
class recorded_versions {
 public:
  void add(const service_version& version) { versions_.insert(version); }
  void add(const service_version_set& versions)
  {
    versions_.insert(versions.begin(), versions.end());
  }

  // Replaces what is known of the service.
  void set(const std::string& service, const std::set<std::string>& versions);

  // Forgets all versions but those in `used`: one that is not in use is removed from the store
  // sooner or later.
  void retain(const service_version_set& used);

  [[nodiscard]] bool contains(const service_version& version) const
  {
    return versions_.contains(version);
  }

  // The versions among `used` that are not known to be recorded.
  [[nodiscard]] service_version_set missing(const service_version_set& used) const;

  [[nodiscard]] const service_version_set& all() const { return versions_; }

 private:
  service_version_set versions_;
};

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_RECORDED_VERSIONS_H_
