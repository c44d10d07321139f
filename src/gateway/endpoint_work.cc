#include "wisteriaflow/gateway/endpoint_work.h"

#include <algorithm>
#include <tuple>
#include <utility>
#include <vector>

namespace wisteriaflow::gateway {

load::waiting_calls* endpoint_work::part_of(load::rank_class rank)
{
  switch (rank) {
  case load::rank_class::urgent:
    return nullptr;
  case load::rank_class::normal:
    return &normal;
  case load::rank_class::deferrable:
    return &deferrable;
  }
  return nullptr;
}

load::reported_work endpoint_work::by_rank() const
{
  load::waiting_calls urgent{.calls = waiting, .tokens = waiting_tokens};
  urgent -= normal;
  urgent -= deferrable;
  return {.running = running, .waiting = {urgent, normal, deferrable}};
}

void endpoint_work::add_waiting(load::rank_class rank, std::uint64_t tokens)
{
  ++waiting;
  waiting_tokens += tokens;
  if (auto* part = part_of(rank)) {
    *part += {.calls = 1, .tokens = tokens};
  }
}

void endpoint_work::remove_waiting(load::rank_class rank, std::uint64_t tokens)
{
  waiting -= std::min<std::uint32_t>(1, waiting);
  waiting_tokens -= std::min(tokens, waiting_tokens);
  if (auto* part = part_of(rank)) {
    *part -= {.calls = 1, .tokens = tokens};
  }
}

endpoint_work& endpoint_work::operator+=(const endpoint_work& other)
{
  waiting += other.waiting;
  running += other.running;
  waiting_tokens += other.waiting_tokens;
  normal += other.normal;
  deferrable += other.deferrable;
  resident_tokens += other.resident_tokens;
  unreachable += other.unreachable;
  return *this;
}

endpoint_work& endpoint_work::operator-=(const endpoint_work& other)
{
  waiting -= other.waiting;
  running -= other.running;
  waiting_tokens -= other.waiting_tokens;
  normal -= other.normal;
  deferrable -= other.deferrable;
  resident_tokens -= other.resident_tokens;
  unreachable -= other.unreachable;
  return *this;
}

endpoint_work_map top_endpoints(endpoint_work_map work, std::size_t max_count)
{
  if (work.size() <= max_count) {
    return work;
  }
  const auto weight = [](const endpoint_work_map::value_type* it) {
    const auto& w = it->second;
    return std::tuple(w.unreachable, w.waiting_tokens, w.waiting + w.running);
  };
  std::vector<const endpoint_work_map::value_type*> ranked;
  ranked.reserve(work.size());
  for (const auto& it : work) {
    ranked.push_back(&it);
  }
  std::nth_element(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(max_count),
                   ranked.end(),
                   [&](const auto* a, const auto* b) { return weight(a) > weight(b); });
  endpoint_work_map out;
  for (std::size_t i = 0; i < max_count; ++i) {
    out.insert(*ranked[i]);
  }
  return out;
}

} // namespace wisteriaflow::gateway
