#include "wisteriaflow/gateway/endpoint_statement.h"

#include <cmath>

namespace wisteriaflow::gateway {
namespace {

// No endpoint serves so many requests a second; one that names more has made a mistake.
constexpr double highest_rate = 100'000;
// One that asks for more would be out of use for as long as instances live.
constexpr std::chrono::duration<double> longest_pause = std::chrono::hours(1);

bool is_credible_pause(std::chrono::duration<double> pause)
{
  return pause.count() >= 0 && pause <= longest_pause;
}

} // namespace

bool is_credible_rate(double rate)
{
  return rate >= 0 && rate <= highest_rate; // false for what is not a number
}

endpoint_terms believed(const endpoint_statement& statement)
{
  endpoint_terms out;
  if (const auto& leaving = statement.leaving) {
    out.leaving = leaving->value.value_or(false);
    if (!leaving->value) {
      out.rejected.push_back("leaving: " + leaving->text);
    }
  }
  if (const auto& rate = statement.request_rate) {
    if (rate->value && is_credible_rate(*rate->value)) {
      out.request_rate = rate->value;
    } else {
      out.rejected.push_back("request rate: " + rate->text);
    }
  }
  if (const auto& pause = statement.pause) {
    const std::chrono::duration<double> told(pause->value.value_or(-1));
    if (is_credible_pause(told)) {
      out.pause = std::chrono::ceil<std::chrono::milliseconds>(told);
    } else {
      out.rejected.push_back("pause: " + pause->text);
    }
  }
  return out;
}

} // namespace wisteriaflow::gateway
