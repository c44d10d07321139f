// Exceptions of the requests package.

#ifndef WISTERIAFLOW_REQUESTS_ERRORS_H_
#define WISTERIAFLOW_REQUESTS_ERRORS_H_

#include <string>

#include "wisteriaflow/base/errors.h"
#include "wisteriaflow/requests/outcome.h"

namespace wisteriaflow::requests {

// Base class of this package's exceptions.
class requests_error : public error {
 public:
  using error::error;
};

// The caller's request is invalid. `what()` starts with the name of the invalid header or field.
class invalid_request : public requests_error {
 public:
  invalid_request(int status, const std::string& field, const std::string& problem)
      : requests_error(field + ": " + problem), status_(status)
  {
  }

  [[nodiscard]] int status() const { return status_; }

  // The outcome with which the request ends.
  [[nodiscard]] invalid result() const { return {.status = status_, .message = what()}; }

 private:
  int status_;
};

// An engine's stream is malformed or exceeds a limit; the attempt counts as interrupted.
class stream_error : public requests_error {
 public:
  using requests_error::requests_error;
};

} // namespace wisteriaflow::requests

#endif // WISTERIAFLOW_REQUESTS_ERRORS_H_
