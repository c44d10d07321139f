#include "wisteriaflow/objects/fleet_configuration.h"

#include <algorithm>
#include <set>

#include "wisteriaflow/objects/reference_index.h"

namespace wisteriaflow::objects {
namespace {

template <typename object> void sort_by_name(std::vector<object>& objects)
{
  std::sort(objects.begin(), objects.end(),
            [](const auto& a, const auto& b) { return a.metadata.name < b.metadata.name; });
}

bool precedes(const routing_intent& a, const routing_intent& b)
{
  if (a.priority != b.priority) {
    return a.priority > b.priority;
  }
  return a.metadata.name < b.metadata.name;
}

template <typename object>
const object* find_by_name(const std::vector<object>& sorted, std::string_view name)
{
  const auto it =
      std::lower_bound(sorted.begin(), sorted.end(), name,
                       [](const auto& o, std::string_view n) { return o.metadata.name < n; });
  return it == sorted.end() || it->metadata.name != name ? nullptr : &*it;
}

label_set labels_with_name(const object_metadata& metadata)
{
  if (!is_label_value(metadata.name)) {
    return metadata.labels;
  }
  return metadata.labels.with(name_label, metadata.name);
}

template <typename item> bool is_allowed(const std::vector<item>& allowed, const item& value)
{
  return allowed.empty() || std::find(allowed.begin(), allowed.end(), value) != allowed.end();
}

// The decoded documents of make_fleet_configuration and the violations found so far.
struct decoded_documents {
  std::vector<declared_object> objects;
  std::vector<unsupported_object> unsupported;
  std::vector<field_violation> violations;
};

void decode_into(decoded_documents& list, const boost::json::value& document)
{
  try {
    auto decoded = decode_object(document);
    if (auto* object = std::get_if<declared_object>(&decoded)) {
      list.objects.push_back(std::move(*object));
    } else {
      list.unsupported.push_back(std::get<unsupported_object>(std::move(decoded)));
    }
  } catch (const invalid_object_error& e) {
    list.violations.push_back(e.violation());
  }
}

void check_unique_names(decoded_documents& list)
{
  std::set<std::string> names;
  for (const auto& object : list.objects) {
    const auto& name = metadata_of(object).name;
    if (!names.insert(name).second) {
      list.violations.push_back({.kind = std::string(kind_of(object)),
                                 .name = name,
                                 .field = "metadata.name",
                                 .value = "\"" + name + "\"",
                                 .allowed = "a name that no other object has, of whatever kind"});
    }
  }
}

void check_references(decoded_documents& list)
{
  std::stable_sort(list.objects.begin(), list.objects.end(), [](const auto& a, const auto& b) {
    return dependency_rank(a) < dependency_rank(b);
  });
  reference_index index;
  for (const auto& object : list.objects) {
    if (auto violation = index.find_violation(object)) {
      list.violations.push_back(std::move(*violation));
    }
    index.add(object);
  }
}

} // namespace

fleet_configuration::fleet_configuration(std::uint64_t revision,
                                         std::vector<declared_object> objects,
                                         std::vector<unsupported_object> unsupported)
    : revision_(revision), unsupported_(std::move(unsupported))
{
  struct distributor {
    fleet_configuration& target;
    void operator()(workspace&& o) const { target.workspaces_.push_back(std::move(o)); }
    void operator()(pool&& o) const { target.pools_.push_back(std::move(o)); }
    void operator()(model_version&& o) const { target.model_versions_.push_back(std::move(o)); }
    void operator()(routing_intent&& o) const { target.intents_.push_back(std::move(o)); }
    void operator()(service&& o) const { target.services_.push_back(std::move(o)); }
  };
  for (auto& object : objects) {
    std::visit(distributor{*this}, std::move(object));
  }
  sort_by_name(workspaces_);
  sort_by_name(pools_);
  sort_by_name(model_versions_);
  sort_by_name(services_);
  sort_by_name(unsupported_);
  std::sort(intents_.begin(), intents_.end(), precedes);
  index_intents();
}

void fleet_configuration::index_intents()
{
  for (const auto& w : workspaces_) {
    const auto labels = labels_with_name(w.metadata);
    auto& positions = intents_of_workspace_[w.id()];
    for (std::size_t i = 0; i < intents_.size(); ++i) {
      if (intents_[i].workspace_selector.matches(labels)) {
        positions.push_back(i);
      }
    }
  }
}

const workspace* fleet_configuration::find_workspace(const workspace_id& id) const
{
  return find_by_name(workspaces_, id.value());
}

const pool* fleet_configuration::find_pool(std::string_view name) const
{
  return find_by_name(pools_, name);
}

const service* fleet_configuration::find_service(std::string_view name) const
{
  return find_by_name(services_, name);
}

bool fleet_configuration::has_model(const model_id& model) const
{
  return std::any_of(model_versions_.begin(), model_versions_.end(),
                     [&](const model_version& m) { return m.model == model; });
}

std::vector<const routing_intent*>
fleet_configuration::matching_intents(const request_description& request) const
{
  std::vector<const routing_intent*> matching;
  const auto found = intents_of_workspace_.find(request.workspace);
  if (found == intents_of_workspace_.end()) {
    return matching;
  }
  for (const auto position : found->second) {
    const auto& intent = intents_[position];
    const bool model_matches = request.model.empty() || request.model == model_of(intent);
    if (model_matches && intent.request_selector.matches(request.labels)) {
      matching.push_back(&intent);
    }
  }
  return matching;
}

model_id fleet_configuration::model_of(const routing_intent& intent) const
{
  if (!intent.model.empty()) {
    return intent.model;
  }
  const auto* p = find_pool(intent.pool);
  return p == nullptr ? model_id{} : p->model;
}

bool fleet_configuration::is_eligible(const routing_intent& intent,
                                      const instance_description& instance) const
{
  const auto* p = find_pool(intent.pool);
  return p != nullptr && objects::is_eligible(*p, instance) &&
         intent.instance_selector.matches(instance.labels);
}

bool is_eligible(const pool& candidate_pool, const instance_description& instance)
{
  return candidate_pool.role == instance.role &&
         is_allowed(candidate_pool.availability_zones, instance.zone) &&
         is_allowed(candidate_pool.instance_classes, instance.instance_class) &&
         candidate_pool.instance_selector.matches(instance.labels);
}

bool is_eligible(const service& candidate_service, const instance_description& instance)
{
  return instance.role == pool_role::service &&
         candidate_service.instance_selector.matches(instance.labels);
}

fleet_configuration make_fleet_configuration(std::uint64_t revision,
                                             const std::vector<boost::json::value>& documents)
{
  decoded_documents list;
  for (const auto& document : documents) {
    decode_into(list, document);
  }
  check_unique_names(list);
  check_references(list);
  if (!list.violations.empty()) {
    throw configuration_error(std::move(list.violations));
  }
  return {revision, std::move(list.objects), std::move(list.unsupported)};
}

} // namespace wisteriaflow::objects
