// The daemon's only client of the platform's store: applies deadlines, computes the backoff after
// failures, and detects from the results when the store is back after an outage.

#ifndef WISTERIAFLOW_SRC_RELAY_STORE_CLIENT_H_
#define WISTERIAFLOW_SRC_RELAY_STORE_CLIENT_H_

#include <chrono>
#include <functional>
#include <optional>
#include <string>

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

  // Returns the pause before the next attempt after `failures` failures in a row; see retry_policy.
  [[nodiscard]] std::chrono::milliseconds backoff(unsigned failures);

  // Entries expire only after three missed heartbeats, so a shorter outage removes none.
  static constexpr std::chrono::milliseconds min_outage{2'000};

 private:
  void record_result(bool answered);

  http::client client_;
  fleet_state& state_;
  outage_detector outages_{min_outage};
  std::function<void()> on_recovery_;
  gateway::retry_policy retries_;
};

} // namespace wisteriaflow::relay

#endif // WISTERIAFLOW_SRC_RELAY_STORE_CLIENT_H_
