// A soak test: runs a small fleet under random faults and counts the outcomes of its callers'
// requests.
//
//   soak --minutes=2 --seed=7
//
// Exits with status 1 if a count that must be 0 is not. The run counts of an engine that is killed
// without a notice are read just before: runs that it starts after the reading are not counted.

#include <csignal>
#include <functional>
#include <iostream>
#include <mutex>
#include <random>
#include <set>
#include <thread>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <boost/json.hpp>

#include "system/eventually.h"
#include "system/fleet.h"

ABSL_FLAG(double, minutes, 1.0, "how long faults are made");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of the faults and of the callers");

namespace wisteriaflow::system_tests {
namespace {

using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr int notice_ms = 4'000;
constexpr std::int64_t new_work_grace_ms = 2'000;
constexpr milliseconds pause_duration{3'500}; // longer than a silent daemon remains a member
constexpr milliseconds outage_duration{2'000};
constexpr int stream_callers = 3;
constexpr int delivery_callers = 3;

struct counts {
  std::int64_t accepted = 0;
  std::int64_t answered = 0;
  std::int64_t refused = 0;
  std::int64_t unknown = 0;
  std::int64_t lost_to_killed_daemons = 0;
  std::int64_t duplicate_runs = 0;
  std::int64_t truncated_streams = 0;
  std::int64_t work_after_notice = 0;
  std::int64_t reverts = 0;
  std::int64_t refused_but_ran = 0;
};

struct delivered_key {
  std::string last_outcome;
  std::string history; // each reply, with its time, daemon and message
};

class soak {
 public:
  explicit soak(std::uint64_t seed) : random_(seed)
  {
    for (const auto* zone : {"zone-a", "zone-a", "zone-b", "zone-b"}) {
      start_engine(zone);
    }
    fleet_.start_service("desk-1", "zone-a");
    fleet_.start_service("desk-2", "zone-b");
    fleet_.create_declarations();
    fleet_.start_daemon("d1", "zone-a");
    fleet_.start_daemon("d2", "zone-a");
    fleet_.start_daemon("d3", "zone-b");
    fleet_.await_ready(static_cast<int>(engines_.size()) + 2);
  }

  counts run(clock::time_point end)
  {
    std::vector<std::thread> callers;
    callers.reserve(stream_callers + delivery_callers);
    for (int i = 0; i < stream_callers; ++i) {
      callers.emplace_back([this, end, seed = random_()] { call_streams(end, seed); });
    }
    for (int i = 0; i < delivery_callers; ++i) {
      callers.emplace_back([this, end, seed = random_()] { call_deliveries(end, seed); });
    }
    callers.emplace_back([this, end, seed = random_()] { watch_configuration(end, seed); });
    while (clock::now() < end) {
      run_scheduled_until(clock::now());
      inject_random_fault();
      std::this_thread::sleep_for(milliseconds(300 + random_() % 1'200));
    }
    run_scheduled_until(clock::time_point::max());
    for (auto& each : callers) {
      each.join();
    }
    count_runs();
    return counts_;
  }

 private:
  using mutex_guard = std::scoped_lock<std::mutex>;

  void start_engine(const std::string& zone)
  {
    const auto id = "engine-" + std::to_string(++last_engine_);
    fleet_.start_engine({.id = id, .zone = zone, .token_interval_ms = 10});
    engines_.push_back(id);
  }

  std::string pick(const std::vector<std::string>& from)
  {
    return from.at(random_() % from.size());
  }

  // Schedules a later step of a fault, such as its end, to run after `time`.
  void schedule(milliseconds time, std::function<void()> step)
  {
    scheduled_.emplace(clock::now() + time, std::move(step));
  }

  void run_scheduled_until(clock::time_point until)
  {
    while (!scheduled_.empty() && scheduled_.begin()->first <= until) {
      const auto step = std::move(scheduled_.begin()->second);
      std::this_thread::sleep_until(scheduled_.begin()->first);
      scheduled_.erase(scheduled_.begin());
      step();
    }
  }

  void inject_random_fault()
  {
    const std::vector<std::pair<const char*, std::function<void()>>> kinds = {
        {"reclaim an engine", [this] { reclaim_engine(); }},
        {"reclaim an engine", [this] { reclaim_engine(); }},
        {"kill an engine", [this] { kill_engine(); }},
        {"terminate a daemon", [this] { replace_daemon(true); }},
        {"kill a daemon", [this] { replace_daemon(false); }},
        {"pause a daemon", [this] { pause_daemon(); }},
        {"store refuses", [this] { inject_store_fault(R"({"outage":"refuse"})"); }},
        {"store hangs", [this] { inject_store_fault(R"({"outage":"hang"})"); }},
        {"store loses answers",
         [this] { inject_store_fault(R"({"lose_answer_probability":0.4})"); }},
        {"store is slow", [this] { inject_store_fault(R"({"delay_ms":200})"); }},
        {"reads are stale", [this] { set_store_faults(R"({"stale_for_ms":2000})"); }},
        {"watches lose a change", [this] { set_store_faults(R"({"drop_events":1})"); }},
        {"declare a workspace", [this] { declare_workspace(); }},
        {"declare a workspace", [this] { declare_workspace(); }}};
    const auto& [name, make] = kinds.at(random_() % kinds.size());
    std::cout << unix_ms_now() << " " << name << std::endl;
    make();
  }

  void reclaim_engine()
  {
    const auto id = pick(engines_);
    std::erase(engines_, id);
    const mutex_guard guard(mutex_);
    const auto noticed = unix_ms_now();
    fleet_.send_reclaim_notice(id, notice_ms);
    start_engine(fleet_.at(id).zone);
    schedule(milliseconds(notice_ms), [this, id, noticed] {
      const mutex_guard guard(mutex_);
      const auto late = fleet_.received_since(id, noticed + new_work_grace_ms);
      if (late > 0) {
        std::cout << unix_ms_now() << " late work at " << id << ": " << late << std::endl;
      }
      counts_.work_after_notice += late;
      end_engine(id);
    });
  }

  void kill_engine()
  {
    const auto id = pick(engines_);
    std::erase(engines_, id);
    const mutex_guard guard(mutex_);
    const auto zone = fleet_.at(id).zone;
    end_engine(id);
    start_engine(zone);
  }

  void end_engine(const std::string& id)
  {
    fleet_.retire_endpoint(id);
    fleet_.kill(id);
  }

  void replace_daemon(bool announced)
  {
    const auto id = pick(fleet_.daemons());
    if (paused_.contains(id)) {
      return;
    }
    const mutex_guard guard(mutex_);
    if (announced) {
      fleet_.signal(id, SIGTERM);
      draining_.push_back(fleet_.replace_daemon(id));
    } else {
      daemon_kills_.push_back(clock::now());
      fleet_.kill(id);
      fleet_.start_daemon(id, fleet_.at(id).zone);
    }
  }

  void pause_daemon()
  {
    const auto id = pick(fleet_.daemons());
    if (!paused_.insert(id).second) {
      return;
    }
    fleet_.signal(id, SIGSTOP);
    schedule(pause_duration, [this, id] {
      fleet_.signal(id, SIGCONT);
      paused_.erase(id);
    });
  }

  void set_store_faults(const std::string& faults)
  {
    const mutex_guard guard(mutex_);
    fleet_.set_object_api_faults(faults);
  }

  void inject_store_fault(const std::string& faults)
  {
    set_store_faults(faults);
    schedule(outage_duration, [this] {
      set_store_faults(R"({"outage":"none","lose_answer_probability":0.0,"delay_ms":0})");
    });
  }

  // Skipped while active_store_faults_ is positive: while the store hangs, the blocked call would
  // delay the scheduled steps of the faults.
  void declare_workspace()
  {
    if (active_store_faults_ > 0) {
      return;
    }
    const auto name = "hotel-" + std::to_string(++last_workspace_);
    const mutex_guard guard(mutex_);
    const auto made = fleet_.create(
        "declarations", {{"kind", "Workspace"},
                         {"metadata", {{"name", name}, {"labels", {{"tier", "guest"}}}}},
                         {"spec", boost::json::object()}});
    if (made.status == 201) {
      workspaces_.push_back(name);
    }
  }

  // Returns the id and the address of a random daemon.
  std::pair<std::string, std::string> pick_daemon(std::mt19937_64& random)
  {
    const mutex_guard guard(mutex_);
    const auto ids = fleet_.daemons();
    const auto& id = ids.at(random() % ids.size());
    return {id, fleet_.address_of(id)};
  }

  bool killed_since(clock::time_point start)
  {
    return std::any_of(daemon_kills_.begin(), daemon_kills_.end(),
                       [&](auto t) { return t >= start; });
  }

  void call_streams(clock::time_point end, std::uint64_t seed)
  {
    std::mt19937_64 random(seed);
    while (clock::now() < end) {
      const completion_options options{.prompt = "p" + std::to_string(random() % 100'000),
                                       .max_tokens = 20 + static_cast<int>(random() % 300)};
      const auto [id, address] = pick_daemon(random);
      const auto start = clock::now();
      const auto got = follow_stream(address, completion_request(options));
      record_stream(got, options, start);
    }
  }

  void record_stream(const streamed_answer& got, const completion_options& options,
                     clock::time_point start)
  {
    const mutex_guard guard(mutex_);
    const bool complete = got.done && got.in_order && got.text == expected_text(options);
    counts_.refused += got.outcome == "refused-not-run" ? 1 : 0;
    if (got.outcome == "refused-not-run" || (got.tokens == 0 && got.outcome == "none")) {
      return; // not accepted: refused, or nothing listened on the daemon's port
    }
    ++counts_.accepted;
    if (complete) {
      ++counts_.answered;
    } else if (killed_since(start)) {
      ++counts_.lost_to_killed_daemons;
    } else {
      ++counts_.truncated_streams;
      std::cout << unix_ms_now() << " cut stream: tokens " << got.tokens << " of "
                << options.max_tokens << ", moves " << got.redirects << ", done " << got.done
                << ", in order " << got.in_order << ", cut " << got.truncated << ", outcome "
                << got.outcome << ", error " << got.error << std::endl;
    }
  }

  void call_deliveries(clock::time_point end, std::uint64_t seed)
  {
    std::mt19937_64 random(seed);
    while (clock::now() < end) {
      const auto key = make_key();
      const auto path = random() % 4 == 0 ? "/slow" : "/confirm";
      const auto attempts = 1 + random() % 3;
      for (std::uint64_t i = 0; i < attempts; ++i) {
        const auto [id, address] = pick_daemon(random);
        record_delivery(key, id, call_following_redirects(address, delivery_request(key, path)));
      }
    }
  }

  void record_delivery(const std::string& key, const std::string& daemon, const reply& got)
  {
    const mutex_guard guard(mutex_);
    const auto outcome = got.outcome();
    auto& noted = keys_[key];
    noted.last_outcome = outcome;
    noted.history += "\n  " + std::to_string(unix_ms_now()) + " " + daemon + " " +
                     std::to_string(got.status) + " " + outcome + " " + got.body;
    counts_.refused += outcome == "refused-not-run" ? 1 : 0;
    counts_.answered += outcome == "answered" ? 1 : 0;
    counts_.unknown += outcome == "outcome-unknown" ? 1 : 0;
    counts_.accepted += outcome == "answered" || outcome == "outcome-unknown" ? 1 : 0;
    counts_.lost_to_killed_daemons += got.connected && !got.is_complete ? 1 : 0;
  }

  // Sends requests of workspaces that the operator has created, and counts a revert if a daemon
  // that has served a workspace answers 404 for it.
  void watch_configuration(clock::time_point end, std::uint64_t seed)
  {
    std::mt19937_64 random(seed);
    std::set<std::pair<std::string, std::string>> served;
    while (clock::now() < end) {
      std::this_thread::sleep_for(milliseconds(20));
      const auto [id, address] = pick_daemon(random);
      std::string name;
      {
        const mutex_guard guard(mutex_);
        if (workspaces_.empty()) {
          continue;
        }
        name = workspaces_.at(random() % workspaces_.size());
      }
      auto message = completion_request({.max_tokens = 1});
      message.fields.push_back({.name = "Wisteriaflow-Timeout-Ms", .value = "2000"});
      for (auto& field : message.fields) {
        field.value = field.name == "Wisteriaflow-Workspace" ? name : field.value;
      }
      const auto got = call(address, message);
      if (got.status == 200) {
        served.emplace(id, name);
      } else if (got.status == 404 && served.contains({id, name})) {
        const mutex_guard guard(mutex_);
        ++counts_.reverts;
        std::cout << unix_ms_now() << " " << id << " does not know " << name << " any more"
                  << std::endl;
      }
    }
  }

  void count_runs()
  {
    for (const auto& [key, n] : fleet_.runs_by_key()) {
      counts_.duplicate_runs += n > 1 ? 1 : 0;
      const auto it = keys_.find(key);
      if (it != keys_.end() && it->second.last_outcome == "refused-not-run") {
        ++counts_.refused_but_ran;
        std::cout << "refused as not run, but ran: " << key << it->second.history << std::endl;
      }
    }
  }

  std::mutex mutex_; // guards the members below that the callers' threads use too
  fleet fleet_;
  std::mt19937_64 random_;
  std::vector<std::string> engines_; // without a reclaim notice
  std::vector<std::string> workspaces_;
  std::set<std::string> paused_;
  std::vector<std::unique_ptr<process>> draining_;
  std::vector<clock::time_point> daemon_kills_;
  std::multimap<clock::time_point, std::function<void()>> scheduled_;
  std::map<std::string, delivered_key> keys_;
  counts counts_;
  int active_store_faults_ = 0;
  int last_engine_ = 0;
  int last_workspace_ = 1;
};

bool print(const counts& c)
{
  std::cout << "accepted " << c.accepted << "\nanswered whole " << c.answered << "\nrefused "
            << c.refused << "\nunknown " << c.unknown << "\nlost to killed daemons "
            << c.lost_to_killed_daemons << "\nruns over one for a key (must be 0) "
            << c.duplicate_runs << "\ncut streams after an announced reclaim (must be 0) "
            << c.truncated_streams
            << "\nnew work to a leaving endpoint after two seconds (must be 0) "
            << c.work_after_notice << "\nconfiguration reverts (must be 0) " << c.reverts
            << "\nrefused as not run, but ran (must be 0) " << c.refused_but_ran << std::endl;
  return c.duplicate_runs + c.truncated_streams + c.work_after_notice + c.reverts +
             c.refused_but_ran ==
         0;
}

} // namespace
} // namespace wisteriaflow::system_tests

int main(int argc, char** argv)
{
  using namespace wisteriaflow::system_tests;
  absl::ParseCommandLine(argc, argv);
  const std::chrono::duration<double, std::ratio<60>> time(absl::GetFlag(FLAGS_minutes));
  try {
    soak running(absl::GetFlag(FLAGS_seed));
    const auto end = clock::now() + std::chrono::duration_cast<clock::duration>(time);
    return print(running.run(end)) ? EXIT_SUCCESS : EXIT_FAILURE;
  } catch (const std::exception& e) {
    std::cerr << "soak: " << e.what() << "\n";
    return EXIT_FAILURE;
  }
}
