// The key of a non-idempotent request: a version 7 UUID (RFC 9562), whose first 48 bits are its
// creation time. That time limits how long the key has to be stored.
//
//   const auto key = request_key::parse("019079e2-4c00-7abc-8def-0123456789ab", now);
//   const auto id = key.hash_for(workspace);

#ifndef WISTERIAFLOW_CLAIMS_REQUEST_KEY_H_
#define WISTERIAFLOW_CLAIMS_REQUEST_KEY_H_

#include <chrono>
#include <compare>
#include <string>
#include <string_view>

#include "wisteriaflow/base/hash.h"
#include "wisteriaflow/base/ids.h"
#include "wisteriaflow/base/time.h"

namespace wisteriaflow::claims {

// How far a caller's clock may be ahead of this daemon's before its keys are refused.
inline constexpr std::chrono::milliseconds max_key_lead = std::chrono::seconds{60};

// A parsed key, in lower case.
class request_key {
 public:
  // Parses `text`. Throws invalid_key_error if it is not a version 7 UUID or was created more than
  // `max_lead` after `now`.
  static request_key parse(std::string_view text, wall_time now,
                           std::chrono::milliseconds max_lead = max_key_lead);

  [[nodiscard]] const std::string& text() const { return text_; }

  // When the caller created the key, by the caller's clock.
  [[nodiscard]] wall_time created() const { return created_; }

  // The hash under which the key is stored. Equal keys of two workspaces have different hashes.
  [[nodiscard]] hash128 hash_for(const workspace_id& workspace) const;

  friend auto operator<=>(const request_key&, const request_key&) = default;

 private:
  request_key(std::string text, wall_time created);

  std::string text_;
  wall_time created_;
};

} // namespace wisteriaflow::claims

#endif // WISTERIAFLOW_CLAIMS_REQUEST_KEY_H_
