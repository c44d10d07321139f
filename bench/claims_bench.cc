// What claims cost: store writes, bytes and waiting time, for a steady flow of claims over all
// shards. Time is simulated and the store answers after a fixed delay, so the figures but the
// processor time are the same in each run. Prints a table and, with --json, the same as JSON.

#include <chrono>
#include <cstdio>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "claims/fake_claim_store.h"
#include "wisteriaflow/claims/claim_shard_owner.h"
#include "wisteriaflow/claims/shard_map.h"

ABSL_FLAG(double, claims_per_second, 540, "claims a second over all shards");
ABSL_FLAG(std::uint32_t, shards, 16, "shards of the key space");
ABSL_FLAG(std::uint32_t, flush_ms, 100, "least time between two updates of a shard, ms");
ABSL_FLAG(std::uint32_t, tail_entries, 32, "entries in the tail before it is rolled");
ABSL_FLAG(std::uint32_t, merge_segments, 32, "small segments before they are merged");
ABSL_FLAG(std::uint32_t, store_ms, 3, "time of each store call, ms");
ABSL_FLAG(std::uint32_t, seconds, 1500, "simulated time");
ABSL_FLAG(std::uint32_t, warm_seconds, 900, "simulated time before measuring; over retention");
ABSL_FLAG(bool, json, false, "print JSON");

namespace wisteriaflow::claims {
namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t seed = 20261202;

struct figures {
  std::uint64_t claims = 0;
  std::uint64_t writes = 0;
  std::uint64_t bytes = 0;
  double waited_ms = 0;
  std::uint64_t takeover_reads = 0;
  double processor_us = 0;
};

// One shard's owner, its claims at random times and a store that answers late.
class shard_run {
 public:
  shard_run(std::uint32_t shard, const claim_settings& settings)
      : shard_(shard), settings_(settings), random_(seed + shard),
        owner_({.shard = shard, .self = daemon_id("owner"), .settings = settings, .seed = shard})
  {
  }

  figures run()
  {
    const auto warm = milliseconds{absl::GetFlag(FLAGS_warm_seconds) * 1000LL};
    const auto end = milliseconds{absl::GetFlag(FLAGS_seconds) * 1000LL};
    std::exponential_distribution<double> gaps(absl::GetFlag(FLAGS_claims_per_second) /
                                               settings_.shards / 1000.0);
    give(ownership_desired{true});
    double next_claim = gaps(random_);
    for (; now_ < end; now_ += milliseconds{1}) {
      measuring_ = now_ >= warm;
      answer_calls();
      for (; next_claim <= static_cast<double>(now_.count()); next_claim += gaps(random_)) {
        ask();
      }
      const auto due = owner_.wake_at();
      if (due && *due <= clock().mono) {
        give(tick{});
      }
    }
    measure_takeover();
    return figures_;
  }

 private:
  struct late_answer {
    milliseconds at;
    store_call call;
  };

  [[nodiscard]] clock_reading clock() const
  {
    return {.mono = mono_time{now_}, .wall = from_unix_ms(1'800'000'000'000) + now_};
  }

  void give(const owner_event& event)
  {
    const auto started = std::chrono::steady_clock::now();
    const auto actions = owner_.handle(event, clock());
    const std::chrono::duration<double, std::micro> spent =
        std::chrono::steady_clock::now() - started;
    if (measuring_) {
      figures_.processor_us += spent.count();
    }
    for (const auto& action : actions) {
      if (const auto* call = std::get_if<store_call>(&action)) {
        open_.push({.at = now_ + milliseconds{absl::GetFlag(FLAGS_store_ms)}, .call = *call});
      } else {
        note_reply(std::get<send_reply>(action));
      }
    }
  }

  void answer_calls()
  {
    while (!open_.empty() && open_.front().at <= now_) {
      const auto call = open_.front().call;
      open_.pop();
      const auto writes = store_.writes;
      const auto bytes = store_.bytes_written;
      const auto result = store_.apply(call);
      if (measuring_) {
        figures_.writes += store_.writes - writes;
        figures_.bytes += store_.bytes_written - bytes;
      }
      give(store_answer{.id = call.id, .result = result});
    }
  }

