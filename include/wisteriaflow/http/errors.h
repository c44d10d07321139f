// Errors of the HTTP package.

#ifndef WISTERIAFLOW_HTTP_ERRORS_H_
#define WISTERIAFLOW_HTTP_ERRORS_H_

#include "wisteriaflow/base/errors.h"

namespace wisteriaflow::http {

// Base of the package's errors.
class http_error : public error {
 public:
  using error::error;
};

// The connection could not be opened: not a byte of the request left this process.
class connect_error : public http_error {
 public:
  using http_error::http_error;
};

// The exchange broke off after bytes of the request may have left this process.
class broken_exchange_error : public http_error {
 public:
  using http_error::http_error;
};

// The deadline passed after bytes of the request may have left this process.
class exchange_timeout_error : public broken_exchange_error {
 public:
  using broken_exchange_error::broken_exchange_error;
};

} // namespace wisteriaflow::http

#endif // WISTERIAFLOW_HTTP_ERRORS_H_
