// Counters, gauges and duration histograms of one daemon, rendered in the Prometheus text format.
//
//   metrics m;
//   m.count("requests_total", {{"outcome", "answered"}});
//   m.observe("first_token_seconds", 0.12);
//   m.render();
//
// Rendered names have the prefix `wisteriaflow_`. docs/REFERENCE.md lists them.

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

// All metrics of a daemon. At most `series_limit` series of counters and gauges exist, so that
// label values that callers choose cannot exhaust memory. Updates of further series are dropped and
// counted in `series_dropped_total`.
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

  // Adds a duration in seconds to a histogram whose buckets range from 100 microseconds to 100 s.
  void observe(std::string_view name, double seconds);

  // Returns the value of a counter or gauge, or 0 if the series does not exist.
  [[nodiscard]] double value(std::string_view name, const metric_labels& labels = {}) const;

  // Returns the text exposition format, version 0.0.4, with the series in a stable order.
  [[nodiscard]] std::string render() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

} // namespace wisteriaflow::core

#endif // WISTERIAFLOW_CORE_METRICS_H_
