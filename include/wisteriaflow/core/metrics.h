// Counters, gauges and latency histograms of one daemon, with their text exposition.
//
//   metrics m;
//   m.count("requests_total", {{"outcome", "answered"}});
//   m.observe("first_token_seconds", 0.12);
//   m.render();  // the Prometheus text format
//
// Names carry the prefix `wisteriaflow_` in the exposition. docs/REFERENCE.md lists them.

#ifndef WISTERIAFLOW_CORE_METRICS_H_
#define WISTERIAFLOW_CORE_METRICS_H_

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace wisteriaflow::core {

// Label names and values of one series.
using metric_labels = std::vector<std::pair<std::string, std::string>>;

// All metrics of a daemon. The number of series is bounded: a series over the bound is counted
// under `series_dropped_total` instead, so that labels from callers cannot fill the memory.
class metrics {
 public:
  static constexpr std::size_t series_limit = 512;

  metrics();
  ~metrics();
  metrics(const metrics&) = delete;
  metrics& operator=(const metrics&) = delete;

  // Adds `n` to a counter.
  void count(std::string_view name, const metric_labels& labels = {}, double n = 1);

  // Sets a gauge.
  void set(std::string_view name, double value, const metric_labels& labels = {});

  // Adds a duration in seconds to a histogram with buckets from 100 microseconds to 100 s.
  void observe(std::string_view name, double seconds);

  // The value of a counter or gauge; 0 if it was never touched.
  [[nodiscard]] double value(std::string_view name, const metric_labels& labels = {}) const;

  // The text exposition format, version 0.0.4, series in a stable order.
  [[nodiscard]] std::string render() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

} // namespace wisteriaflow::core

#endif // WISTERIAFLOW_CORE_METRICS_H_
