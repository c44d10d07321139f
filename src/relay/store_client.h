// The one client of the platform's store: deadlines, a pause after failures, and what they say of
// the store's health.

#ifndef WISTERIAFLOW_SRC_RELAY_STORE_CLIENT_H_
#define WISTERIAFLOW_SRC_RELAY_STORE_CLIENT_H_

#include <chrono>
#include <functional>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "relay/fleet_state.h"
#include "relay/outage_watch.h"
#include "store_calls.h"
#include "wisteriaflow/gateway/retry_policy.h"
#include "wisteriaflow/http/client.h"

namespace wisteriaflow::relay {

// What became of a call. After `failed`, a write may have been done or may yet be.
struct store_reply {
  adapter::store_result result = adapter::store_result::failed;
  std::string body;
};

// Not thread-safe.
class store_client {
 public:
  store_client(boost::asio::io_context& context, fleet_state& state);

  // Makes one call; `name` stands for its kind in metrics.
  boost::asio::awaitable<store_reply> call(http::request message, std::string name,
                                           std::chrono::milliseconds timeout);

  // Told when the store answers again after calls had failed for at least `outage`.
  void on_return(std::function<void()> callback) { on_return_ = std::move(callback); }

  // Pause before a failed call is made again, after so many failures in a row; see retry_policy.
  [[nodiscard]] std::chrono::milliseconds backoff(unsigned failures);

  // Entries lapse only after three missed heartbeats; a shorter outage makes none vanish.
  static constexpr std::chrono::milliseconds outage{2'000};

 private:
  void note(bool answered);

  http::client client_;
  fleet_state& state_;
  outage_detector outages_{outage};
  std::function<void()> on_return_;
  gateway::retry_policy retries_;
};

} // namespace wisteriaflow::relay

#endif // WISTERIAFLOW_SRC_RELAY_STORE_CLIENT_H_
