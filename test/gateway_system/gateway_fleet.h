// Starts gateway daemons as separate processes, with a fake store and fake endpoints in the test's
// process. Daemons reach the store and every endpoint through proxies that can inject faults.
//
//   gateway_fleet fleet(context);
//   fleet.add_endpoint();
//   auto& d = fleet.start_daemon(); // then send calls to d.callers

#ifndef WISTERIAFLOW_TEST_GATEWAY_SYSTEM_GATEWAY_FLEET_H_
#define WISTERIAFLOW_TEST_GATEWAY_SYSTEM_GATEWAY_FLEET_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "fakes/fake_store.h"
#include "fakes/fault_proxy.h"
#include "gateway_system/counting_endpoint.h"
#include "system/process.h"

namespace wisteriaflow::gateway_system_tests {

using fakes::fault_proxy;
using fakes::network_fault;

// A daemon's process and its state as far as the test knows it.
struct gateway_process {
  std::string id;        // of the process
  std::string daemon_id; // in the settings; a restarted process has that of the one before it
  std::string zone;
  http::socket_address callers;
  http::socket_address readiness;
  http::socket_address peers;
  http::socket_address addresses; // where callers ask which daemons to use
  std::unique_ptr<fault_proxy> store_proxy;
  std::unique_ptr<system_tests::process> running;
  mono_time disturbed_until; // end of the effects of signals other than SIGTERM, and of faults on
                             // the way to the store
  std::optional<mono_time> sigterm_at; // SIGTERM does not count as a disturbance
  std::optional<mono_time> exited_at;  // after SIGTERM
  std::optional<mono_time> lost_power_at;
  bool has_ended = false;
  bool was_suspended = false; // was stopped with SIGSTOP and continued

