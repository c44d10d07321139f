// Max-min fair division: small demands are met whole, the rest is divided evenly.

#ifndef WISTERIAFLOW_ADMISSION_MAX_MIN_FAIR_H_
#define WISTERIAFLOW_ADMISSION_MAX_MIN_FAIR_H_

#include <span>
#include <vector>

namespace wisteriaflow::admission {

// Divides `capacity` over `demands`; no part is larger than its demand, and the parts add up to
// the smaller of the capacity and the total demand. Negative numbers count as 0.
//
//   max_min_fair(10, {2, 9, 9}) == {2, 4, 4}
[[nodiscard]] std::vector<double> max_min_fair(double capacity, std::span<const double> demands);

} // namespace wisteriaflow::admission

#endif // WISTERIAFLOW_ADMISSION_MAX_MIN_FAIR_H_
