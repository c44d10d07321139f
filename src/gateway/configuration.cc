#include "wisteriaflow/gateway/configuration.h"

#include <algorithm>
#include <utility>

#include "wisteriaflow/base/text.h"
#include "wisteriaflow/load/rank.h"

namespace wisteriaflow::gateway {
namespace {

std::string host_key(std::string_view host)
{
  return to_lower(host.substr(0, host.find(':')));
}

load::call_urgency urgency_of(const route& r, const workspace_definition* workspace)
{
  const auto declared = workspace == nullptr ? std::nullopt : workspace->priority;
  return {.workspace = declared.value_or(r.priority), .route = r.priority};
}

std::vector<load::call_urgency> declared_urgencies(const configuration& declared)
{
  std::vector<load::call_urgency> out;
  for (const auto& r : declared.routes) {
    out.push_back(urgency_of(r, nullptr));
    for (const auto& w : declared.workspaces) {
      out.push_back(urgency_of(r, &w));
    }
  }
  return out;
}

// The services to which routes of more than one rank class lead.
std::set<std::string, std::less<>> find_ranked_services(const configuration& declared)
{
  std::map<std::string, std::set<load::rank_class>> ranks;
  for (const auto& r : declared.routes) {
    for (const auto& s : r.services) {
      ranks[s.service].insert(load::rank_class_of(r.priority));
    }
  }
  std::set<std::string, std::less<>> out;
  for (const auto& [service, classes] : ranks) {
    if (classes.size() > 1) {
      out.insert(service);
    }
  }
  return out;
}

} // namespace

configuration_index::configuration_index(configuration declared) : declared_(std::move(declared))
{
  for (const auto& r : declared_.routes) {
    by_host_[host_key(r.host)].push_back(&r);
  }
  for (auto& [host, routes] : by_host_) {
    std::stable_sort(routes.begin(), routes.end(), [](const route* a, const route* b) {
      return a->path_prefix.size() > b->path_prefix.size();
    });
  }
  for (const auto& w : declared_.workspaces) {
    for (const auto& key : w.api_keys) {
      by_key_.emplace(key, &w);
    }
  }
  for (const auto& s : declared_.services) {
    by_service_.emplace(s.name, &s);
  }
  levels_ = load::urgency_levels(declared_urgencies(declared_));
  ranked_services_ = find_ranked_services(declared_);
}

unsigned configuration_index::engine_level(const route& r,
                                           const workspace_definition* workspace) const
{
  return levels_.level_of(urgency_of(r, workspace));
}

const route* configuration_index::match(std::string_view host, std::string_view path) const
{
  const auto of_host = by_host_.find(host_key(host));
  if (of_host == by_host_.end()) {
    return nullptr;
  }
  const auto is_prefix = [path](const route* r) { return path.starts_with(r->path_prefix); };
  const auto it = std::find_if(of_host->second.begin(), of_host->second.end(), is_prefix);
  return it == of_host->second.end() ? nullptr : *it;
}

const workspace_definition* configuration_index::workspace_of(std::string_view api_key) const
{
  const auto it = by_key_.find(api_key);
  return it == by_key_.end() ? nullptr : it->second;
}

const service_definition* configuration_index::service(std::string_view name) const
{
  const auto it = by_service_.find(name);
  return it == by_service_.end() ? nullptr : it->second;
}

bool configuration_index::has_ranks(std::string_view service) const
{
  return ranked_services_.contains(service);
}

} // namespace wisteriaflow::gateway
