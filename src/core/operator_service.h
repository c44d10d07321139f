// The HTTP resources for operators, health checks, metrics and the addresses of daemons.

#ifndef WISTERIAFLOW_SRC_CORE_OPERATOR_SERVICE_H_
#define WISTERIAFLOW_SRC_CORE_OPERATOR_SERVICE_H_

#include <boost/json/value.hpp>

#include "core/capacity_service.h"
#include "core/claim_service.h"
#include "core/configuration.h"
#include "core/core_context.h"
#include "core/fleet.h"
#include "core/placement.h"
#include "core/request_table.h"
#include "wisteriaflow/membership/address_selector.h"

namespace wisteriaflow::core::internal {

class operator_service {
 public:
  operator_service(core_context& context, request_services services, request_table& requests,
                   capacity_service& capacity);

  // GET /healthz: always 200, which shows that the core processes events.
  [[nodiscard]] http::response health() const;

  // GET /readyz: 200 if the configuration is known and the daemon is not draining, else 503.
  [[nodiscard]] http::response readiness(bool draining) const;

  // GET /metrics
  [[nodiscard]] http::response metrics() const;

  // GET /operator/v1/fleet
  [[nodiscard]] http::response fleet_view() const;

  // GET /operator/v1/capacity
  [[nodiscard]] http::response capacity_view() const;

  // GET /operator/v1/explain?workspace=&labels=&model=&service=
  [[nodiscard]] http::response explain(const http::target_parts& target);

  // GET /v1/addresses?availability_zone=&workspace=
  [[nodiscard]] http::response addresses(const http::target_parts& target,
                                         const http::request& message) const;

 private:
  [[nodiscard]] boost::json::value explain_route(const objects::fleet_configuration& configuration,
                                                 const route& r);

  core_context& context_;
  request_services services_;
  request_table& requests_;
  capacity_service& capacity_;
  membership::address_selector book_;
};

} // namespace wisteriaflow::core::internal

#endif // WISTERIAFLOW_SRC_CORE_OPERATOR_SERVICE_H_
