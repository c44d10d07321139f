#include "wisteriaflow/gateway/peer_work_totals.h"

#include <utility>

namespace wisteriaflow::gateway {

void peer_work_totals::add(const endpoint_work_map& work)
{
  for (const auto& [id, w] : work) {
    totals_[id] += w;
  }
}

void peer_work_totals::subtract(const endpoint_work_map& work)
{
  for (const auto& [id, w] : work) {
    auto& total = totals_[id];
    total -= w;
    if (total == endpoint_work{}) {
      totals_.erase(id);
    }
  }
}

void peer_work_totals::on_work(const daemon_id& peer, endpoint_work_map work, mono_time as_of)
{
  auto& report = reports_[peer];
  if (as_of + valid_for_ < report.valid_until) {
    return;
  }
  subtract(report.work);
  add(work);
  report.work = std::move(work);
  report.valid_until = as_of + valid_for_;
}

void peer_work_totals::on_prefill(const daemon_id& peer, prefill_demand demand, mono_time as_of)
{
  auto& report = reports_[peer];
  if (as_of + valid_for_ < report.valid_until) {
    return;
  }
  report.prefill = std::move(demand);
  report.valid_until = as_of + valid_for_;
}

void peer_work_totals::forget_endpoint(const endpoint_id& id)
{
  for (auto& [peer, report] : reports_) {
    report.work.erase(id);
  }
  totals_.erase(id);
}

void peer_work_totals::expire(mono_time now)
{
  boost::unordered::erase_if(reports_, [&](const auto& it) {
    const bool counts = now < it.second.valid_until;
    if (!counts) {
      subtract(it.second.work);
    }
    return !counts;
  });
}

endpoint_work peer_work_totals::total_at(const endpoint_id& id) const
{
  const auto it = totals_.find(id);
  return it == totals_.end() ? endpoint_work{} : it->second;
}

endpoint_work_map peer_work_totals::work_of(const daemon_id& peer) const
{
  const auto it = reports_.find(peer);
  return it == reports_.end() ? endpoint_work_map{} : it->second.work;
}

prefill_demand peer_work_totals::prefill_of(const daemon_id& peer) const
{
  const auto it = reports_.find(peer);
  return it == reports_.end() ? prefill_demand{} : it->second.prefill;
}

double peer_work_totals::total_prefill(std::string_view service) const
{
  double out = 0;
  for (const auto& [peer, report] : reports_) {
    const auto it = report.prefill.find(service);
    out += it == report.prefill.end() ? 0 : it->second;
  }
  return out;
}

} // namespace wisteriaflow::gateway
