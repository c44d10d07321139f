// Runs a small fleet under random faults and counts what callers got.
//
//   soak --minutes=2 --seed=7
//
// Ends with 1 if a count that must be 0 is not. Runs of an engine that dies unannounced are read
// just before: what it starts between the reading and its death is not counted.

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
constexpr std::int64_t new_work_allowed_ms = 2'000;
constexpr milliseconds pause_time{3'500}; // longer than a silent daemon stays a member
constexpr milliseconds outage_time{2'000};
constexpr int stream_callers = 3;
constexpr int delivery_callers = 3;

struct counts {
  std::int64_t accepted = 0;
  std::int64_t answered = 0;
  std::int64_t refused = 0;
  std::int64_t unknown = 0;
  std::int64_t lost_to_killed_daemons = 0;
  std::int64_t doubled_runs = 0;
  std::int64_t cut_streams = 0;
  std::int64_t late_work = 0;
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
    fleet_.declare();
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
      run_due(clock::now());
      make_fault();
      std::this_thread::sleep_for(milliseconds(300 + random_() % 1'200));
    }
    run_due(clock::time_point::max());
    for (auto& each : callers) {
      each.join();
    }
    count_runs();
    return counts_;
  }

 private:
  using lock = std::scoped_lock<std::mutex>;

  void start_engine(const std::string& zone)
  {
    const auto id = "engine-" + std::to_string(++last_engine_);
    fleet_.start_engine({.id = id, .zone = zone, .token_interval_ms = 10});
    engines_.push_back(id);
  }

  std::string draw(const std::vector<std::string>& from)
  {
    return from.at(random_() % from.size());
  }

  // Later steps of faults, by when they are due.
  void later(milliseconds time, std::function<void()> step)
  {
    due_.emplace(clock::now() + time, std::move(step));
  }

  void run_due(clock::time_point until)
  {
    while (!due_.empty() && due_.begin()->first <= until) {
      const auto step = std::move(due_.begin()->second);
      std::this_thread::sleep_until(due_.begin()->first);
      due_.erase(due_.begin());
      step();
    }
  }

  void make_fault()
  {
    const std::vector<std::pair<const char*, std::function<void()>>> kinds = {
        {"reclaim an engine", [this] { reclaim_engine(); }},
        {"reclaim an engine", [this] { reclaim_engine(); }},
        {"kill an engine", [this] { kill_engine(); }},
        {"terminate a daemon", [this] { replace_daemon(true); }},
        {"kill a daemon", [this] { replace_daemon(false); }},
        {"pause a daemon", [this] { pause_daemon(); }},
        {"store refuses", [this] { store_fault(R"({"outage":"refuse"})"); }},
        {"store hangs", [this] { store_fault(R"({"outage":"hang"})"); }},
        {"store loses answers", [this] { store_fault(R"({"lose_answer_probability":0.4})"); }},
        {"store is slow", [this] { store_fault(R"({"delay_ms":200})"); }},
        {"reads are stale", [this] { set_store(R"({"stale_for_ms":2000})"); }},
        {"watches lose a change", [this] { set_store(R"({"drop_events":1})"); }},
        {"declare a workspace", [this] { declare_workspace(); }},
        {"declare a workspace", [this] { declare_workspace(); }}};
    const auto& [name, make] = kinds.at(random_() % kinds.size());
    std::cout << unix_ms_now() << " " << name << std::endl;
    make();
  }

  void reclaim_engine()
  {
    const auto id = draw(engines_);
    std::erase(engines_, id);
    const lock held(mutex_);
    const auto noticed = unix_ms_now();
    fleet_.notice(id, notice_ms);
    start_engine(fleet_.at(id).zone);
    later(milliseconds(notice_ms), [this, id, noticed] {
      const lock held_later(mutex_);
      const auto late = fleet_.received_since(id, noticed + new_work_allowed_ms);
      if (late > 0) {
        std::cout << unix_ms_now() << " late work at " << id << ": " << late << std::endl;
      }
      counts_.late_work += late;
      end_engine(id);
    });
  }

  void kill_engine()
  {
    const auto id = draw(engines_);
    std::erase(engines_, id);
    const lock held(mutex_);
    const auto zone = fleet_.at(id).zone;
    end_engine(id);
    start_engine(zone);
  }

  void end_engine(const std::string& id)
  {
    fleet_.keep_runs_of(id);
    fleet_.kill(id);
  }

  void replace_daemon(bool announced)
  {
    const auto id = draw(fleet_.daemons());
    if (paused_.contains(id)) {
      return;
    }
    const lock held(mutex_);
    if (announced) {
      fleet_.signal(id, SIGTERM);
      leaving_.push_back(fleet_.replace_daemon(id));
    } else {
      kills_.push_back(clock::now());
      fleet_.kill(id);
      fleet_.start_daemon(id, fleet_.at(id).zone);
    }
  }

  void pause_daemon()
  {
    const auto id = draw(fleet_.daemons());
    if (!paused_.insert(id).second) {
      return;
    }
    fleet_.signal(id, SIGSTOP);
    later(pause_time, [this, id] {
      fleet_.signal(id, SIGCONT);
      paused_.erase(id);
    });
  }

  void set_store(const std::string& faults)
  {
    const lock held(mutex_);
    fleet_.object_api_faults(faults);
  }

  void store_fault(const std::string& faults)
  {
    set_store(faults);
    later(outage_time,
          [this] { set_store(R"({"outage":"none","lose_answer_probability":0.0,"delay_ms":0})"); });
  }

  // Not while the store may hang: the operator's call would hold up the faults' later steps.
  void declare_workspace()
  {
    if (store_faults_ > 0) {
      return;
    }
    const auto name = "hotel-" + std::to_string(++last_workspace_);
    const lock held(mutex_);
    const auto made = fleet_.create(
        "declarations", {{"kind", "Workspace"},
                         {"metadata", {{"name", name}, {"labels", {{"tier", "guest"}}}}},
                         {"spec", boost::json::object()}});
    if (made.status == 201) {
      workspaces_.push_back(name);
    }
  }

  // The address of a daemon, with its id.
  std::pair<std::string, std::string> draw_daemon(std::mt19937_64& random)
  {
    const lock held(mutex_);
    const auto ids = fleet_.daemons();
    const auto& id = ids.at(random() % ids.size());
    return {id, fleet_.address_of(id)};
  }

  bool killed_since(clock::time_point start)
  {
    return std::any_of(kills_.begin(), kills_.end(), [&](auto t) { return t >= start; });
  }

  void call_streams(clock::time_point end, std::uint64_t seed)
  {
    std::mt19937_64 random(seed);
    while (clock::now() < end) {
      const completion_options options{.prompt = "p" + std::to_string(random() % 100'000),
                                       .max_tokens = 20 + static_cast<int>(random() % 300)};
      const auto [id, address] = draw_daemon(random);
      const auto start = clock::now();
      const auto got = follow_stream(address, completion(options));
      note_stream(got, options, start);
    }
  }

  void note_stream(const streamed_answer& got, const completion_options& options,
                   clock::time_point start)
  {
    const lock held(mutex_);
    const bool whole = got.done && got.in_order && got.text == expected_text(options);
    counts_.refused += got.outcome == "refused-not-run" ? 1 : 0;
    if (got.outcome == "refused-not-run" || (got.tokens == 0 && got.outcome == "none")) {
      return; // never accepted: refused, or the daemon's port was closed
    }
    ++counts_.accepted;
    if (whole) {
      ++counts_.answered;
    } else if (killed_since(start)) {
      ++counts_.lost_to_killed_daemons;
    } else {
      ++counts_.cut_streams;
      std::cout << unix_ms_now() << " cut stream: tokens " << got.tokens << " of "
                << options.max_tokens << ", moves " << got.moves << ", done " << got.done
                << ", in order " << got.in_order << ", cut " << got.cut << ", outcome "
                << got.outcome << ", error " << got.error << std::endl;
    }
  }

  void call_deliveries(clock::time_point end, std::uint64_t seed)
  {
    std::mt19937_64 random(seed);
    while (clock::now() < end) {
      const auto key = make_key();
      const auto path = random() % 4 == 0 ? "/slow" : "/confirm";
      const auto tries = 1 + random() % 3;
      for (std::uint64_t i = 0; i < tries; ++i) {
        const auto [id, address] = draw_daemon(random);
        note_delivery(key, id, call_following(address, delivery(key, path)));
      }
    }
  }

  void note_delivery(const std::string& key, const std::string& daemon, const reply& got)
  {
    const lock held(mutex_);
    const auto outcome = got.outcome();
    auto& noted = keys_[key];
    noted.last_outcome = outcome;
    noted.history += "\n  " + std::to_string(unix_ms_now()) + " " + daemon + " " +
                     std::to_string(got.status) + " " + outcome + " " + got.body;
    counts_.refused += outcome == "refused-not-run" ? 1 : 0;
    counts_.answered += outcome == "answered" ? 1 : 0;
    counts_.unknown += outcome == "outcome-unknown" ? 1 : 0;
    counts_.accepted += outcome == "answered" || outcome == "outcome-unknown" ? 1 : 0;
    counts_.lost_to_killed_daemons += got.sent && !got.whole ? 1 : 0;
  }

  // Asks daemons for workspaces that they have served before.
  void watch_configuration(clock::time_point end, std::uint64_t seed)
  {
    std::mt19937_64 random(seed);
    std::set<std::pair<std::string, std::string>> served;
    while (clock::now() < end) {
      std::this_thread::sleep_for(milliseconds(20));
      const auto [id, address] = draw_daemon(random);
      std::string name;
      {
        const lock held(mutex_);
        if (workspaces_.empty()) {
          continue;
        }
        name = workspaces_.at(random() % workspaces_.size());
      }
      auto message = completion({.max_tokens = 1});
      message.fields.push_back({.name = "Wisteriaflow-Timeout-Ms", .value = "2000"});
      for (auto& field : message.fields) {
        field.value = field.name == "Wisteriaflow-Workspace" ? name : field.value;
      }
      const auto got = call(address, message);
      if (got.status == 200) {
        served.emplace(id, name);
      } else if (got.status == 404 && served.contains({id, name})) {
        const lock held(mutex_);
        ++counts_.reverts;
        std::cout << unix_ms_now() << " " << id << " does not know " << name << " any more"
                  << std::endl;
      }
    }
  }

  void count_runs()
  {
    for (const auto& [key, n] : fleet_.all_runs()) {
      counts_.doubled_runs += n > 1 ? 1 : 0;
      const auto it = keys_.find(key);
      if (it != keys_.end() && it->second.last_outcome == "refused-not-run") {
        ++counts_.refused_but_ran;
        std::cout << "refused as not run, but ran: " << key << it->second.history << std::endl;
      }
    }
  }

  std::mutex mutex_; // of all below that callers use too
  fleet fleet_;
  std::mt19937_64 random_;
  std::vector<std::string> engines_; // not told to leave
  std::vector<std::string> workspaces_;
  std::set<std::string> paused_;
  std::vector<std::unique_ptr<process>> leaving_;
  std::vector<clock::time_point> kills_; // of daemons
  std::multimap<clock::time_point, std::function<void()>> due_;
  std::map<std::string, delivered_key> keys_;
  counts counts_;
  int store_faults_ = 0; // under way
  int last_engine_ = 0;
  int last_workspace_ = 1;
};

bool print(const counts& c)
{
  std::cout << "accepted " << c.accepted << "\nanswered whole " << c.answered << "\nrefused "
            << c.refused << "\nunknown " << c.unknown << "\nlost to killed daemons "
            << c.lost_to_killed_daemons << "\nruns over one for a key (must be 0) "
            << c.doubled_runs << "\ncut streams after an announced reclaim (must be 0) "
            << c.cut_streams << "\nnew work to a leaving endpoint after two seconds (must be 0) "
            << c.late_work << "\nconfiguration reverts (must be 0) " << c.reverts
            << "\nrefused as not run, but ran (must be 0) " << c.refused_but_ran << std::endl;
  return c.doubled_runs + c.cut_streams + c.late_work + c.reverts + c.refused_but_ran == 0;
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
