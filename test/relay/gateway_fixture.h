// Test fixture that runs gateway daemons, each on its own thread, against a fake store and fake
// endpoints. The fakes and the client run on the test's thread.

#ifndef WISTERIAFLOW_TEST_RELAY_GATEWAY_FIXTURE_H_
#define WISTERIAFLOW_TEST_RELAY_GATEWAY_FIXTURE_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <iosfwd>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/json/value.hpp>
#include <gtest/gtest.h>

#include "fakes/fake_endpoint.h"
#include "fakes/fake_store.h"
#include "wisteriaflow/base/time.h"
#include "wisteriaflow/http/client.h"
#include "wisteriaflow/relay/gateway_daemon.h"

namespace wisteriaflow::relay {

using fakes::endpoint_behaviour;
using fakes::fake_endpoint;
using fakes::fake_store;

// A daemon on a thread. It is drained and joined by the destructor.
class running_gateway {
 public:
  explicit running_gateway(const settings& s);
  ~running_gateway();
  running_gateway(const running_gateway&) = delete;
  running_gateway& operator=(const running_gateway&) = delete;

  // The log lines written so far with this message, oldest first.
  std::vector<daemon::log_line> lines_with_message(const std::string& message) const;
  // Those that name the request.
  std::vector<daemon::log_line> lines_for_request(const std::string& request_id) const;
  // Prints the newest log lines, oldest first, each with the time since `origin` in milliseconds.
  void print_lines(std::ostream& out, mono_time origin) const;

  settings options;

 private:
  struct recorded_line {
    mono_time at;
    daemon::log_line line;
  };

  void record_line(daemon::log_line line);

  mutable std::mutex mutex_;
  std::vector<recorded_line> lines_;

 public:
  gateway_daemon daemon; // after `lines_`: it logs as soon as it is constructed

 private:
  std::thread thread_;
};

class gateway_fixture : public testing::Test {
 protected:
  // The host of the routes /safe/, /unsafe/, /stream/ and /resumable/.
  static constexpr const char* host = "shop.example";

  gateway_fixture();

  // Prints the daemons' logs if the test has failed.
  void TearDown() override;

  // Starts a daemon that uses `store`. Its seeds are the daemons that were started before.
  running_gateway& start_gateway(fake_store& store);
  // Changes the settings of the daemons that are started from now on.
  std::function<void(settings&)> customize_settings_ = [](settings&) {};

  // Adds an endpoint of the service "chat" and writes its entry.
  fake_endpoint& add_endpoint(const std::string& id);
  // The same for an endpoint whose events name the version of its software.
  fake_endpoint& add_endpoint_of_version(const std::string& id, const std::string& version);
  // Writes the endpoint's entry to the store. `born` is the start time of its process in Unix
  // milliseconds.
  void write_endpoint(const fake_endpoint& e, const std::string& state, std::uint64_t born = 1'000,
                      const std::string& version = "v1");
  // Writes the configuration with this version, without the route named `without`.
  void write_configuration(std::uint64_t version, const std::string& without = "");

  // Sends a request to the first daemon.
  http::response call(const std::string& method, const std::string& path,
                      const std::string& key = "k1");
  // Sends a request to `to`.
  http::response send(const http::socket_address& to, http::request message);
  // Sends a request without waiting for the answer.
  void start_request(const running_gateway& to, http::request message);
  // Waits for the answers to all started requests. Returns their statuses in the order in which
  // they were started, 0 for an answer that was cut.
  std::vector<int> take_statuses();
  // Runs the fakes until `condition` holds. Fails the test after 60 s, which only a fault can take.
  void wait_until(const std::function<bool()>& condition, const char* description);
  // Waits until the first daemon is ready.
  void wait_until_ready();
  // Starts this many more daemons and waits until all are ready and have exchanged reports.
  void start_fleet(int daemons);
  // Runs the fakes and clients on this thread for the time.
  void run_for(std::chrono::milliseconds time);

  static http::request request_for(const std::string& method, const std::string& path,
                                   const std::string& key = "k1");

  boost::asio::io_context context_;
  http::client client_{context_};
  fake_store store_{context_};
  std::vector<std::unique_ptr<fake_endpoint>> endpoints_;
  std::vector<std::unique_ptr<running_gateway>> gateways_;

 private:
  const mono_time started_at_ = std::chrono::steady_clock::now();
  std::vector<int> statuses_; // of started requests
  std::size_t open_requests_ = 0;
};

} // namespace wisteriaflow::relay

#endif // WISTERIAFLOW_TEST_RELAY_GATEWAY_FIXTURE_H_
