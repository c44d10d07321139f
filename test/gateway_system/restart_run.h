// Callers of a resumable route hold streams while all daemons of a fleet are killed around a change
// of the service's versions and started again. The callers then resume what was cut, and the run
// judges the streams by the events that they hold.
//
//   restart_run run(context, restart_case("replaced_meanwhile").value());
//   const auto result = run.run();
//   EXPECT_TRUE(result.violations.empty());

#ifndef WISTERIAFLOW_TEST_GATEWAY_SYSTEM_RESTART_RUN_H_
#define WISTERIAFLOW_TEST_GATEWAY_SYSTEM_RESTART_RUN_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "gateway_system/gateway_fleet.h"
#include "gateway_system/held_stream.h"
#include "wisteriaflow/http/client.h"

namespace wisteriaflow::gateway_system_tests {

// What becomes of the endpoints of the first version.
enum class first_version {
  stays,
  leaves_before_kill,      // shortly before the daemons are killed
  is_replaced_meanwhile,   // by endpoints of the second version, while no daemon runs
  is_born_again_meanwhile, // the same, and the new endpoints have the ids of the old ones
};

// What becomes of the route, whose streams the first version serves. The endpoints of the second
// version belong to another service then.
enum class route_change { none, moves_to_other_service, is_split_over_both };

// What is wrong with the store around the kill.
enum class store_fault {
  none,
  slow,
  silent,
  turns_writes_away,
  is_restored_meanwhile,   // while no daemon runs, from a copy without the second version
  is_restored_after_start, // soon after the daemons have started
};

struct restart_options {
  int daemons = 6;
  int zones = 4;
  int endpoints = 3; // of each version
  int callers = 90;
  // From the first endpoint of the second version to the kill; absent: it has none before the kill.
  std::optional<std::chrono::milliseconds> second_version_before_kill;
  first_version first = first_version::stays;
  route_change route = route_change::none;
  // Absent: the route changes while no daemon runs.
  std::optional<std::chrono::milliseconds> route_change_before_kill;
  store_fault store = store_fault::none;
  int killed_share_percent = 100;
  int kills = 1; // the second one soon after the start
  // Whether of the cut streams whose version still serves at least the stated share must go on.
  bool must_go_on = true;
  std::string program;    // of the daemons; empty: the one of this build
  std::string log_folder; // for the daemons' output; empty: it is not kept
  std::uint64_t seed = 1;
};

// The options of a case by its name, and all names.
[[nodiscard]] std::optional<restart_options> restart_case(const std::string& name);
[[nodiscard]] std::vector<std::string> restart_case_names();

struct restart_result {
  static constexpr double min_share_going_on = 0.9;
  static constexpr std::chrono::milliseconds max_refusal_time{300};

  int streams = 0;   // that brought an event
  int cut = 0;       // of these, by a kill
  int resumable = 0; // of these, of a version that serves after the start
  int went_on = 0;   // of these, to their last event
  int joined = 0;    // of all streams, from two versions
  int refused = 0;   // resumed calls
  int late_refusals = 0;
  std::chrono::milliseconds longest_refusal{0};
  int new_streams = 0;             // that callers began after the start
  int new_begun = 0;               // of these, that brought an event
  std::map<std::string, int> ends; // how the cut streams ended
  std::vector<std::string> violations;

  [[nodiscard]] bool enough_went_on() const { return went_on >= min_share_going_on * resumable; }
};

class restart_run {
 public:
  restart_run(boost::asio::io_context& context, restart_options options);

  restart_result run();

 private:
  // One caller's stream over all attempts.
  struct stream {
    explicit stream(std::string first_request) : held(std::move(first_request)) {}
    held_stream held;
    mono_time begun_at;
    bool was_cut_by_kill = false;
    std::string last_answer; // status of the last attempt, or how it ended without one
  };

  struct attempt {
    std::string id;
    bool was_connected = true;
    bool is_complete = false;
    http::response answer{.status = 0};
    mono_time sent_at;
    mono_time ended_at;
  };

  void start_fleet();
  void change_versions_and_kill();
  void add_second_version();
  void kill_daemons();
  void start_killed_daemons();
  void change_endpoints_meanwhile();
  void change_route();
  void begin_store_fault();
  void end_store_fault();
  [[nodiscard]] daemon_options options_of(const gateway_process& d) const;

  boost::asio::awaitable<void> watch_readiness(gateway_process& d);
  boost::asio::awaitable<void> hold_streams();
  boost::asio::awaitable<void> hold_stream();
  boost::asio::awaitable<attempt> send(const gateway_process& to, const stream& s);
  // Takes over what the attempt brought; returns whether the stream has ended.
  bool take(stream& s, const attempt& made);
  // A random daemon that is ready, as the addresses that callers are given; waits for one.
  boost::asio::awaitable<gateway_process*> ready_daemon();
  void record(const stream& s);
  void judge(const stream& s);
  [[nodiscard]] bool serves(const std::string& version);

  void sleep_all(std::chrono::milliseconds time);
  std::chrono::milliseconds drawn(std::chrono::milliseconds from, std::chrono::milliseconds to);

  boost::asio::io_context& context_;
  restart_options options_;
  std::mt19937_64 random_;
  gateway_fleet fleet_;
  http::client client_;
  std::set<std::string> ready_;          // daemons
  std::vector<gateway_process*> killed_; // that have not been started again
  std::vector<std::string> first_;       // endpoints of the first version
  std::vector<stream> streams_;          // that have ended
  std::vector<mono_time> kills_;
  int starts_ = 0;
  std::optional<mono_time> ready_again_at_;
  std::uint64_t last_call_ = 0;
  int active_ = 0;
  bool is_stopped_ = false;
  restart_result result_;
};

} // namespace wisteriaflow::gateway_system_tests

#endif // WISTERIAFLOW_TEST_GATEWAY_SYSTEM_RESTART_RUN_H_
