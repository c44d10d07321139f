#include "relay/metrics.h"

#include <utility>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>
#include <boost/histogram/make_histogram.hpp>

namespace wisteriaflow::relay {
namespace {

const std::string prefix = "wisteriaflow_gateway_";

// Bucket bounds in seconds. They double from 5 ms on, which is finer than any latency objective
// needs.
const std::vector<double>& bucket_edges()
{
  static const std::vector<double> edges = {0,    0.005, 0.01, 0.02, 0.04, 0.08, 0.16,
                                            0.32, 0.64,  1.28, 2.56, 5.12, 10.24};
  return edges;
}

// A label's value as the text format wants it.
std::string escaped(std::string_view value)
{
  return absl::StrReplaceAll(absl::string_view(value.data(), value.size()),
                             {{"\\", "\\\\"}, {"\"", "\\\""}, {"\n", "\\n"}});
}

// The labels in text form, without the braces.
std::string join_labels(const metric_labels& labels)
{
  std::string out;
  for (const auto& [name, value] : labels) {
    absl::StrAppend(&out, out.empty() ? "" : ",", name, "=\"", escaped(value), "\"");
  }
  return out;
}

std::string in_braces(const std::string& labels)
{
  return labels.empty() ? labels : "{" + labels + "}";
}

} // namespace

void metrics::count(const std::string& name, const metric_labels& labels, std::uint64_t n)
{
  counters_[name][in_braces(join_labels(labels))] += n;
}

void metrics::set(const std::string& name, double value, const metric_labels& labels)
{
  gauges_[name + in_braces(join_labels(labels))] = value;
}

void metrics::observe(const std::string& name, std::chrono::nanoseconds sample,
                      const metric_labels& labels)
{
  std::pair key(name, join_labels(labels));
  auto it = latencies_.find(key);
  if (it == latencies_.end()) {
    const boost::histogram::axis::variable<double> axis(bucket_edges());
    latency_series made{.labels = key.second, .buckets = latency_histogram(axis)};
    it = latencies_.emplace(std::move(key), std::move(made)).first;
  }
  const double seconds = std::chrono::duration<double>(sample).count();
  it->second.buckets(seconds);
  it->second.sum += seconds;
}

void metrics::append_histogram(const std::string& name, const latency_series& series,
                               std::string& out)
{
  const auto full_name = absl::StrCat(prefix, name, "_seconds");
  const std::string bucket_labels = series.labels.empty() ? "" : series.labels + ",";
  const auto bucket = [&](const auto& upper, double n) {
    absl::StrAppend(&out, full_name, "_bucket{", bucket_labels, "le=\"", upper, "\"} ", n, "\n");
  };
  double below = series.buckets.at(-1); // samples below the first edge
  const auto& axis = series.buckets.axis();
  for (int i = 0; i < axis.size(); ++i) {
    below += series.buckets.at(i);
    bucket(axis.bin(i).upper(), below);
  }
  const double all = below + series.buckets.at(axis.size());
  bucket("+Inf", all);
  absl::StrAppend(&out, full_name, "_sum", in_braces(series.labels), " ", series.sum, "\n");
  absl::StrAppend(&out, full_name, "_count", in_braces(series.labels), " ", all, "\n");
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
  for (const auto& [key, series] : latencies_) {
    append_histogram(key.first, series, out);
  }
  return out;
}

} // namespace wisteriaflow::relay
