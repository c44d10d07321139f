// Simulates a model engine or a plain service: one prefill at a time, decoding that slows down as
// the batch grows, a bounded number of batch places and a prefix cache with LRU eviction.
//
//   event_queue events;
//   engine e(engine_spec{}, events);
//   e.submit({.id = 1, .prompt_tokens = 100, .output_tokens = 20,
//             .on_first_token = [](int cached_tokens) {}, .on_finished = [] {}});
//   events.run_until(mono_time{from_seconds(10)});

#ifndef WISTERIAFLOW_BENCH_POLICY_BENCH_ENGINE_H_
#define WISTERIAFLOW_BENCH_POLICY_BENCH_ENGINE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <queue>
#include <span>
#include <unordered_map>
#include <vector>

#include "wisteriaflow/base/time.h"
#include "wisteriaflow/routing/endpoint_table.h"
#include "wisteriaflow/routing/prefix_cache_index.h"

namespace wisteriaflow::bench {

inline constexpr int block_tokens = 64;

// Convert between seconds and durations of the simulated clock.
mono_time::duration from_seconds(double s);
double to_seconds(mono_time::duration d);

// Pending events of the simulation in order of time. Events at the same time run in the order in
// which they were scheduled. A time in the past counts as now.
class event_queue {
 public:
  void schedule(mono_time when, std::function<void()> run);
  // Runs all events up to and including `end`, and sets the clock to `end`.
  void run_until(mono_time end);
  [[nodiscard]] mono_time now() const { return now_; }

 private:
  struct event {
    mono_time when;
    std::uint64_t sequence = 0;
    std::function<void()> run;
    bool operator<(const event& other) const
    {
      return when != other.when ? when > other.when : sequence > other.sequence;
    }
  };
  std::priority_queue<event> events_;
  std::uint64_t sequence_ = 0;
  mono_time now_;
};

struct engine_spec {
  routing::endpoint_description description;
  double prefill_rate = 8000; // tokens/s while the engine decodes nothing
  double service_seconds = 0; // fixed duration of a call to a plain service
  int max_running = 16;
  double token_seconds = 0.02;  // per token of a response that is decoded alone
  double batch_slowdown = 0.05; // relative slowdown for each further response in the batch
  std::size_t cache_blocks = 1500;
};

// One request submitted to an engine. The callbacks are not called after engine::stop.
struct attempt {
  std::uint64_t id = 0;
  std::vector<std::uint64_t> blocks;
  int prompt_tokens = 0;
  int output_tokens = 0;
  std::function<void(int cached_tokens)> on_first_token;
  std::function<void()> on_finished;
};

class engine {
 public:
  engine(engine_spec spec, event_queue& events) : spec_(std::move(spec)), events_(events) {}

  void submit(attempt work);
  // Removes an attempt that is still queued. A running attempt continues.
  void cancel(std::uint64_t id);
  // Simulates the loss of the instance: drops all work and empties the cache.
  void stop();

  [[nodiscard]] const engine_spec& spec() const { return spec_; }
  [[nodiscard]] routing::load_report report() const;
  // Returns the cache events since the last call.
  std::vector<routing::cache_event> take_events();
  [[nodiscard]] double busy_seconds() const { return busy_seconds_; }
  // Price of the time used so far. A prefill is charged for the whole engine, decoding for its
  // share of the batch places.
  [[nodiscard]] double cost() const { return cost_; }

 private:
  void start_next();
  int cached_blocks(std::span<const std::uint64_t> blocks) const;
  void store(std::span<const std::uint64_t> blocks);
  void begin_decoding(const attempt& work, int cached_tokens);

  engine_spec spec_;
  event_queue& events_;
  std::deque<attempt> waiting_;
  bool prefilling_ = false;
  int decoding_ = 0;
  // Increased by stop(); scheduled events of an earlier one are ignored.
  std::uint64_t incarnation_ = 0;
  std::list<std::uint64_t> lru_blocks_; // most recently used first
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> cache_;
  std::vector<routing::cache_event> cache_events_;
  std::uint64_t next_sequence_ = 1;
  double busy_seconds_ = 0;
  double cost_ = 0;
};

} // namespace wisteriaflow::bench

#endif // WISTERIAFLOW_BENCH_POLICY_BENCH_ENGINE_H_
