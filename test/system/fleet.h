// A small fleet of real processes on loopback: the fakes of outside systems and daemons. Ports
// come from the kernel. Used by the system tests and by the soak program.
//
//   fleet f;
//   f.start_engine({.id = "e1", .zone = "zone-a"});
//   f.declare();
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

// A running program of the fleet.
struct node {
  std::string id;
  std::string zone;
  std::string address; // of callers, or of the fake
  std::unique_ptr<process> running;
};

struct engine_options {
  std::string id;
  std::string zone;
  int token_interval_ms = 5;
};

// A completion for the workspace "hotel" and the model "phrasebook".
struct completion_options {
  std::string prompt = "where is the lift";
  int max_tokens = 40;
  bool stream = true;
  bool idempotent = true;
  std::string key; // empty: none
};

[[nodiscard]] http::request completion(const completion_options& options);

// A non-idempotent call to the plain service at `path`.
[[nodiscard]] http::request delivery(const std::string& key, const std::string& path = "/confirm");

// The text that any engine makes for `options`.
[[nodiscard]] std::string expected_text(const completion_options& options);

class fleet {
 public:
  // Starts the object API and the cloud API.
  fleet();
  ~fleet();
  fleet(const fleet&) = delete;
  fleet& operator=(const fleet&) = delete;

  // Starts an endpoint and lists it in the instance list.
  node& start_engine(const engine_options& options);
  node& start_service(const std::string& id, const std::string& zone);

  // Starts a daemon, or starts it again; the running ones are its seeds.
  node& start_daemon(const std::string& id, const std::string& zone);

  // Creates the workspace, pool, model, intent and service that the requests use.
  void declare();

  // Waits until every running daemon is ready and reaches `endpoints` endpoints, and all know each
  // other. Throws std::runtime_error if that does not come.
  void await_ready(int endpoints);

  [[nodiscard]] node& at(const std::string& id) { return *nodes_.at(id); }
  [[nodiscard]] const std::string& address_of(const std::string& id) { return at(id).address; }

  // Starts a daemon again under its id while the former process still drains; returns that one.
  std::unique_ptr<process> replace_daemon(const std::string& id);

  // Adds an endpoint's run counts to those of endpoints that are gone, and asks it no more.
  void keep_runs_of(const std::string& id);

  // Runs by key, of all endpoints that run or were kept.
  [[nodiscard]] std::map<std::string, std::int64_t> all_runs();

  // Kills a program.
  void kill(const std::string& id) { at(id).running->kill(); }
  void signal(const std::string& id, int number) { at(id).running->signal(number); }

  // Switches faults of the object API, as its fake says.
  void object_api_faults(const std::string& json);

  // Tells that an instance, or all of an availability zone, will be reclaimed.
  void notice(const std::string& instance, int reclaim_in_ms);
  void zone_notice(const std::string& zone, int reclaim_in_ms);
  void cloud_settings(const std::string& json);

  // Creates or replaces a declaration. Returns the HTTP reply.
  reply create(const std::string& plural, const boost::json::value& object);
  reply replace(const std::string& plural, const std::string& name,
                const boost::json::value& object);
  [[nodiscard]] boost::json::value get_object(const std::string& plural, const std::string& name);

  // The runs that all fakes together have counted for `key`; resumed ones not counted.
  [[nodiscard]] std::int64_t runs_of(const std::string& key);

  // Requests that an endpoint received at or after `since_ms` (Unix time).
  [[nodiscard]] std::int64_t received_since(const std::string& id, std::int64_t since_ms);

  // A metric of a daemon by its name, with its labels; -1 if there is none.
  [[nodiscard]] double metric(const std::string& id, const std::string& name);

  // The ids of all daemons, in the order of their first start.
  [[nodiscard]] std::vector<std::string> daemons() const;

 private:
  node& start(const std::string& id, const std::string& zone,
              const std::vector<std::string>& arguments);
  void list_instance(const node& n, const std::string& role);
  [[nodiscard]] std::map<std::string, std::int64_t> runs_at(const std::string& id);
  boost::json::value stats_of(const std::string& id);
  void post(const std::string& address, const std::string& target, const std::string& body);

  std::string directory_;
  std::map<std::string, std::unique_ptr<node>> nodes_;
  std::vector<std::string> daemons_;
  std::vector<std::string> endpoints_;
  std::map<std::string, std::int64_t> kept_runs_;
  std::map<std::string, std::string> peers_; // gRPC addresses of daemons, by id
};

[[nodiscard]] std::int64_t unix_ms_now();

} // namespace wisteriaflow::system_tests

#endif // WISTERIAFLOW_TEST_SYSTEM_FLEET_H_
