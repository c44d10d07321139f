// Errors of the claims package.

#ifndef WISTERIAFLOW_CLAIMS_ERRORS_H_
#define WISTERIAFLOW_CLAIMS_ERRORS_H_

#include "wisteriaflow/base/errors.h"

namespace wisteriaflow::claims {

// Base class of the package's errors.
class claims_error : public error {
 public:
  using error::error;
};

// A caller's key is not a version 7 UUID, or was created too far in the future.
class invalid_key_error : public claims_error {
 public:
  using claims_error::claims_error;
};

// A stored tail or segment cannot be read. Its shard must not grant claims.
class malformed_document_error : public claims_error {
 public:
  using claims_error::claims_error;
};

} // namespace wisteriaflow::claims

#endif // WISTERIAFLOW_CLAIMS_ERRORS_H_
