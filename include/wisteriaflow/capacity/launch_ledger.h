// Launches that have been decided and do not serve yet, by their idempotency tokens.
//
// A launch is written to the store before the cloud API is asked. Whoever holds the capacity lease
// finds it there and asks again with the same token, so that a lost answer starts no second
// instance.

#ifndef WISTERIAFLOW_CAPACITY_LAUNCH_LEDGER_H_
#define WISTERIAFLOW_CAPACITY_LAUNCH_LEDGER_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <boost/json/value.hpp>

#include "wisteriaflow/base/ids.h"
#include "wisteriaflow/base/time.h"
#include "wisteriaflow/capacity/inputs.h"

namespace wisteriaflow::capacity {

// One launch on its way.
struct launch_record {
  std::string token;
  std::string pool;
  offer_key key;
  instance_id id;       // empty until the cloud API has told it
  wall_time give_up_at; // an instance that does not serve by then is released

  friend bool operator==(const launch_record&, const launch_record&) = default;
};

// "<pool>-<fencing number>-<counter>": no two holders of the lease make the same one.
[[nodiscard]] std::string launch_token(std::string_view pool, std::uint64_t fencing_number,
                                       std::uint64_t counter);

// The records as they stand in the lease's object, and back. The decoder throws capacity_error.
[[nodiscard]] boost::json::value encode_launches(const std::vector<launch_record>& launches);
[[nodiscard]] std::vector<launch_record> decode_launches(const boost::json::value& document);

} // namespace wisteriaflow::capacity

#endif // WISTERIAFLOW_CAPACITY_LAUNCH_LEDGER_H_
