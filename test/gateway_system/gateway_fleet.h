// Gateway daemons as processes, with fakes of the platform's store and of endpoints in this one.
// Daemons reach the store, and every endpoint, through proxies that can harm the way.

#ifndef WISTERIAFLOW_TEST_GATEWAY_SYSTEM_GATEWAY_FLEET_H_
#define WISTERIAFLOW_TEST_GATEWAY_SYSTEM_GATEWAY_FLEET_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "fakes/fake_store.h"
#include "gateway_system/counting_endpoint.h"
#include "gateway_system/fault_proxy.h"
#include "system/process.h"

namespace wisteriaflow::gateway_system_tests {

// One process, and what is known of it.
struct gateway_process {
  std::string id;
  http::socket_address callers;
  http::socket_address readiness;
  http::socket_address peers;
  http::socket_address addresses; // for the question which daemons to use
  std::unique_ptr<fault_proxy> way_to_store;
  std::unique_ptr<system_tests::process> running;
  mono_time disturbed_until; // a signal, or a fault on its way to the store, is felt up to here
  std::optional<mono_time> told_to_end_at; // by SIGTERM, which is no disturbance
  bool gone = false;                       // the process has ended
  bool was_stopped = false;                // and went on, as after a freeze

  [[nodiscard]] bool is_calm_since(mono_time then) const { return disturbed_until < then; }
};

// An endpoint with the proxy before it.
struct proxied_endpoint {
  std::unique_ptr<counting_endpoint> endpoint;
  std::unique_ptr<fault_proxy> way;
};

struct daemon_options {
  std::string log; // a file for the output; empty: one that is removed at the end
  std::string log_level = "info";
};

// Not thread-safe.
class gateway_fleet {
 public:
  // The host of every call's route.
  static constexpr const char* host = "shop.example";
  static constexpr std::chrono::milliseconds route_timeout{3'000};
  static constexpr std::chrono::milliseconds endpoint_notice{3'000};
  static constexpr std::chrono::seconds drain_grace{8};

  explicit gateway_fleet(boost::asio::io_context& context);
  ~gateway_fleet();
  gateway_fleet(const gateway_fleet&) = delete;
  gateway_fleet& operator=(const gateway_fleet&) = delete;

  // Starts a daemon under a new name, at new ports. It gets 2 s to become ready before it counts as
  // undisturbed.
  gateway_process& start_daemon(const daemon_options& options = {});
  // Adds an endpoint of the one service and writes it to the store.
  proxied_endpoint& add_endpoint();
  void write_endpoint(const proxied_endpoint& e, const std::string& state);

  // Writes the next configuration: the four routes /safe/, /unsafe/, /stream/ and /resumable/, and
  // one more /extra-N/ for each version N up to this one. Returns its version.
  std::uint64_t write_configuration();

  fakes::fake_store& store() { return store_; }
  std::map<std::string, std::unique_ptr<gateway_process>>& daemons() { return daemons_; }
  std::map<std::string, proxied_endpoint>& endpoints() { return endpoints_; }
  // Those that left or crashed too.
  [[nodiscard]] std::vector<const counting_endpoint*> all_endpoints() const;
  // Takes the endpoint out of those that faults are made at; it goes on until it is closed.
  counting_endpoint& retire(const std::string& id);
  // Ends the endpoint's process: its connections are reset and new ones refused. Its entry in the
  // store stays.
  void crash(const std::string& id);

 private:
  [[nodiscard]] std::string settings_of(const gateway_process& d,
                                        const daemon_options& options) const;

  boost::asio::io_context& context_;
  std::string folder_;
  std::string proxies_host_;
  fakes::fake_store store_;
  std::map<std::string, std::unique_ptr<gateway_process>> daemons_;
  std::map<std::string, proxied_endpoint> endpoints_;
  std::vector<proxied_endpoint> retired_;
  std::uint64_t version_ = 0;
  int last_daemon_ = 0;
  int last_endpoint_ = 0;
};

} // namespace wisteriaflow::gateway_system_tests

#endif // WISTERIAFLOW_TEST_GATEWAY_SYSTEM_GATEWAY_FLEET_H_