  [[nodiscard]] bool is_undisturbed_since(mono_time then) const { return disturbed_until < then; }
  // Whether a call that was sent then, and which its endpoint was still running at `cut_at`, may be
  // cut by the end of the process: it was sent early in the drain and ran until its last sixth.
  [[nodiscard]] bool may_cut(mono_time sent_at, mono_time cut_at) const;
};

// An endpoint and the proxy through which daemons reach it.
struct proxied_endpoint {
  std::unique_ptr<counting_endpoint> endpoint;
  std::unique_ptr<fault_proxy> proxy;
  std::string service;
};

// How long the operator lets callers of the routes wait.
struct route_timeouts {
  std::chrono::milliseconds plain{3'000};
  std::chrono::milliseconds stream{3'000};
};

struct daemon_options {
  std::string log; // file for the output; if empty, a temporary one
  std::string log_level = "info";
};

// The daemons, the endpoints and the store of one test. Not thread-safe.
class gateway_fleet {
 public:
  // The host name of every route.
  static constexpr const char* host = "shop.example";
  static constexpr std::chrono::milliseconds route_timeout = route_timeouts{}.plain;
  static constexpr std::chrono::milliseconds endpoint_notice{3'000};
  static constexpr std::chrono::seconds drain_grace{8};

  explicit gateway_fleet(boost::asio::io_context& context);
  ~gateway_fleet();
  gateway_fleet(const gateway_fleet&) = delete;
  gateway_fleet& operator=(const gateway_fleet&) = delete;

  // The program that later starts run, and the number of zones that later daemons are in.
  void set_program(std::string path) { program_ = std::move(path); }
  void set_zones(int zones) { zones_ = zones; }

  // Starts a daemon with a new id and new ports. It counts as disturbed for 2 s, in which it
  // becomes ready.
  gateway_process& start_daemon(const daemon_options& options = {});
  // Ends all processes at the same moment, without a signal that they can handle. Returns those
  // that had received no SIGTERM.
  std::vector<const gateway_process*> lose_power();
  // Starts the daemon of an ended process again under its id and addresses, as start_daemon() does.
  gateway_process& restart_daemon(const gateway_process& ended, const daemon_options& options = {});
  // Starts a daemon whose process has ended again, with its id and its addresses.
  void restart(gateway_process& d, const daemon_options& options = {});
  // Runs the context until all daemons are ready. Throws std::runtime_error if one does not become
  // ready in time.
  void await_ready();
  // The daemons whose processes have ended by a signal that the test did not send, each with its
  // number.
  [[nodiscard]] std::vector<std::string> unexpected_ends();
  // Adds an endpoint, whose software has this version, and writes it to the store.
  proxied_endpoint& add_endpoint(const std::string& version = "v1");
  // Ends the endpoint, and another one with this version comes under its id.
  proxied_endpoint& replace_endpoint(const std::string& id, const std::string& version);
  // The service that later endpoints belong to.
  void set_endpoint_service(std::string service) { endpoint_service_ = std::move(service); }
  // Number of requests that later endpoints run concurrently according to their entries.
  void set_endpoint_slots(std::size_t slots) { endpoint_slots_ = slots; }
  // Writes the endpoint's entry with `state`, for example "ready" or "draining".
  void write_endpoint(const proxied_endpoint& e, const std::string& state);

  // Timeouts in later versions of the configuration.
  void set_route_timeouts(route_timeouts timeouts) { timeouts_ = timeouts; }
  // The services of the route /resumable/ in later versions of the configuration.
  void set_resumable_services(std::vector<std::string> services)
  {
    resumable_services_ = std::move(services);
  }
  // Writes the next version of the configuration, with the four routes /safe/, /unsafe/, /stream/
  // and /resumable/ and a route /extra-N/ for each version N up to this one. Returns the version.
  std::uint64_t write_configuration();

  fakes::fake_store& store() { return store_; }
  std::map<std::string, std::unique_ptr<gateway_process>>& daemons() { return daemons_; }
  std::map<std::string, proxied_endpoint>& endpoints() { return endpoints_; }
  // All endpoints, including those that have left or crashed.
  [[nodiscard]] std::vector<const counting_endpoint*> all_endpoints() const;
  // Removes the endpoint from endpoints(), so that no fault is injected into it any more. It runs
  // until it is closed.
  counting_endpoint& retire(const std::string& id);
  // Simulates a crash of the endpoint: its connections are reset and new ones refused. Its entry in
  // the store remains.
  void crash(const std::string& id);
  // The same, and its entry is removed.
  void remove(const std::string& id);

 private:
  proxied_endpoint& add_endpoint(const std::string& id, const std::string& version);
  void run(gateway_process& d, const daemon_options& options);
  // Adds how the daemon's process ended if the test did not end it.
  static void add_unexpected_end(const gateway_process& d, std::vector<std::string>& to);
  [[nodiscard]] static std::string default_program();
  [[nodiscard]] std::string settings_of(const gateway_process& d,
                                        const daemon_options& options) const;
  gateway_process& add(std::unique_ptr<gateway_process> d, const daemon_options& options);

  boost::asio::io_context& context_;
  std::string folder_;
  std::string proxies_host_;
  std::string program_ = default_program();
  int zones_ = 3;
  fakes::fake_store store_;
  std::map<std::string, std::unique_ptr<gateway_process>> daemons_;
  std::map<std::string, proxied_endpoint> endpoints_;
  std::vector<proxied_endpoint> retired_;
  std::vector<std::string> unexpected_ends_; // of processes that have been replaced
  std::uint64_t version_ = 0;
  int last_daemon_ = 0;
  int last_endpoint_ = 0;
  std::size_t endpoint_slots_ = 64;
  std::string endpoint_service_ = "chat";
  std::vector<std::string> resumable_services_ = {"chat"};
  route_timeouts timeouts_;
};

} // namespace wisteriaflow::gateway_system_tests

#endif // WISTERIAFLOW_TEST_GATEWAY_SYSTEM_GATEWAY_FLEET_H_
