#include "wisteriaflow/objects/declared_object.h"

namespace wisteriaflow::objects {

const object_metadata& metadata_of(const declared_object& object)
{
  return std::visit([](const auto& o) -> const object_metadata& { return o.metadata; }, object);
}

std::string_view kind_of(const declared_object& object)
{
  return known_kinds()[object.index()];
}

const std::vector<std::string_view>& known_kinds()
{
  static const std::vector<std::string_view> kinds = {"Workspace", "Pool", "ModelVersion",
                                                      "RoutingIntent", "Service"};
  return kinds;
}

} // namespace wisteriaflow::objects
