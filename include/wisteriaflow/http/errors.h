// Exceptions of the HTTP package. They tell the caller whether a failed request may have reached
// the server.

#ifndef WISTERIAFLOW_HTTP_ERRORS_H_
#define WISTERIAFLOW_HTTP_ERRORS_H_

#include "wisteriaflow/base/errors.h"

namespace wisteriaflow::http {

// Base of the package's exceptions; also thrown for invalid addresses and messages.
class http_error : public error {
 public:
  using error::error;
};

// The connection could not be opened; no byte of the request was sent, so a retry is safe.
class connect_error : public http_error {
 public:
  using http_error::http_error;
};

// The exchange failed after bytes of the request may have been sent, so the server may have
// executed the request. Also thrown when the peer of a server disconnects before the response is
// complete.
class broken_exchange_error : public http_error {
 public:
  using http_error::http_error;
};

// The deadline passed after bytes of the request may have been sent.
class exchange_timeout_error : public broken_exchange_error {
 public:
  using broken_exchange_error::broken_exchange_error;
};

} // namespace wisteriaflow::http

#endif // WISTERIAFLOW_HTTP_ERRORS_H_
