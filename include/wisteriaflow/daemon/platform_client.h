// HTTP client for the platform: calls of the object API and the cloud API, the watch on
// declarations, and polling of the instance list and of reclaim notices.

#ifndef WISTERIAFLOW_DAEMON_PLATFORM_CLIENT_H_
#define WISTERIAFLOW_DAEMON_PLATFORM_CLIENT_H_

#include <memory>
#include <random>

#include <boost/asio/awaitable.hpp>

#include "wisteriaflow/daemon/io_thread.h"
#include "wisteriaflow/daemon/settings.h"
#include "wisteriaflow/http/client.h"
#include "wisteriaflow/platform/object_api.h"

namespace wisteriaflow::daemon {

// Runs the core's calls to the platform, and the loops that watch or poll it. Each loop backs off
// with full jitter while its service fails, so that the daemons of a fleet do not all retry at the
// same time.
class platform_client {
 public:
  platform_client(const settings& s, std::shared_ptr<event_ring> core);

  void start();
  void stop() { thread_.stop(); }
  [[nodiscard]] std::shared_ptr<bounded_ring<core::platform_action>> ring() const
  {
    return thread_.ring();
  }

 private:
  void handle_action(core::call_store a);
  void handle_action(core::call_cloud a);
  boost::asio::awaitable<void> run_cloud_call(core::call_cloud a);
  boost::asio::awaitable<void> run_store_call(core::call_store a);
  boost::asio::awaitable<core::store_answer> perform(const core::call_store& a);
  boost::asio::awaitable<void> watch_declarations();
  boost::asio::awaitable<void> watch_from(std::uint64_t& version);
  boost::asio::awaitable<std::uint64_t> list_declarations();
  boost::asio::awaitable<void> poll_instances();
  boost::asio::awaitable<void> poll_notices();
  boost::asio::awaitable<bool> fetch_json(http::socket_address from, std::string target,
                                          boost::json::value& out);
  boost::asio::awaitable<void> async_sleep(std::chrono::milliseconds period);
  [[nodiscard]] std::chrono::milliseconds backoff(unsigned failures);
  [[nodiscard]] std::chrono::milliseconds random_delay(std::chrono::milliseconds max_delay);
  [[nodiscard]] mono_time call_deadline() const;

  settings settings_;
  io_thread<core::platform_action> thread_;
  http::client client_;
  platform::object_api store_;
  std::mt19937_64 random_;
};

} // namespace wisteriaflow::daemon

#endif // WISTERIAFLOW_DAEMON_PLATFORM_CLIENT_H_
