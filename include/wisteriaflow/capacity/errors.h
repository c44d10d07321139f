// Errors of the capacity package.

#ifndef WISTERIAFLOW_CAPACITY_ERRORS_H_
#define WISTERIAFLOW_CAPACITY_ERRORS_H_

#include "wisteriaflow/base/errors.h"

namespace wisteriaflow::capacity {

// A document of the capacity duty that cannot be read. The message names what is wrong.
class capacity_error : public error {
 public:
  using error::error;
};

} // namespace wisteriaflow::capacity

#endif // WISTERIAFLOW_CAPACITY_ERRORS_H_
