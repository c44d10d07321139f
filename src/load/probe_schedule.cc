#include "wisteriaflow/load/probe_schedule.h"

#include <algorithm>

namespace wisteriaflow::load {

void probe_schedule::on_call()
{
  constexpr double max_credit = 2;
  credit_ = std::min(max_credit, credit_ + options_.max_call_share);
}

// Exponentially distributed intervals make the probes of independent daemons a Poisson process of
// the fleet's rate.
mono_time probe_schedule::draw_next(const probe_terms& terms, mono_time now)
{
  const auto avoided = static_cast<double>(std::max<std::size_t>(1, terms.avoided));
  const double fleet_rate =
      std::min(options_.probes_per_second, options_.all_probes_per_second / avoided);
  const double rate = fleet_rate / static_cast<double>(std::max<std::size_t>(1, terms.daemons));
  const std::chrono::duration<double> wait(std::exponential_distribution<double>(rate)(random_));
  return now + std::chrono::duration_cast<mono_time::duration>(wait);
}

bool probe_schedule::take(const endpoint_id& id, const probe_terms& terms, mono_time now)
{
  const auto known = next_.find(id);
  if (known == next_.end()) {
    next_.emplace(id, draw_next(terms, now));
    return false;
  }
  const auto due = known->second + (terms.may_be_repeated ? std::chrono::milliseconds(0)
                                                          : options_.repeatable_wait);
  if (now < due || credit_ < 1) {
    return false;
  }
  credit_ -= 1;
  known->second = draw_next(terms, now);
  return true;
}

} // namespace wisteriaflow::load
