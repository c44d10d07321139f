// Errors of the packages that speak to the platform.

#ifndef WISTERIAFLOW_PLATFORM_ERRORS_H_
#define WISTERIAFLOW_PLATFORM_ERRORS_H_

#include "wisteriaflow/base/errors.h"

namespace wisteriaflow::platform {

// Base of the package's errors.
class platform_error : public error {
 public:
  using error::error;
};

// The platform did not answer, or answered with a failure of its own: a write may have taken
// effect.
class platform_unavailable : public platform_error {
 public:
  using platform_error::platform_error;
};

// No connection could be made: the call was not sent and has no effect.
class platform_unreachable : public platform_unavailable {
 public:
  using platform_unavailable::platform_unavailable;
};

// A create found the name taken, or a conditional update found another version. Nothing changed.
class conflict_error : public platform_error {
 public:
  using platform_error::platform_error;
};

// The object does not exist.
class not_found_error : public platform_error {
 public:
  using platform_error::platform_error;
};

// The platform refused the call for good, as for an object that is too large.
class rejected_error : public platform_error {
 public:
  using platform_error::platform_error;
};

// A watch asked for changes since a version that is no longer kept: list anew.
class watch_expired_error : public platform_error {
 public:
  using platform_error::platform_error;
};

// What an operator gave is not valid; nothing was written.
class invalid_input_error : public platform_error {
 public:
  using platform_error::platform_error;
};

// The daemon that an operator asked did not answer, or not with a success.
class daemon_unavailable : public platform_error {
 public:
  using platform_error::platform_error;
};

} // namespace wisteriaflow::platform

#endif // WISTERIAFLOW_PLATFORM_ERRORS_H_
