#include "wisteriaflow/gateway/endpoint_statement.h"

#include <cmath>

#include "wisteriaflow/gateway/rejection_limits.h"

namespace wisteriaflow::gateway {
namespace {

// No endpoint serves more requests per second; a higher rate is a mistake.
constexpr double max_rate = 100'000;
// A longer pause would put the endpoint out of use for the lifetime of an instance.
constexpr std::chrono::duration<double> max_pause = std::chrono::hours(1);

bool is_valid_pause(std::chrono::duration<double> pause)
{
  return pause.count() >= 0 && pause <= max_pause;
}

} // namespace

bool is_valid_rate(double rate)
{
  return rate >= 0 && rate <= max_rate; // false for NaN
}

endpoint_terms validated_terms(const endpoint_statement& statement)
{
  endpoint_terms out;
  if (const auto& leaving = statement.leaving) {
    out.leaving = leaving->value.value_or(false);
    if (!leaving->value) {
      out.rejected.push_back("leaving: " + leaving->text);
    }
  }
  if (const auto& rate = statement.request_rate) {
    if (rate->value && is_valid_rate(*rate->value)) {
      out.request_rate = rate->value;
    } else {
      out.rejected.push_back("request rate: " + rate->text);
    }
  }
  if (const auto& pause = statement.pause) {
    const std::chrono::duration<double> duration(pause->value.value_or(-1));
    if (is_valid_pause(duration)) {
      out.pause = std::chrono::ceil<std::chrono::milliseconds>(duration);
    } else {
      out.rejected.push_back("pause: " + pause->text);
    }
  }
  if (const auto& limit = statement.rejection_limit) {
    if (limit->value && is_valid_rejection_limit(*limit->value)) {
      out.rejection_limit = limit->value;
    } else {
      out.rejected.push_back("rejection limit: " + limit->text);
    }
  }
  return out;
}

} // namespace wisteriaflow::gateway
