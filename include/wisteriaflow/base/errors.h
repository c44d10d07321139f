// Base class of the project's exceptions. Each package derives its own exceptions from it and
// translates those of the packages that it uses.

#ifndef WISTERIAFLOW_BASE_ERRORS_H_
#define WISTERIAFLOW_BASE_ERRORS_H_

#include <stdexcept>

namespace wisteriaflow {

// Base of every exception that the project throws.
class error : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

} // namespace wisteriaflow

#endif // WISTERIAFLOW_BASE_ERRORS_H_
