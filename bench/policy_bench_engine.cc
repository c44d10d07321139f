#include "policy_bench_engine.h"

#include <algorithm>
#include <utility>

namespace wisteriaflow::bench {
namespace {

// Prefill shares the engine with decoding. With a full batch its rate is lower by this share.
constexpr double prefill_loss_at_full_batch = 0.3;
constexpr double seconds_per_hour = 3600;

} // namespace

mono_time::duration from_seconds(double s)
{
  return std::chrono::duration_cast<mono_time::duration>(std::chrono::duration<double>(s));
}

double to_seconds(mono_time::duration d)
{
  return std::chrono::duration<double>(d).count();
}

void event_queue::schedule(mono_time when, std::function<void()> run)
{
  events_.push({.when = std::max(when, now_), .sequence = sequence_++, .run = std::move(run)});
}

void event_queue::run_until(mono_time end)
{
  while (!events_.empty() && events_.top().when <= end) {
    const auto next = events_.top();
    events_.pop();
    now_ = next.when;
    next.run();
  }
  now_ = end;
}

void engine::submit(attempt work)
{
  waiting_.push_back(std::move(work));
  start_next();
}

void engine::cancel(std::uint64_t id)
{
  std::erase_if(waiting_, [id](const attempt& it) { return it.id == id; });
}

void engine::stop()
{
  ++incarnation_;
  waiting_.clear();
  prefilling_ = false;
  decoding_ = 0;
  lru_blocks_.clear();
  cache_.clear();
  cache_events_.clear();
}

routing::load_report engine::report() const
{
  return {.running = decoding_ + (prefilling_ ? 1 : 0),
          .waiting = static_cast<int>(waiting_.size()),
          .max_running = spec_.max_running,
          .measured_at = events_.now()};
}

std::vector<routing::cache_event> engine::take_events()
{
  return std::exchange(cache_events_, {});
}

int engine::cached_blocks(std::span<const std::uint64_t> blocks) const
{
  const auto missing = std::find_if(blocks.begin(), blocks.end(),
                                    [this](std::uint64_t it) { return !cache_.contains(it); });
  return static_cast<int>(missing - blocks.begin());
}

void engine::store(std::span<const std::uint64_t> blocks)
{
  // Last block first, so that a prefix is evicted after the blocks that follow it.
  for (auto it = blocks.rbegin(); it != blocks.rend(); ++it) {
    if (const auto found = cache_.find(*it); found != cache_.end()) {
      lru_blocks_.splice(lru_blocks_.begin(), lru_blocks_, found->second);
      continue;
    }
    lru_blocks_.push_front(*it);
    cache_.emplace(*it, lru_blocks_.begin());
    cache_events_.push_back({.sequence = next_sequence_++, .prefix_hash = *it});
  }
  while (cache_.size() > spec_.cache_blocks) {
    cache_events_.push_back({.sequence = next_sequence_++,
                             .prefix_hash = lru_blocks_.back(),
                             .kind = routing::cache_event::kind::evicted});
    cache_.erase(lru_blocks_.back());
    lru_blocks_.pop_back();
  }
}

void engine::start_next()
{
  if (prefilling_ || waiting_.empty() || decoding_ >= spec_.max_running) {
    return;
  }
  auto work = std::move(waiting_.front());
  waiting_.pop_front();
  prefilling_ = true;
  const int cached = cached_blocks(work.blocks) * block_tokens;
  const double load = static_cast<double>(decoding_) / spec_.max_running;
  const double rate = spec_.prefill_rate * (1 - prefill_loss_at_full_batch * load);
  const double elapsed = (work.prompt_tokens - cached) / rate + spec_.service_seconds;
  busy_seconds_ += elapsed;
  cost_ += elapsed * spec_.description.price_per_hour / seconds_per_hour;
  events_.schedule(events_.now() + from_seconds(elapsed),
                   [this, work = std::move(work), cached, incarnation = incarnation_] {
                     if (incarnation == incarnation_) {
                       begin_decoding(work, cached);
                     }
                   });
}

void engine::begin_decoding(const attempt& work, int cached_tokens)
{
  prefilling_ = false;
  store(work.blocks);
  ++decoding_;
  const double elapsed =
      work.output_tokens * spec_.token_seconds * (1 + spec_.batch_slowdown * (decoding_ - 1));
  cost_ += elapsed / spec_.max_running * spec_.description.price_per_hour / seconds_per_hour;
  events_.schedule(events_.now() + from_seconds(elapsed),
                   [this, on_finished = work.on_finished, incarnation = incarnation_] {
                     if (incarnation != incarnation_) {
                       return;
                     }
                     --decoding_;
                     on_finished();
                     start_next();
                   });
  work.on_first_token(cached_tokens);
  start_next();
}

} // namespace wisteriaflow::bench
