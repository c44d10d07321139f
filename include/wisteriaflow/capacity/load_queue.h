// Paces model loads to the bandwidth of the weight store and tracks which endpoint has loaded what.

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
  double bytes_per_second = 1e9;                   // total bandwidth of the weight store
  std::chrono::milliseconds order_timeout{60'000}; // in addition to the transfer time
};

// Starts loads one after another: the next one when the bytes of the last one should have been
// transferred at the configured rate. An order without an answer within its timeout may be
// repeated.
class load_queue {
 public:
  explicit load_queue(load_queue_options options) : options_(options) {}

  // Whether `endpoint` has reported everything in `loads` as loaded.
  [[nodiscard]] bool has_loaded_all(const instance_id& endpoint,
                                    const std::vector<model_load>& loads) const;

  // Returns whether a load for this endpoint may be ordered now, and if so records it as ordered.
  bool try_start(const instance_id& endpoint, const model_load& load, mono_time now);

  // Records the endpoint's answer. A failed load may be ordered again.
  void on_answered(const instance_id& endpoint, const model_load& load, bool loaded);

  // Removes the state of all endpoints that are not in `endpoints`.
  void retain_only(const std::set<instance_id>& endpoints);

  // When the next load may start.
  [[nodiscard]] mono_time free_at() const { return free_at_; }

 private:
  struct state {
    std::set<model_load> loaded;
    std::map<model_load, mono_time> pending; // deadline of the answer
  };

  load_queue_options options_;
  mono_time free_at_;
  std::map<instance_id, state> states_;
};

} // namespace wisteriaflow::capacity

#endif // WISTERIAFLOW_CAPACITY_LOAD_QUEUE_H_
