// Max-min fair allocation: demands below the fair share are met in full, and the remaining capacity
// is divided evenly among the others.

#ifndef WISTERIAFLOW_ADMISSION_MAX_MIN_FAIR_H_
#define WISTERIAFLOW_ADMISSION_MAX_MIN_FAIR_H_

#include <span>
#include <vector>

namespace wisteriaflow::admission {

// Divides `capacity` among `demands` and returns one allocation per demand. No allocation exceeds
// its demand, and they add up to the smaller of `capacity` and the total demand. Negative values
// count as 0.
//
//   max_min_fair(10, {2, 9, 9}) == {2, 4, 4}
[[nodiscard]] std::vector<double> max_min_fair(double capacity, std::span<const double> demands);

} // namespace wisteriaflow::admission

#endif // WISTERIAFLOW_ADMISSION_MAX_MIN_FAIR_H_
