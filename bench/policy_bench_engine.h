// A stand-in for a model engine or a plain service runner: one prefill at a time, decoding that
// slows as the batch grows, a bounded number of batch places and a prefix cache with LRU eviction.

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
#include "wisteriaflow/routing/prefix_belief.h"

namespace wisteriaflow::bench {

inline constexpr int block_tokens = 64;

// Seconds as a duration of the simulated clock.
mono_time::duration from_seconds(double s);
double to_seconds(mono_time::duration d);

// The list of events to come, in order of time.
class event_list {
 public:
  void at(mono_time when, std::function<void()> run);
  // Runs all events up to `end`.
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
  double prefill_rate = 8000; // tokens/s when it decodes nothing
  double service_seconds = 0; // fixed time of a call to a plain service
  int max_running = 16;
  double token_seconds = 0.02;  // of one answer decoded alone
  double batch_slowdown = 0.05; // added for each further answer in the batch
  std::size_t cache_blocks = 1500;
};

// One attempt in an engine. The callbacks are not called after the engine has gone.
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
  engine(engine_spec spec, event_list& events) : spec_(std::move(spec)), events_(events) {}

  void submit(attempt work);
  // Drops an attempt that still waits; a running one goes on.
  void cancel(std::uint64_t id);
  // The instance is gone: all work is lost and the cache is empty.
  void stop();

  [[nodiscard]] const engine_spec& spec() const { return spec_; }
  [[nodiscard]] routing::load_report report() const;
  // Cache events since the last call.
  std::vector<routing::cache_event> take_events();
  [[nodiscard]] double busy_seconds() const { return busy_seconds_; }
  // Price of the time used: prefill alone on the engine, decoding by its part of the batch.
  [[nodiscard]] double cost() const { return cost_; }

 private:
  void start_next();
  int cached_blocks(std::span<const std::uint64_t> blocks) const;
  void store(std::span<const std::uint64_t> blocks);
  void begin_decoding(const attempt& work, int cached_tokens);

  engine_spec spec_;
  event_list& events_;
  std::deque<attempt> waiting_;
  bool prefilling_ = false;
  int decoding_ = 0;
  std::uint64_t life_ = 0; // events of an earlier life are dropped
  std::list<std::uint64_t> recent_;
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> cache_;
  std::vector<routing::cache_event> cache_events_;
  std::uint64_t next_sequence_ = 1;
  double busy_seconds_ = 0;
  double cost_ = 0;
};

} // namespace wisteriaflow::bench

#endif // WISTERIAFLOW_BENCH_POLICY_BENCH_ENGINE_H_
