#include "wisteriaflow/load/endpoint_outcomes.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace wisteriaflow::load {
namespace {

void add(outcome_counts& to, const outcome_counts& counts)
{
  to.answered += counts.answered;
  to.failed += counts.failed;
}

outcome_counts bounded(const outcome_counts& counts)
{
  return {.answered = std::min(counts.answered, max_stated_calls),
          .failed = std::min(counts.failed, max_stated_calls)};
}

// All calls of a reporter. A statement without them has at least those at the stated endpoints.
outcome_counts all_calls(const outcome_map& counts)
{
  if (const auto it = counts.find(all_calls_key()); it != counts.end()) {
    return it->second;
  }
  outcome_counts out;
  for (const auto& [id, n] : counts) {
    add(out, n);
  }
  return out;
}

} // namespace

void endpoint_outcomes::on_result(const endpoint_id& id, call_result result, mono_time now)
{
  auto& buckets = own_[id];
  if (buckets.empty() || now >= buckets.back().start + options_.bucket) {
    buckets.push_back({.start = now});
  }
  auto& counts = buckets.back().counts;
  ++(result == call_result::answered ? counts.answered : counts.failed);
  if (result == call_result::failed) {
    put_in_question(id, now);
  }
}

void endpoint_outcomes::on_statement(const daemon_id& peer, outcome_map counts, mono_time as_of,
                                     mono_time now)
{
  const auto known = peers_.find(peer);
  if (known != peers_.end() && as_of <= known->second.as_of) {
    return;
  }
  std::erase_if(counts, [&](const auto& it) {
    const auto ignored = ignored_until_.find(it.first);
    return ignored != ignored_until_.end() && as_of < ignored->second;
  });
  for (const auto& [id, n] : counts) {
    if (n.failed > 0 && id != all_calls_key()) {
      put_in_question(id, now);
    }
  }
  peers_[peer] = {.counts = std::move(counts), .as_of = as_of};
}

void endpoint_outcomes::put_in_question(const endpoint_id& id, mono_time now)
{
  const auto it = in_question_.try_emplace(id, question{.since = now}).first;
  it->second.until = now + options_.question_ttl;
}

void endpoint_outcomes::forget(const endpoint_id& id, mono_time now)
{
  own_.erase(id);
  for (auto& [peer, statement] : peers_) {
    statement.counts.erase(id);
  }
  in_question_.erase(id);
  ignored_until_[id] = now + options_.window;
}

void endpoint_outcomes::update(mono_time now)
{
  for (auto& [id, buckets] : own_) {
    while (!buckets.empty() && buckets.front().start + options_.window <= now) {
      buckets.pop_front();
    }
  }
  std::erase_if(own_, [](const auto& it) { return it.second.empty(); });
  std::erase_if(peers_, [&](const auto& it) { return !is_valid(it.second, now); });
  std::erase_if(ignored_until_, [&](const auto& it) {
    return it.second + options_.statement_ttl <= now; // no earlier statement is valid any more
  });
  std::erase_if(in_question_, [&](const auto& it) { return it.second.until <= now; });
}

outcome_counts endpoint_outcomes::own_counts(const std::deque<bucket>& buckets,
                                             mono_time answered_since, mono_time now) const
{
  outcome_counts out;
  for (const auto& it : buckets) {
    if (it.start + options_.window <= now) {
      continue;
    }
    out.failed += it.counts.failed;
    out.answered += it.start >= answered_since ? it.counts.answered : 0;
  }
  return out;
}

outcome_map endpoint_outcomes::own_counts(mono_time now) const
{
  outcome_map out;
  outcome_counts all;
  for (const auto& [id, buckets] : own_) {
    add(all, own_counts(buckets, mono_time{}, now));
    const auto it = in_question_.find(id);
    if (it == in_question_.end()) {
      continue;
    }
    const auto since = it->second.since - options_.failure_delay;
    if (const auto counts = own_counts(buckets, since, now); counts.calls() > 0) {
      out.emplace(id, counts);
    }
  }
  if (!out.empty()) {
    out.emplace(all_calls_key(), all);
  }
  return out;
}

