// Gateway daemons on threads of their own, before fakes of the platform's store and of endpoints.

#ifndef WISTERIAFLOW_TEST_RELAY_GATEWAY_FIXTURE_H_
#define WISTERIAFLOW_TEST_RELAY_GATEWAY_FIXTURE_H_

#include <functional>
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
#include "wisteriaflow/http/client.h"
#include "wisteriaflow/relay/gateway_daemon.h"

namespace wisteriaflow::relay {

using fakes::endpoint_mood;
using fakes::fake_endpoint;
using fakes::fake_store;

// A daemon that runs until it is destroyed.
class running_gateway {
 public:
  explicit running_gateway(const settings& s);
  ~running_gateway();
  running_gateway(const running_gateway&) = delete;
  running_gateway& operator=(const running_gateway&) = delete;

  // The log lines so far that name the request, oldest first.
  std::vector<daemon::log_line> lines_of(const std::string& request_id) const;

  settings options;

 private:
  void keep(daemon::log_line line);

  mutable std::mutex mutex_;
  std::vector<daemon::log_line> lines_;

 public:
  gateway_daemon daemon; // logs as soon as it stands

 private:
  std::thread thread_;
};

class gateway_fixture : public testing::Test {
 protected:
  // The routes of a test are below this host: /safe/, /unsafe/, /stream/ and /resumable/.
  static constexpr const char* host = "shop.example";

  gateway_fixture();

  // Starts a daemon that uses `store`; its seeds are the daemons started before.
  running_gateway& start_gateway(fake_store& store);
  // What the settings of daemons started from now on have besides.
  std::function<void(settings&)> adjust_ = [](settings&) {};

  // Adds an endpoint of the one service.
  fake_endpoint& add_endpoint(const std::string& id);
  // Writes its entry. `born` is when its process started, in Unix milliseconds.
  void write_endpoint(const fake_endpoint& e, const std::string& state, std::uint64_t born = 1'000,
                      const std::string& version = "v1");
  // Writes the configuration; `without` leaves out the route of that name.
  void write_configuration(std::uint64_t version, const std::string& without = "");

  // Sends a request to the first daemon, or to `to`.
  http::response call(const std::string& method, const std::string& path,
                      const std::string& key = "k1");
  http::response send(const http::socket_address& to, http::request message);
  // Repeats `probe` until it holds; fails the test after a time that only a fault reaches.
  void wait_until(const std::function<bool()>& probe, const char* what);
  // Waits until the first daemon serves calls.
  void wait_until_ready();
  // Starts so many daemons more, and waits until they serve calls and have heard each other.
  void start_fleet(int daemons);
  // Lets time pass for what runs on this thread: the store, the endpoints and callers.
  void run_for(std::chrono::milliseconds time);

  static http::request request_for(const std::string& method, const std::string& path,
                                   const std::string& key = "k1");

  boost::asio::io_context context_;
  http::client client_{context_};
  fake_store store_{context_};
  std::vector<std::unique_ptr<fake_endpoint>> endpoints_;
  std::vector<std::unique_ptr<running_gateway>> gateways_;
};

} // namespace wisteriaflow::relay

#endif // WISTERIAFLOW_TEST_RELAY_GATEWAY_FIXTURE_H_
