#include "wisteriaflow/gateway/recorded_versions.h"

#include <algorithm>
#include <iterator>

namespace wisteriaflow::gateway {

void recorded_versions::set(const std::string& service, const std::set<std::string>& versions)
{
  std::erase_if(versions_, [&service](const auto& v) { return v.service == service; });
  for (const auto& v : versions) {
    versions_.insert({.service = service, .version = v});
  }
}

void recorded_versions::retain(const service_version_set& used)
{
  std::erase_if(versions_, [&used](const auto& v) { return !used.contains(v); });
}

service_version_set recorded_versions::missing(const service_version_set& used) const
{
  service_version_set out;
  std::set_difference(used.begin(), used.end(), versions_.begin(), versions_.end(),
                      std::inserter(out, out.end()));
  return out;
}

} // namespace wisteriaflow::gateway
