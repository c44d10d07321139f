// A small fleet of real processes on loopback: daemons and the fakes of the systems that they use.
// The kernel chooses the ports. Used by the system tests and by the soak program.
//
//   fleet f;
//   f.start_engine({.id = "e1", .zone = "zone-a"});
//   f.create_declarations();
//   f.start_daemon("d1", "zone-a");
//   f.await_ready(1);

#ifndef WISTERIAFLOW_TEST_SYSTEM_FLEET_H_
#define WISTERIAFLOW_TEST_SYSTEM_FLEET_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/json/value.hpp>

#include "system/caller.h"
#include "system/process.h"

namespace wisteriaflow::system_tests {

// A process of the fleet.
struct node {
  std::string id;
  std::string zone;
  std::string address; // where a daemon listens for callers, or that of a fake
  std::unique_ptr<process> running;
};

struct engine_options {
  std::string id;
  std::string zone;
  int token_interval_ms = 5;
};

// Options of a completion request for the workspace "hotel" and the model "phrasebook".
struct completion_options {
  std::string prompt = "where is the lift";
  int max_tokens = 40;
  bool stream = true;
  bool idempotent = true;
  std::string key; // idempotency key; empty: none
};

[[nodiscard]] http::request completion_request(const completion_options& options);

// Returns a non-idempotent request with the idempotency key `key` to `path` of the plain service.
[[nodiscard]] http::request delivery_request(const std::string& key,
                                             const std::string& path = "/confirm");

// Returns the text that every fake engine generates for `options`.
[[nodiscard]] std::string expected_text(const completion_options& options);

class fleet {
 public:
  // Starts the fakes of the object API and the cloud API. Throws std::runtime_error on failure.

  fleet();
  ~fleet();
  fleet(const fleet&) = delete;
  fleet& operator=(const fleet&) = delete;

  // Starts an endpoint and adds it to the instance list.
  node& start_engine(const engine_options& options);
  node& start_service(const std::string& id, const std::string& zone);

  // Starts a daemon for the first time or again, with the other daemons started so far as its
  // gossip seeds.
  node& start_daemon(const std::string& id, const std::string& zone);

  // Creates the declarations that the requests need: workspace, model version, pool, routing intent
  // and service.
  void create_declarations();

  // Waits until every daemon is ready, reaches `endpoints` endpoints and knows all other daemons.
  // Throws std::runtime_error if one is not within half a minute.
  void await_ready(int endpoints);

  [[nodiscard]] node& at(const std::string& id) { return *nodes_.at(id); }
  [[nodiscard]] const std::string& address_of(const std::string& id) { return at(id).address; }

  // Starts a new process of a daemon while the former one still drains; returns the former one.
  std::unique_ptr<process> replace_daemon(const std::string& id);

  // Saves the run counts of an endpoint that is about to end and stops querying it.
  void retire_endpoint(const std::string& id);

  // Returns the number of runs by idempotency key, over all endpoints, retired ones included.
  [[nodiscard]] std::map<std::string, std::int64_t> runs_by_key();

  // Sends SIGKILL, or signal `number`, to a process.
  void kill(const std::string& id) { at(id).running->kill(); }
  void signal(const std::string& id, int number) { at(id).running->signal(number); }

  // Sets faults of the object API; `json` as in fake_object_api.h.
  void set_object_api_faults(const std::string& json);

  // Announces that an instance, or all instances of an availability zone, will be reclaimed.
  void send_reclaim_notice(const std::string& instance, int reclaim_in_ms);
  void send_zone_reclaim_notice(const std::string& zone, int reclaim_in_ms);
  // Changes settings of the cloud API; `json` as in fake_cloud_api.h.
  void set_cloud_api_settings(const std::string& json);

  // Creates or replaces an object of the object API, by its plural resource name.
  reply create(const std::string& plural, const boost::json::value& object);
  reply replace(const std::string& plural, const std::string& name,
                const boost::json::value& object);
  [[nodiscard]] boost::json::value get_object(const std::string& plural, const std::string& name);

  // Returns how often `key` was run by all endpoints together, without resumed requests.
  [[nodiscard]] std::int64_t runs_of(const std::string& key);

  // Returns the number of requests that an endpoint received at or after `since_ms`, a Unix time in
  // milliseconds.
  [[nodiscard]] std::int64_t received_since(const std::string& id, std::int64_t since_ms);

  // Returns a metric of a daemon by its name with labels; -1 without such a metric.
  [[nodiscard]] double metric(const std::string& id, const std::string& name);

  // Returns the ids of all daemons, in the order of their first start.
  [[nodiscard]] std::vector<std::string> daemons() const;

 private:
  node& start_program(const std::string& id, const std::string& zone,
                      const std::vector<std::string>& arguments);
  void register_instance(const node& n, const std::string& role);
  [[nodiscard]] std::map<std::string, std::int64_t> runs_at_endpoint(const std::string& id);
  boost::json::value stats_of(const std::string& id);
  void post(const std::string& address, const std::string& target, const std::string& body);

  std::string directory_;
  std::map<std::string, std::unique_ptr<node>> nodes_;
  std::vector<std::string> daemons_;
  std::vector<std::string> endpoints_;
  std::map<std::string, std::int64_t> retired_runs_;
  std::map<std::string, std::string> peer_addresses_; // gRPC addresses of daemons, by id
};

[[nodiscard]] std::int64_t unix_ms_now();

} // namespace wisteriaflow::system_tests

#endif // WISTERIAFLOW_TEST_SYSTEM_FLEET_H_
