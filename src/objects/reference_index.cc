#include "wisteriaflow/objects/reference_index.h"

namespace wisteriaflow::objects {
namespace {

std::string quoted(const std::string& text)
{
  return "\"" + text + "\"";
}

} // namespace

std::optional<field_violation> reference_index::find_violation(const declared_object& object) const
{
  if (const auto* p = std::get_if<pool>(&object)) {
    return find_violation(*p);
  }
  if (const auto* i = std::get_if<routing_intent>(&object)) {
    return find_violation(*i);
  }
  return std::nullopt;
}

std::optional<field_violation> reference_index::find_violation(const pool& p) const
{
  if (p.model.empty() || models_.contains(p.model)) {
    return std::nullopt;
  }
  return field_violation{.kind = "Pool",
                         .name = p.metadata.name,
                         .field = "spec.model",
                         .value = quoted(p.model.value()),
                         .allowed = "the model of a declared ModelVersion"};
}

std::optional<field_violation> reference_index::find_violation(const routing_intent& i) const
{
  field_violation violation{.kind = "RoutingIntent", .name = i.metadata.name};
  const auto found = pools_.find(i.pool);
  if (found == pools_.end()) {
    violation.field = "spec.pool";
    violation.value = quoted(i.pool);
    violation.allowed = "the name of a Pool that is in force";
    return violation;
  }
  if (!i.model.empty() && i.model != found->second) {
    violation.field = "spec.model";
    violation.value = quoted(i.model.value());
    violation.allowed = "the model of pool " + i.pool + ", " + quoted(found->second.value());
    return violation;
  }
  return std::nullopt;
}

void reference_index::add(const declared_object& object)
{
  if (const auto* m = std::get_if<model_version>(&object)) {
    models_.insert(m->model);
  }
  if (const auto* p = std::get_if<pool>(&object)) {
    pools_.emplace(p->metadata.name, p->model);
  }
}

int dependency_rank(const declared_object& object)
{
  constexpr int model_version_rank = 0;
  constexpr int pool_rank = 1;
  constexpr int other_rank = 2;
  if (std::holds_alternative<model_version>(object)) {
    return model_version_rank;
  }
  return std::holds_alternative<pool>(object) ? pool_rank : other_rank;
}

} // namespace wisteriaflow::objects
