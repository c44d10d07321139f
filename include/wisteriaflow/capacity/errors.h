// Errors of the capacity package.

#ifndef WISTERIAFLOW_CAPACITY_ERRORS_H_
#define WISTERIAFLOW_CAPACITY_ERRORS_H_

#include "wisteriaflow/base/errors.h"

namespace wisteriaflow::capacity {

// Thrown when a stored document of the capacity controller cannot be decoded. The message says why.
class capacity_error : public error {
 public:
  using error::error;
};

} // namespace wisteriaflow::capacity

#endif // WISTERIAFLOW_CAPACITY_ERRORS_H_
