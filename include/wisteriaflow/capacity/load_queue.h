// Paces model loads to what the weight store gives, and remembers which endpoint has what.

#ifndef WISTERIAFLOW_CAPACITY_LOAD_QUEUE_H_
#define WISTERIAFLOW_CAPACITY_LOAD_QUEUE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "wisteriaflow/base/ids.h"
#include "wisteriaflow/base/time.h"
#include "wisteriaflow/capacity/inputs.h"

namespace wisteriaflow::capacity {

struct load_queue_options {
  double bytes_per_second = 1e9;                   // that the weight store gives to all together
  std::chrono::milliseconds order_timeout{60'000}; // beyond the time that the bytes take
};

// Loads are begun one after another: the next one when the weight store has given the last one's
// bytes, as far as its rate says. An order that is not answered in time is given again.
class load_queue {
 public:
  explicit load_queue(load_queue_options options) : options_(options) {}

  // Whether `endpoint` has reported everything in `loads` as loaded.
  [[nodiscard]] bool has_all(const instance_id& endpoint,
                             const std::vector<model_load>& loads) const;

  // Whether a load for this endpoint may be ordered now; if so it counts as ordered.
  bool try_start(const instance_id& endpoint, const model_load& load, mono_time now);

  // The endpoint's answer. A failed load may be ordered again.
  void on_answered(const instance_id& endpoint, const model_load& load, bool loaded);

  // Forgets endpoints that are no more.
  void keep_only(const std::set<instance_id>& endpoints);

  // When the weight store is next free.
  [[nodiscard]] mono_time free_at() const { return free_at_; }

 private:
  struct state {
    std::set<model_load> loaded;
    std::map<model_load, mono_time> ordered; // until when the answer is awaited
  };

  load_queue_options options_;
  mono_time free_at_;
  std::map<instance_id, state> states_;
};

} // namespace wisteriaflow::capacity

#endif // WISTERIAFLOW_CAPACITY_LOAD_QUEUE_H_
