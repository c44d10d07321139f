#include "wisteriaflow/gateway/peers_work.h"

#include <utility>

namespace wisteriaflow::gateway {

void peers_work::add(const endpoint_work_map& work)
{
  for (const auto& [id, w] : work) {
    auto& total = totals_[id];
    total.waiting += w.waiting;
    total.running += w.running;
    total.waiting_tokens += w.waiting_tokens;
    total.unreachable += w.unreachable;
  }
}

void peers_work::subtract(const endpoint_work_map& work)
{
  for (const auto& [id, w] : work) {
    auto& total = totals_[id];
    total.waiting -= w.waiting;
    total.running -= w.running;
    total.waiting_tokens -= w.waiting_tokens;
    total.unreachable -= w.unreachable;
    if (total == endpoint_work{}) {
      totals_.erase(id);
    }
  }
}

void peers_work::on_work(const daemon_id& peer, endpoint_work_map work, mono_time told_at)
{
  auto& told = told_[peer];
  if (told_at + valid_for_ < told.valid_until) {
    return;
  }
  subtract(told.work);
  add(work);
  told.work = std::move(work);
  told.valid_until = told_at + valid_for_;
}

void peers_work::on_prefill(const daemon_id& peer, prefill_demand demand, mono_time told_at)
{
  auto& told = told_[peer];
  if (told_at + valid_for_ < told.valid_until) {
    return;
  }
  told.prefill = std::move(demand);
  told.valid_until = told_at + valid_for_;
}

void peers_work::forget(const endpoint_id& id)
{
  for (auto& [peer, told] : told_) {
    told.work.erase(id);
  }
  totals_.erase(id);
}

void peers_work::expire(mono_time now)
{
  boost::unordered::erase_if(told_, [&](const auto& it) {
    const bool counts = now < it.second.valid_until;
    if (!counts) {
      subtract(it.second.work);
    }
    return !counts;
  });
}

endpoint_work peers_work::at(const endpoint_id& id) const
{
  const auto it = totals_.find(id);
  return it == totals_.end() ? endpoint_work{} : it->second;
}

endpoint_work_map peers_work::work_of(const daemon_id& peer) const
{
  const auto it = told_.find(peer);
  return it == told_.end() ? endpoint_work_map{} : it->second.work;
}

prefill_demand peers_work::prefill_of(const daemon_id& peer) const
{
  const auto it = told_.find(peer);
  return it == told_.end() ? prefill_demand{} : it->second.prefill;
}

double peers_work::prefill(std::string_view service) const
{
  double out = 0;
  for (const auto& [peer, told] : told_) {
    const auto it = told.prefill.find(service);
    out += it == told.prefill.end() ? 0 : it->second;
  }
  return out;
}

} // namespace wisteriaflow::gateway
