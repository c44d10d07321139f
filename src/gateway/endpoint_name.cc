#include "wisteriaflow/gateway/endpoint_name.h"

#include <algorithm>

#include "wisteriaflow/base/percent_encoding.h"

namespace wisteriaflow::gateway {

bool is_endpoint_id(std::string_view name)
{
  return !name.empty() && name.size() <= max_endpoint_id_size &&
         std::all_of(name.begin(), name.end(), is_unreserved);
}

} // namespace wisteriaflow::gateway
