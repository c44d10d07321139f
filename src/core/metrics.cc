#include "wisteriaflow/core/metrics.h"

#include <map>
#include <sstream>

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>

namespace wisteriaflow::core {
namespace {

namespace histogram = boost::histogram;

constexpr unsigned buckets = 24; // four per decade
constexpr double min_seconds = 1e-4;
constexpr double max_seconds = 100;
constexpr std::string_view prefix = "wisteriaflow_";

using log_axis = histogram::axis::regular<double, histogram::axis::transform::log>;
using seconds_histogram = decltype(histogram::make_histogram(log_axis()));

struct duration_series {
  seconds_histogram histogram =
      histogram::make_histogram(log_axis(buckets, min_seconds, max_seconds));
  double sum = 0;
};

enum class series_kind { counter, gauge };

struct family {
  series_kind kind = series_kind::counter;
  std::map<std::string, double, std::less<>> series; // by rendered labels
};

std::string escape(const std::string& value)
{
  std::string out;
  for (const char c : value) {
    if (c == '\\' || c == '"') {
      out.push_back('\\');
    }
    if (c == '\n') {
      out += "\\n";
      continue;
    }
    out.push_back(c);
  }
  return out;
}

std::string render_labels(const metric_labels& labels)
{
  if (labels.empty()) {
    return {};
  }
  std::string out = "{";
  for (const auto& [name, value] : labels) {
    if (out.size() > 1) {
      out += ",";
    }
    out += name + "=\"" + escape(value) + "\"";
  }
  return out + "}";
}

void render_durations(std::ostream& out, const std::string& name, const duration_series& s)
{
  const auto full_name = std::string(prefix) + name;
  out << "# TYPE " << full_name << " histogram\n";
  double below = s.histogram.at(-1);
  for (int i = 0; i < static_cast<int>(buckets); ++i) {
    below += s.histogram.at(i);
    const double bound = s.histogram.axis().bin(i).upper();
    out << full_name << "_bucket{le=\"" << bound << "\"} " << below << "\n";
  }
  below += s.histogram.at(static_cast<int>(buckets));
  out << full_name << "_bucket{le=\"+Inf\"} " << below << "\n";
  out << full_name << "_sum " << s.sum << "\n";
  out << full_name << "_count " << below << "\n";
}

} // namespace

struct metrics::state {
  std::map<std::string, family, std::less<>> families;
  std::map<std::string, duration_series, std::less<>> durations;
  std::size_t series_count = 0;
  double dropped = 0;

  // Returns the series for these labels, or null if it is new and the limit is reached.
  double* find_or_make(series_kind kind, std::string_view name, const metric_labels& labels)
  {
    auto& f = families[std::string(name)];
    f.kind = kind;
    auto key = render_labels(labels);
    const auto it = f.series.find(key);
    if (it != f.series.end()) {
      return &it->second;
    }
    if (series_count >= series_limit) {
      ++dropped;
      return nullptr;
    }
    ++series_count;
    return &f.series.emplace(std::move(key), 0).first->second;
  }
};

metrics::metrics() : state_(std::make_unique<state>()) {}
metrics::~metrics() = default;

void metrics::count(std::string_view name, const metric_labels& labels, double n)
{
  if (auto* value = state_->find_or_make(series_kind::counter, name, labels)) {
    *value += n;
  }
}

void metrics::set(std::string_view name, double value, const metric_labels& labels)
{
  if (auto* current = state_->find_or_make(series_kind::gauge, name, labels)) {
    *current = value;
  }
}

void metrics::observe(std::string_view name, double seconds)
{
  auto& s = state_->durations[std::string(name)];
  s.histogram(seconds);
  s.sum += seconds;
}

double metrics::value(std::string_view name, const metric_labels& labels) const
{
  const auto it = state_->families.find(name);
  if (it == state_->families.end()) {
    return 0;
  }
  const auto series = it->second.series.find(render_labels(labels));
  return series == it->second.series.end() ? 0 : series->second;
}

std::string metrics::render() const
{
  std::ostringstream out;
  for (const auto& [name, f] : state_->families) {
    const auto full_name = std::string(prefix) + name;
    out << "# TYPE " << full_name << (f.kind == series_kind::counter ? " counter\n" : " gauge\n");
    for (const auto& [labels, value] : f.series) {
      out << full_name << labels << " " << value << "\n";
    }
  }
  for (const auto& [name, s] : state_->durations) {
    render_durations(out, name, s);
  }
  out << "# TYPE " << prefix << "series_dropped_total counter\n";
  out << prefix << "series_dropped_total " << state_->dropped << "\n";
  return out.str();
}

} // namespace wisteriaflow::core
