// A simulated store with one lease object and the daemons that compete for it. The test advances
// time and delivers each event.

#ifndef WISTERIAFLOW_TEST_CAPACITY_LEASE_SIMULATION_H_
#define WISTERIAFLOW_TEST_CAPACITY_LEASE_SIMULATION_H_

#include <deque>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "capacity/fixtures.h"
#include "wisteriaflow/capacity/lease_client.h"

namespace wisteriaflow::capacity {

// What happens to the next call: it is answered, its effect takes place but the answer is lost, or
// the call itself is lost.
enum class store_behaviour { answers, loses_answer, loses_call };

class lease_simulation {
 public:
  lease_options options{.name = "capacity"};

  // `same_seeds`: the daemons draw the same nonces, as if started at the same moment.
  explicit lease_simulation(int daemons, bool same_seeds = false)
  {
    for (int i = 0; i < daemons; ++i) {
      auto o = options;
      o.self = daemon_id("d" + std::to_string(i));
      o.seed = same_seeds ? 1 : static_cast<std::uint64_t>(i) + 1;
      clients_.push_back(std::make_unique<lease_client>(o));
      pending_calls_.emplace_back();
    }
  }

  [[nodiscard]] lease_client& client(int i) { return *clients_.at(static_cast<std::size_t>(i)); }
  [[nodiscard]] mono_time now() const { return start_mono + elapsed_; }
  [[nodiscard]] std::chrono::milliseconds elapsed() const { return elapsed_; }
  [[nodiscard]] const lease_record& stored() const { return record_; }

  void deliver(int i, const lease_event& e)
  {
    for (auto& a : client(i).handle(e, at(elapsed_))) {
      pending_calls_[static_cast<std::size_t>(i)].push_back(std::move(a));
    }
  }

  // Processes the daemon's next call and delivers the answer at once, unless it is lost.
  void answer_next_call(int i, store_behaviour behaviour = store_behaviour::answers)
  {
    auto& calls = pending_calls_[static_cast<std::size_t>(i)];
    if (calls.empty()) {
      return;
    }
    const auto call = std::move(calls.front());
    calls.pop_front();
    const auto number = std::visit([](const auto& c) { return c.call; }, call);
    if (behaviour == store_behaviour::loses_call) {
      deliver(i, lease_call_unanswered{number});
      return;
    }
    const auto answer = std::visit([this](const auto& c) { return perform(c); }, call);
    deliver(i, behaviour == store_behaviour::answers ? answer
                                                     : lease_event(lease_call_unanswered{number}));
  }

  // Answers all calls of daemon `i`, including those that follow from the answers.
  void answer_all_calls(int i)
  {
    while (!pending_calls_[static_cast<std::size_t>(i)].empty()) {
      answer_next_call(i);
    }
  }

  // Advances time in steps of 100 ms. The daemons in `running` get a tick in each step and their
  // calls are answered; the others are paused.
  void advance_time(std::chrono::milliseconds time, const std::vector<int>& running)
  {
    constexpr std::chrono::milliseconds step{100};
    for (const auto end = elapsed_ + time; elapsed_ < end;) {
      elapsed_ += step;
      for (const int i : running) {
        deliver(i, lease_tick{});
        answer_all_calls(i);
      }
    }
  }

 private:
  lease_event perform(const read_lease& c)
  {
    if (version_ == 0) {
      return lease_missing{c.call};
    }
    return lease_found{.call = c.call, .record = record_, .version = version_};
  }
  lease_event perform(const write_lease& c)
  {
    if (c.version != version_) {
      return lease_conflict{c.call};
    }
    record_ = c.record;
    return lease_written{.call = c.call, .version = ++version_};
  }

  std::chrono::milliseconds elapsed_{0};
  std::vector<std::unique_ptr<lease_client>> clients_;
  std::vector<std::deque<lease_action>> pending_calls_;
  lease_record record_;
  std::uint64_t version_ = 0;
};

} // namespace wisteriaflow::capacity

#endif // WISTERIAFLOW_TEST_CAPACITY_LEASE_SIMULATION_H_
