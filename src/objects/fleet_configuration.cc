#include "wisteriaflow/objects/fleet_configuration.h"

#include <algorithm>
#include <set>

#include "wisteriaflow/objects/references.h"

namespace wisteriaflow::objects {
namespace {

template <typename object> void sort_by_name(std::vector<object>& objects)
{
  std::sort(objects.begin(), objects.end(),
            [](const auto& a, const auto& b) { return a.metadata.name < b.metadata.name; });
}

bool goes_before(const routing_intent& a, const routing_intent& b)
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

template <typename item> bool allows(const std::vector<item>& allowed, const item& wanted)
{
  return allowed.empty() || std::find(allowed.begin(), allowed.end(), wanted) != allowed.end();
}

// Collects what make_fleet_configuration reads, with the faults found on the way.
struct decoded_list {
  std::vector<declared_object> objects;
  std::vector<not_understood_object> not_understood;
  std::vector<object_fault> faults;
};

void decode_into(decoded_list& list, const boost::json::value& document)
{
  try {
    auto decoded = decode_object(document);
    if (auto* object = std::get_if<declared_object>(&decoded)) {
      list.objects.push_back(std::move(*object));
    } else {
      list.not_understood.push_back(std::get<not_understood_object>(std::move(decoded)));
    }
  } catch (const invalid_object_error& e) {
    list.faults.push_back(e.fault());
  }
}

void check_names(decoded_list& list)
{
  std::set<std::string> names;
  for (const auto& object : list.objects) {
    const auto& name = metadata_of(object).name;
    if (!names.insert(name).second) {
      list.faults.push_back({.kind = std::string(kind_of(object)),
                             .name = name,
                             .field = "metadata.name",
                             .value = "\"" + name + "\"",
                             .allowed = "a name that no other object has, of whatever kind"});
    }
  }
}

void check_references(decoded_list& list)
{
  std::stable_sort(list.objects.begin(), list.objects.end(), [](const auto& a, const auto& b) {
    return reference_rank(a) < reference_rank(b);
  });
  reference_index index;
  for (const auto& object : list.objects) {
    if (auto fault = index.find_fault(object)) {
      list.faults.push_back(std::move(*fault));
    }
    index.add(object);
  }
}

} // namespace

fleet_configuration::fleet_configuration(std::uint64_t revision,
                                         std::vector<declared_object> objects,
                                         std::vector<not_understood_object> not_understood)
    : revision_(revision), not_understood_(std::move(not_understood))
{
  struct sorter {
    fleet_configuration& to;
    void operator()(workspace&& o) const { to.workspaces_.push_back(std::move(o)); }
    void operator()(pool&& o) const { to.pools_.push_back(std::move(o)); }
    void operator()(model_version&& o) const { to.model_versions_.push_back(std::move(o)); }
    void operator()(routing_intent&& o) const { to.intents_.push_back(std::move(o)); }
    void operator()(service&& o) const { to.services_.push_back(std::move(o)); }
  };
  for (auto& object : objects) {
    std::visit(sorter{*this}, std::move(object));
  }
  sort_by_name(workspaces_);
  sort_by_name(pools_);
  sort_by_name(model_versions_);
  sort_by_name(services_);
  sort_by_name(not_understood_);
  std::sort(intents_.begin(), intents_.end(), goes_before);
  index_intents();
}

void fleet_configuration::index_intents()
{
  for (const auto& w : workspaces_) {
    const auto labels = labels_with_name(w.metadata);
    auto& places = intents_of_workspace_[w.id()];
    for (std::size_t i = 0; i < intents_.size(); ++i) {
      if (intents_[i].workspace_selector.matches(labels)) {
        places.push_back(i);
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

bool fleet_configuration::knows_model(const model_id& model) const
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
  for (const auto place : found->second) {
    const auto& intent = intents_[place];
    const bool right_model = request.model.empty() || request.model == model_of(intent);
    if (right_model && intent.request_selector.matches(request.labels)) {
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

bool is_eligible(const pool& members, const instance_description& instance)
{
  return members.role == instance.role && allows(members.availability_zones, instance.zone) &&
         allows(members.instance_classes, instance.instance_class) &&
         members.instance_selector.matches(instance.labels);
}

bool is_eligible(const service& target, const instance_description& instance)
{
  return instance.role == pool_role::service && target.instance_selector.matches(instance.labels);
}

fleet_configuration make_fleet_configuration(std::uint64_t revision,
                                             const std::vector<boost::json::value>& documents)
{
  decoded_list list;
  for (const auto& document : documents) {
    decode_into(list, document);
  }
  check_names(list);
  check_references(list);
  if (!list.faults.empty()) {
    throw configuration_error(std::move(list.faults));
  }
  return {revision, std::move(list.objects), std::move(list.not_understood)};
}

} // namespace wisteriaflow::objects
