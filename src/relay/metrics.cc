#include "relay/metrics.h"

#include <cmath>

#include <absl/strings/str_cat.h>
#include <boost/histogram/make_histogram.hpp>

namespace wisteriaflow::relay {
namespace {

const std::string prefix = "wisteriaflow_gateway_";

// Upper bounds in seconds: doubled from 5 ms, which is finer than any latency objective needs.
const std::vector<double>& bucket_edges()
{
  static const std::vector<double> edges = {0,    0.005, 0.01, 0.02, 0.04, 0.08, 0.16,
                                            0.32, 0.64,  1.28, 2.56, 5.12, 10.24};
  return edges;
}

std::string render(const metric_labels& labels)
{
  std::string out;
  for (const auto& [name, value] : labels) {
    absl::StrAppend(&out, out.empty() ? "{" : ",", name, "=\"", value, "\"");
  }
  return out.empty() ? out : out + "}";
}

} // namespace

void metrics::count(const std::string& name, const metric_labels& labels, std::uint64_t n)
{
  counters_[name][render(labels)] += n;
}

void metrics::set(const std::string& name, double value)
{
  gauges_[name] = value;
}

void metrics::observe(const std::string& name, std::chrono::nanoseconds sample)
{
  auto it = latencies_.find(name);
  if (it == latencies_.end()) {
    const boost::histogram::axis::variable<double> axis(bucket_edges());
    it = latencies_.emplace(name, latency_series{latency_histogram(axis)}).first;
  }
  const double seconds = std::chrono::duration<double>(sample).count();
  it->second.buckets(seconds);
  it->second.sum += seconds;
}

std::string metrics::exposition() const
{
  std::string out;
  for (const auto& [name, series] : counters_) {
    for (const auto& [labels, n] : series) {
      absl::StrAppend(&out, prefix, name, "_total", labels, " ", n, "\n");
    }
  }
  for (const auto& [name, value] : gauges_) {
    absl::StrAppend(&out, prefix, name, " ", value, "\n");
  }
  for (const auto& [name, series] : latencies_) {
    double below = series.buckets.at(-1); // under the first edge
    const auto& axis = series.buckets.axis();
    for (int i = 0; i < axis.size(); ++i) {
      below += series.buckets.at(i);
      absl::StrAppend(&out, prefix, name, "_seconds_bucket{le=\"", axis.bin(i).upper(), "\"} ",
                      below, "\n");
    }
    const double all = below + series.buckets.at(axis.size());
    absl::StrAppend(&out, prefix, name, "_seconds_bucket{le=\"+Inf\"} ", all, "\n");
    absl::StrAppend(&out, prefix, name, "_seconds_sum ", series.sum, "\n");
    absl::StrAppend(&out, prefix, name, "_seconds_count ", all, "\n");
  }
  return out;
}

} // namespace wisteriaflow::relay
