// Exceptions of the clients of the platform: the object API and the daemons' operator interface.

#ifndef WISTERIAFLOW_PLATFORM_ERRORS_H_
#define WISTERIAFLOW_PLATFORM_ERRORS_H_

#include "wisteriaflow/base/errors.h"

namespace wisteriaflow::platform {

// Base class of all exceptions of this package.
class platform_error : public error {
 public:
  using error::error;
};

// The platform did not answer, answered with status 429 or 5xx, or sent a malformed response. A
// write may have taken effect.
class platform_unavailable : public platform_error {
 public:
  using platform_error::platform_error;
};

// The connection could not be established. The call was not sent and has no effect.
class platform_unreachable : public platform_unavailable {
 public:
  using platform_unavailable::platform_unavailable;
};

// The object to create exists already, or a conditional update found another version. Nothing was
// written.
class conflict_error : public platform_error {
 public:
  using platform_error::platform_error;
};

// The object does not exist.
class not_found_error : public platform_error {
 public:
  using platform_error::platform_error;
};

// The platform rejected the call and would reject it again, for example because the object is too
// large.
class rejected_error : public platform_error {
 public:
  using platform_error::platform_error;
};

// The platform no longer has the changes since the version that a watch starts from. The caller
// lists the objects again.
class watch_expired_error : public platform_error {
 public:
  using platform_error::platform_error;
};

// The operator's input is invalid. Nothing was written.
class invalid_input_error : public platform_error {
 public:
  using platform_error::platform_error;
};

// The queried daemon did not answer, answered with a status other than 200, 400 and 404, or sent
// malformed JSON.
class daemon_unavailable : public platform_error {
 public:
  using platform_error::platform_error;
};

} // namespace wisteriaflow::platform

#endif // WISTERIAFLOW_PLATFORM_ERRORS_H_
