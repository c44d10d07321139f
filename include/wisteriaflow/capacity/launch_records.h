// Records of launches that have been decided but whose instances do not serve yet, identified by
// idempotency tokens.
//
// A launch is written to the store before the call to the cloud API. The holder of the capacity
// lease, which may have changed since, finds it there and repeats the call with the same token, so
// that a lost answer does not start a second instance.

#ifndef WISTERIAFLOW_CAPACITY_LAUNCH_RECORDS_H_
#define WISTERIAFLOW_CAPACITY_LAUNCH_RECORDS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <boost/json/value.hpp>

#include "wisteriaflow/base/ids.h"
#include "wisteriaflow/base/time.h"
#include "wisteriaflow/capacity/inputs.h"

namespace wisteriaflow::capacity {

// A pending launch.
struct launch_record {
  std::string token;
  std::string pool;
  offer_key key;
  instance_id id;       // empty until the cloud API has returned it
  wall_time give_up_at; // the instance is released if it does not serve by then

  friend bool operator==(const launch_record&, const launch_record&) = default;
};

// Returns "<pool>-<fencing number>-<counter>". The fencing number ensures that no two holders
// of the lease create the same token.
[[nodiscard]] std::string launch_token(std::string_view pool, std::uint64_t fencing_number,
                                       std::uint64_t counter);

// Encodes the records for the lease object, and decodes them. The decoder throws `capacity_error`.
[[nodiscard]] boost::json::value encode_launches(const std::vector<launch_record>& launches);
[[nodiscard]] std::vector<launch_record> decode_launches(const boost::json::value& document);

} // namespace wisteriaflow::capacity

#endif // WISTERIAFLOW_CAPACITY_LAUNCH_RECORDS_H_
