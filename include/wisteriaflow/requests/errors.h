// Errors of the requests package.

#ifndef WISTERIAFLOW_REQUESTS_ERRORS_H_
#define WISTERIAFLOW_REQUESTS_ERRORS_H_

#include <string>

#include "wisteriaflow/base/errors.h"
#include "wisteriaflow/requests/outcome.h"

namespace wisteriaflow::requests {

// Base of this package's errors.
class requests_error : public error {
 public:
  using error::error;
};

// The caller's request is at fault. `what()` starts with the header or field at fault.
class invalid_request : public requests_error {
 public:
  invalid_request(int status, const std::string& field, const std::string& problem)
      : requests_error(field + ": " + problem), status_(status)
  {
  }

  [[nodiscard]] int status() const { return status_; }

  // The outcome to answer with.
  [[nodiscard]] invalid result() const { return {.status = status_, .message = what()}; }

 private:
  int status_;
};

// An engine's stream is malformed or over a limit: the attempt counts as broken off.
class stream_error : public requests_error {
 public:
  using requests_error::requests_error;
};

} // namespace wisteriaflow::requests

#endif // WISTERIAFLOW_REQUESTS_ERRORS_H_
