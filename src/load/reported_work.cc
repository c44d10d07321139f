#include "wisteriaflow/load/reported_work.h"

#include <algorithm>
#include <cmath>

namespace wisteriaflow::load {
namespace {

// Weight of a report against the mean of the service. Reports are 0.4 to 1.2 s old, and most of the
// prompts that they count have been prefilled by then.
constexpr double report_weight = 0.3;

template <typename number> number toward_mean(number reported, number sum, std::size_t engines)
{
  const double mean =
      static_cast<double>(sum) / static_cast<double>(std::max<std::size_t>(1, engines));
  const double expected =
      report_weight * static_cast<double>(reported) + (1 - report_weight) * mean;
  return static_cast<number>(std::llround(expected));
}

} // namespace

reported_work& reported_work::operator+=(const reported_work& other)
{
  running += other.running;
  waiting = sum_of(waiting, other.waiting);
  return *this;
}

reported_work bounded_work(reported_work reported, const work_limit& limit)
{
  reported.running = std::min<std::uint64_t>(reported.running, limit.calls);
  for (auto& it : reported.waiting) {
    it.calls = std::min(it.calls, limit.calls);
    it.tokens = std::min(it.tokens, limit.tokens);
  }
  return reported;
}

reported_work expected_work(const reported_work& reported, const service_work& all)
{
  reported_work out{.running = toward_mean(reported.running, all.sum.running, all.engines)};
  for (std::size_t i = 0; i < out.waiting.size(); ++i) {
    out.waiting[i] = {
        .calls = toward_mean(reported.waiting[i].calls, all.sum.waiting[i].calls, all.engines),
        .tokens = toward_mean(reported.waiting[i].tokens, all.sum.waiting[i].tokens, all.engines)};
  }
  return out;
}

} // namespace wisteriaflow::load