  void ask()
  {
    const auto token = ++last_token_;
    asked_at_[token] = now_;
    claim_request request{.shard = shard_,
                          .key = {.high = random_(), .low = random_()},
                          .body_hash = random_(),
                          .created = clock().wall,
                          .executor = daemon_id("daemon-" + std::to_string(token % 8)),
                          .nonce = token};
    give(claim_received{.token = token, .request = std::move(request)});
  }

  void note_reply(const send_reply& reply)
  {
    if (measuring_ && reply.reply.result == claim_result::granted) {
      ++figures_.claims;
      figures_.waited_ms += static_cast<double>((now_ - asked_at_.at(reply.token)).count());
    }
    asked_at_.erase(reply.token);
  }

  // Reads of a daemon that takes the shard over now.
  void measure_takeover()
  {
    measuring_ = false;
    store_.reads = 0;
    open_ = {};
    owner_ = claim_shard_owner(
        {.shard = shard_, .self = daemon_id("next"), .settings = settings_, .seed = 1});
    give(ownership_desired{true});
    while (owner_.state() != ownership::owning) {
      now_ += milliseconds{1};
      answer_calls();
    }
    figures_.takeover_reads = store_.reads;
  }

  std::uint32_t shard_;
  claim_settings settings_;
  std::mt19937_64 random_;
  claim_shard_owner owner_;
  fake_claim_store store_;
  std::queue<late_answer> open_;
  std::map<std::uint64_t, milliseconds> asked_at_;
  std::uint64_t last_token_ = 0;
  milliseconds now_{0};
  bool measuring_ = false;
  figures figures_;
};

void print(const figures& total, const claim_settings& settings)
{
  const double seconds = absl::GetFlag(FLAGS_seconds) - absl::GetFlag(FLAGS_warm_seconds);
  const auto claims = static_cast<double>(total.claims);
  const auto writes = static_cast<double>(total.writes);
  const auto bytes = static_cast<double>(total.bytes);
  const boost::json::object results{
      {"claims_per_second", claims / seconds},
      {"shards", settings.shards},
      {"writes_per_second", writes / seconds},
      {"writes_per_claim", writes / claims},
      {"bytes_per_second", bytes / seconds},
      {"bytes_per_second_per_shard", bytes / seconds / settings.shards},
      {"bytes_per_claim", bytes / claims},
      {"mean_wait_ms", total.waited_ms / claims},
      {"takeover_reads_per_shard", static_cast<double>(total.takeover_reads) / settings.shards},
      {"processor_us_per_claim", total.processor_us / claims},
  };
  if (absl::GetFlag(FLAGS_json)) {
    std::printf("%s\n", boost::json::serialize(results).c_str());
    return;
  }
  std::printf("seed %llu, %u s simulated, store call %u ms\n",
              static_cast<unsigned long long>(seed), absl::GetFlag(FLAGS_seconds),
              absl::GetFlag(FLAGS_store_ms));
  for (const auto& [name, value] : results) {
    std::printf("%-28s %12.3f\n", std::string(name).c_str(), value.to_number<double>());
  }
}

void run()
{
  const claim_settings settings{
      .shards = absl::GetFlag(FLAGS_shards),
      .flush_interval = milliseconds{absl::GetFlag(FLAGS_flush_ms)},
      .max_tail_entries = absl::GetFlag(FLAGS_tail_entries),
      .merge_segments = absl::GetFlag(FLAGS_merge_segments),
  };
  figures total;
  for (std::uint32_t shard = 0; shard < settings.shards; ++shard) {
    const auto one = shard_run(shard, settings).run();
    total.claims += one.claims;
    total.writes += one.writes;
    total.bytes += one.bytes;
    total.waited_ms += one.waited_ms;
    total.takeover_reads += one.takeover_reads;
    total.processor_us += one.processor_us;
  }
  print(total, settings);
}

} // namespace
} // namespace wisteriaflow::claims

int main(int argc, char** argv)
{
  absl::ParseCommandLine(argc, argv);
  wisteriaflow::claims::run();
  return 0;
}
