// Documents of the capacity duty: prices, launches and orders, and its report to operators.

#ifndef WISTERIAFLOW_SRC_CORE_CAPACITY_DOCUMENTS_H_
#define WISTERIAFLOW_SRC_CORE_CAPACITY_DOCUMENTS_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include "wisteriaflow/capacity/planner.h"
#include "wisteriaflow/http/message.h"
#include "wisteriaflow/objects/declared_object.h"

namespace wisteriaflow::core::internal {

// A label that launched instances carry: the pool that they were started for.
inline constexpr std::string_view pool_label = "wisteriaflow.dev/pool";

// The offers of GET /prices; nothing if the document cannot be read.
[[nodiscard]] std::optional<std::vector<capacity::offer>> read_prices(std::string_view body);

// The tokens that listed instances were launched with, by instance id.
[[nodiscard]] std::map<std::string, std::string>
read_launch_tokens(const boost::json::value& instance_list);

// POST /instances. The labels are such that the pool's selector takes the instance.
[[nodiscard]] http::request make_launch(const capacity::launch& a, const objects::pool& pool);

// DELETE /instances/{id}.
[[nodiscard]] http::request make_release(const instance_id& id);

// POST /orders of an endpoint.
[[nodiscard]] http::request make_order(const capacity::order_load& a);

// What the cloud API's answer to a launch means; null if there was none.
[[nodiscard]] capacity::launch_answer read_launch_answer(const http::response* answer);

[[nodiscard]] boost::json::object to_json(const capacity::pool_report& report);
[[nodiscard]] boost::json::object to_json(const capacity::instance_reason& reason);

} // namespace wisteriaflow::core::internal

#endif // WISTERIAFLOW_SRC_CORE_CAPACITY_DOCUMENTS_H_
