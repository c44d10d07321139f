// Counters, gauges and latency histograms of the gateway daemon, rendered in the Prometheus text
// format.
//
//   metrics m;
//   m.count("answers", {{"status", "503"}});
//   m.observe("call_time", 6ms);
//   const std::string page = m.exposition();

#ifndef WISTERIAFLOW_SRC_RELAY_METRICS_H_
#define WISTERIAFLOW_SRC_RELAY_METRICS_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <boost/histogram/axis/variable.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/unlimited_storage.hpp>

namespace wisteriaflow::relay {

// Labels of one series, in the order in which they are printed.
using metric_labels = std::vector<std::pair<std::string, std::string>>;

// Names are without the common prefix and without suffixes such as _total. Not thread-safe.
class metrics {
 public:
  // Adds `n` to a counter.
  void count(const std::string& name, const metric_labels& labels = {}, std::uint64_t n = 1);

  // Sets a gauge.
  void set(const std::string& name, double value, const metric_labels& labels = {});

  // Adds a sample to a latency histogram.
  void observe(const std::string& name, std::chrono::nanoseconds sample,
               const metric_labels& labels = {});

  // All metrics, one sample per line.
  [[nodiscard]] std::string exposition() const;

 private:
  struct latency_series;
  static void append_histogram(const std::string& name, const latency_series& series,
                               std::string& out);

  using latency_histogram =
      boost::histogram::histogram<std::tuple<boost::histogram::axis::variable<double>>>;

  struct latency_series {
    std::string labels; // as rendered, without braces
    latency_histogram buckets;
    double sum = 0; // seconds
  };

  std::map<std::string, std::map<std::string, std::uint64_t>> counters_;    // by name and labels
  std::map<std::string, double> gauges_;                                    // by name with labels
  std::map<std::pair<std::string, std::string>, latency_series> latencies_; // by name and labels
};

} // namespace wisteriaflow::relay

#endif // WISTERIAFLOW_SRC_RELAY_METRICS_H_
