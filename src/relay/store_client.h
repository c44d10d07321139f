// The daemon's only client of the platform's store: applies deadlines, computes the backoff after
// failures, and detects from the answers when the store is back after an outage, and when it has
// been restored from a copy.

#ifndef WISTERIAFLOW_SRC_RELAY_STORE_CLIENT_H_
#define WISTERIAFLOW_SRC_RELAY_STORE_CLIENT_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "relay/fleet_state.h"
#include "relay/outage_detector.h"
#include "store_calls.h"
#include "wisteriaflow/gateway/retry_policy.h"
#include "wisteriaflow/http/client.h"

namespace wisteriaflow::relay {

// Result of a call. After `failed`, a write may have been done or may still be done.
struct store_reply {
  adapter::store_result result = adapter::store_result::failed;
  std::uint64_t era = 0; // of the store that answered; 0: not stated
  std::string body;
};

// Not thread-safe.
class store_client {
 public:
  store_client(boost::asio::io_context& context, fleet_state& state);

  // Makes one call. `name` is the label of the call in metrics and log lines.
  boost::asio::awaitable<store_reply> call(http::request message, std::string name,
                                           std::chrono::milliseconds timeout);

  // `callback` runs when the store answers again after calls had failed for at least `min_outage`.
  void set_recovery_callback(std::function<void()> callback) { on_recovery_ = std::move(callback); }

  // `callback` runs when an answer shows that the store has been restored from a copy. What this
  // daemon has written there may be lost, and what it has read may be undone.
  void add_restore_callback(std::function<void()> callback)
  {
    on_restored_.push_back(std::move(callback));
  }

  // The latest era of the store that an answer has stated; 0: none.
  [[nodiscard]] std::uint64_t era() const { return era_; }

  // Returns the pause before the next attempt after `failures` failures in a row; see retry_policy.
  [[nodiscard]] std::chrono::milliseconds backoff(unsigned failures);

  // Entries expire only after three missed heartbeats, so a shorter outage removes none.
  static constexpr std::chrono::milliseconds min_outage{2'000};

 private:
  void record_result(bool answered);
  void record_era(std::uint64_t era);

  http::client client_;
  fleet_state& state_;
  outage_detector outages_{min_outage};
  std::function<void()> on_recovery_;
  std::vector<std::function<void()>> on_restored_;
  std::uint64_t era_ = 0;
  gateway::retry_policy retries_;
};

} // namespace wisteriaflow::relay

#endif // WISTERIAFLOW_SRC_RELAY_STORE_CLIENT_H_
