// Errors of the routing package.

#ifndef WISTERIAFLOW_ROUTING_ERRORS_H_
#define WISTERIAFLOW_ROUTING_ERRORS_H_

#include "wisteriaflow/base/errors.h"

namespace wisteriaflow::routing {

// Thrown when a call names an endpoint slot that is not in the table.
class unknown_endpoint : public error {
 public:
  using error::error;
};

} // namespace wisteriaflow::routing

#endif // WISTERIAFLOW_ROUTING_ERRORS_H_
