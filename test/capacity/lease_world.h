// A lease in a store of one object, and daemons that contend for it, driven by hand.

#ifndef WISTERIAFLOW_TEST_CAPACITY_LEASE_WORLD_H_
#define WISTERIAFLOW_TEST_CAPACITY_LEASE_WORLD_H_

#include <deque>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "capacity/fixtures.h"
#include "wisteriaflow/capacity/lease_holder.h"

namespace wisteriaflow::capacity {

// What the store does with the next call.
enum class store_mood { answers, loses_answer, loses_call };

class lease_world {
 public:
  lease_options options{.name = "capacity"};

  // `same_seeds`: the daemons draw the same nonces, as if started at the same moment.
  explicit lease_world(int daemons, bool same_seeds = false)
  {
    for (int i = 0; i < daemons; ++i) {
      auto o = options;
      o.self = daemon_id("d" + std::to_string(i));
      o.seed = same_seeds ? 1 : static_cast<std::uint64_t>(i) + 1;
      holders_.push_back(std::make_unique<lease_holder>(o));
      open_.emplace_back();
    }
  }

  [[nodiscard]] lease_holder& holder(int i) { return *holders_.at(static_cast<std::size_t>(i)); }
  [[nodiscard]] mono_time now() const { return start_mono + elapsed_; }
  [[nodiscard]] std::chrono::milliseconds elapsed() const { return elapsed_; }
  [[nodiscard]] const lease_record& stored() const { return record_; }

  void feed(int i, const lease_event& e)
  {
    for (auto& a : holder(i).handle(e, at(elapsed_))) {
      open_[static_cast<std::size_t>(i)].push_back(std::move(a));
    }
  }

  // The store takes the daemon's next call and answers at once, or not.
  void serve(int i, store_mood mood = store_mood::answers)
  {
    auto& calls = open_[static_cast<std::size_t>(i)];
    if (calls.empty()) {
      return;
    }
    const auto call = std::move(calls.front());
    calls.pop_front();
    const auto number = std::visit([](const auto& c) { return c.call; }, call);
    if (mood == store_mood::loses_call) {
      feed(i, lease_call_lost{number});
      return;
    }
    const auto answer = std::visit([this](const auto& c) { return perform(c); }, call);
    feed(i, mood == store_mood::answers ? answer : lease_event(lease_call_lost{number}));
  }

  // Serves everything that daemon `i` asks at this moment.
  void serve_all(int i)
  {
    while (!open_[static_cast<std::size_t>(i)].empty()) {
      serve(i);
    }
  }

  // Lets time pass in steps; the daemons in `awake` tick and are served.
  void pass(std::chrono::milliseconds time, const std::vector<int>& awake)
  {
    constexpr std::chrono::milliseconds step{100};
    for (const auto end = elapsed_ + time; elapsed_ < end;) {
      elapsed_ += step;
      for (const int i : awake) {
        feed(i, lease_tick{});
        serve_all(i);
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
  std::vector<std::unique_ptr<lease_holder>> holders_;
  std::vector<std::deque<lease_action>> open_;
  lease_record record_;
  std::uint64_t version_ = 0;
};

} // namespace wisteriaflow::capacity

#endif // WISTERIAFLOW_TEST_CAPACITY_LEASE_WORLD_H_
