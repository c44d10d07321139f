// Callers of a fleet under faults, and what their answers and the endpoints' runs must agree on.

#ifndef WISTERIAFLOW_TEST_GATEWAY_SYSTEM_SOAK_CALLS_H_
#define WISTERIAFLOW_TEST_GATEWAY_SYSTEM_SOAK_CALLS_H_

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "gateway_system/gateway_fleet.h"
#include "wisteriaflow/http/client.h"

namespace wisteriaflow::gateway_system_tests {

// How many calls ended how, and every promise that was broken.
struct soak_result {
  std::map<std::string, std::uint64_t> outcomes;
  std::vector<std::string> broken;
};

// What a caller saw of one call.
struct seen_call {
  std::string id;
  std::string route; // safe, unsafe, stream or resumable
  std::string daemon;
  mono_time started_at;
  std::string body = {};              // of the request
  http::response answer{.status = 0}; // 0: no head came
  bool whole = false;                 // the answer ended properly
};

// A call of the request that ends endpoints.
struct deadly_call {
  std::string id;
  mono_time sent_at;
  // Its daemon and the store had been undisturbed for as long as news may take.
  bool by_informed_daemon = false;
};

// Not thread-safe.
class soak_calls {
 public:
  soak_calls(boost::asio::io_context& context, gateway_fleet& fleet, std::uint64_t seed)
      : context_(context), fleet_(fleet), client_(context), random_(seed)
  {
  }

  // One caller that calls, one request after the other, until stop().
  boost::asio::awaitable<void> call_until_stopped();

  // One caller that sends the request that ends endpoints again and again, until stop().
  boost::asio::awaitable<void> call_deadly_until_stopped();

  // Asks daemons for routes of configurations, until stop(): one that served a route knows it ever
  // after.
  boost::asio::awaitable<void> watch_configuration();

  void stop() { stopped_ = true; }
  [[nodiscard]] int active() const { return active_; }

  void note_configuration(std::uint64_t version) { newest_version_ = version; }

  // Adds a broken promise, with the time.
  void fail(const std::string& what);

  // Whether the daemon answers a repeatable call with success. Calls once.
  boost::asio::awaitable<bool> serves(const gateway_process& d);

  // Compares what callers saw with what endpoints ran.
  soak_result conclude();

 private:
  boost::asio::awaitable<void> call_once(const gateway_process& d, seen_call& call,
                                         const std::string& path);
  // One that callers may use; null if there is none.
  const gateway_process* draw_daemon();
  void judge(const seen_call& call);
  void judge_answer(const seen_call& call);
  void judge_missing(const seen_call& call);
  void judge_runs(const seen_call& call);
  // Whether the request that ends endpoints was held, and no other refused for it.
  void judge_holds();
  // Whether daemons kept to what endpoints had said of themselves.
  void judge_all_terms();
  [[nodiscard]] int runs_of(const std::string& id) const;

  boost::asio::io_context& context_;
  gateway_fleet& fleet_;
  http::client client_;
  std::mt19937_64 random_;
  bool stopped_ = false;
  int active_ = 0;
  std::uint64_t last_call_ = 0;
  std::uint64_t newest_version_ = 1;
  std::vector<seen_call> calls_;
  std::vector<deadly_call> deadly_calls_;
  std::size_t refused_for_content_ = 0;                   // calls that end no endpoint
  std::set<std::pair<std::string, std::uint64_t>> known_; // daemon and version
  soak_result result_;
};

} // namespace wisteriaflow::gateway_system_tests

#endif // WISTERIAFLOW_TEST_GATEWAY_SYSTEM_SOAK_CALLS_H_
