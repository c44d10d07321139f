// HTTP messages and JSON documents of capacity planning: prices, launches, releases, orders and the
// report to operators.

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

// Label of launched instances. Its value is the pool that they were launched for.
inline constexpr std::string_view pool_label = "wisteriaflow.dev/pool";

// Parses the offers from the response to GET /prices. Returns nothing if the document is malformed.
[[nodiscard]] std::optional<std::vector<capacity::offer>> read_prices(std::string_view body);

// Returns the launch tokens of the listed instances by instance id.
[[nodiscard]] std::map<std::string, std::string>
read_launch_tokens(const boost::json::value& instance_list);

// Makes the call POST /instances, with labels that match the pool's instance selector.
[[nodiscard]] http::request make_launch(const capacity::launch& a, const objects::pool& pool);

// Makes the call DELETE /instances/{id}.
[[nodiscard]] http::request make_release(const instance_id& id);

// Makes the call POST /orders, by which an endpoint loads a model or an adapter.
[[nodiscard]] http::request make_order(const capacity::order_load& a);

// Interprets the cloud API's response to a launch. `answer` is null if there was none.
[[nodiscard]] capacity::launch_answer read_launch_answer(const http::response* answer);

[[nodiscard]] boost::json::object to_json(const capacity::pool_report& report);
[[nodiscard]] boost::json::object to_json(const capacity::instance_reason& reason);

} // namespace wisteriaflow::core::internal

#endif // WISTERIAFLOW_SRC_CORE_CAPACITY_DOCUMENTS_H_