outcome_map endpoint_outcomes::statement(mono_time now) const
{
  auto all = own_counts(now);
  const auto total = all.extract(all_calls_key());
  if (total.empty()) {
    return {};
  }
  std::vector<std::pair<endpoint_id, outcome_counts>> entries(all.begin(), all.end());
  const auto number = std::min(max_stated_endpoints, entries.size());
  std::partial_sort(entries.begin(), entries.begin() + static_cast<std::ptrdiff_t>(number),
                    entries.end(), [](const auto& a, const auto& b) {
                      return std::pair(a.second.failed, a.second.answered) >
                             std::pair(b.second.failed, b.second.answered);
                    });
  entries.resize(number);
  outcome_map out{{all_calls_key(), bounded(total.mapped())}};
  for (const auto& [id, counts] : entries) {
    out.emplace(id, bounded(counts));
  }
  return out;
}

std::vector<relayed_outcomes> endpoint_outcomes::to_relay(mono_time now) const
{
  std::vector<std::pair<mono_time, const daemon_id*>> recent;
  for (const auto& [peer, statement] : peers_) {
    if (is_valid(statement, now) && !statement.counts.empty()) {
      recent.emplace_back(statement.as_of, &peer);
    }
  }
  std::sort(recent.begin(), recent.end(),
            [](const auto& a, const auto& b) { return a.first > b.first; });
  std::vector<relayed_outcomes> out;
  std::size_t entries = 0;
  for (const auto& [as_of, peer] : recent) {
    const auto& counts = peers_.at(*peer).counts;
    if (entries + counts.size() > max_relayed_entries) {
      continue;
    }
    entries += counts.size();
    out.push_back({.daemon = *peer,
                   .age = std::chrono::ceil<std::chrono::milliseconds>(now - as_of),
                   .counts = counts});
  }
  return out;
}

std::vector<bool>
endpoint_outcomes::believed(const std::vector<const outcome_map*>& reporters) const
{
  const auto failed_share = [&](const outcome_map& counts) -> std::optional<double> {
    const auto all = all_calls(counts);
    return all.calls() < options_.min_judged_calls
               ? std::nullopt
               : std::optional(static_cast<double>(all.failed) / all.calls());
  };
  std::vector<double> shares;
  for (const auto* counts : reporters) {
    if (const auto share = failed_share(*counts)) {
      shares.push_back(*share);
    }
  }
  double median = 0;
  if (!shares.empty()) {
    // Of two middle values the smaller one, so that one of two reporters alone is not believed.
    const auto middle = shares.begin() + static_cast<std::ptrdiff_t>((shares.size() - 1) / 2);
    std::nth_element(shares.begin(), middle, shares.end());
    median = *middle;
  }
  std::vector<bool> out;
  out.reserve(reporters.size());
  for (const auto* counts : reporters) {
    out.push_back(failed_share(*counts).value_or(0) <= median + options_.disbelief_excess);
  }
  return out;
}

fleet_evidence endpoint_outcomes::evidence(mono_time now) const
{
  const auto own = own_counts(now);
  std::vector<const outcome_map*> reporters{&own};
  for (const auto& [peer, statement] : peers_) {
    if (is_valid(statement, now)) {
      reporters.push_back(&statement.counts);
    }
  }
  const auto is_believed = believed(reporters);
  fleet_evidence out;
  for (std::size_t i = 0; i < reporters.size(); ++i) {
    if (!is_believed[i]) {
      ++out.disbelieved;
      continue;
    }
    for (const auto& [id, n] : *reporters[i]) {
      auto& it = out.endpoints[id];
      add(it.counts, n);
      it.failing_reporters += n.failed > 0 ? 1 : 0;
    }
  }
  out.endpoints.erase(all_calls_key());
  return out;
}

} // namespace wisteriaflow::load
