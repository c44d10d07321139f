// Measures what claims of non-idempotent requests cost at a steady rate over all shards: store
// writes, bytes and waiting time. Time is simulated and the store answers after a fixed delay, so
// every figure except the processor time is the same in each run. Prints a table, or JSON with
// --json.

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

struct measurements {
  std::uint64_t claims = 0;
  std::uint64_t writes = 0;
  std::uint64_t bytes = 0;
  double wait_ms = 0;
  std::uint64_t takeover_reads = 0;
  double processor_us = 0;
};

// Simulates the owner of one shard with claims at random times and a store that answers after a
// delay.
class shard_simulation {
 public:
  shard_simulation(std::uint32_t shard, const claim_settings& settings)
      : shard_(shard), settings_(settings), random_(seed + shard),
        owner_({.shard = shard, .self = daemon_id("owner"), .settings = settings, .seed = shard})
  {
  }

  measurements run()
  {
    const auto warm = milliseconds{absl::GetFlag(FLAGS_warm_seconds) * 1000LL};
    const auto end = milliseconds{absl::GetFlag(FLAGS_seconds) * 1000LL};
    std::exponential_distribution<double> interarrival_ms(absl::GetFlag(FLAGS_claims_per_second) /
                                                          settings_.shards / 1000.0);
    deliver(ownership_desired{true});
    double next_claim = interarrival_ms(random_);
    for (; now_ < end; now_ += milliseconds{1}) {
      measuring_ = now_ >= warm;
      complete_due_calls();
      for (; next_claim <= static_cast<double>(now_.count());
           next_claim += interarrival_ms(random_)) {
        send_claim();
      }
      const auto due = owner_.wake_at();
      if (due && *due <= clock().mono) {
        deliver(tick{});
      }
    }
    measure_takeover();
    return measurements_;
  }

 private:
  struct delayed_call {
    milliseconds at;
    store_call call;
  };

  [[nodiscard]] clock_reading clock() const
  {
    return {.mono = mono_time{now_}, .wall = from_unix_ms(1'800'000'000'000) + now_};
  }

  void deliver(const owner_event& event)
  {
    const auto started = std::chrono::steady_clock::now();
    const auto actions = owner_.handle(event, clock());
    const std::chrono::duration<double, std::micro> spent =
        std::chrono::steady_clock::now() - started;
    if (measuring_) {
      measurements_.processor_us += spent.count();
    }
    for (const auto& action : actions) {
      if (const auto* call = std::get_if<store_call>(&action)) {
        pending_calls_.push(
            {.at = now_ + milliseconds{absl::GetFlag(FLAGS_store_ms)}, .call = *call});
      } else {
        record_reply(std::get<send_reply>(action));
      }
    }
  }

  void complete_due_calls()
  {
    while (!pending_calls_.empty() && pending_calls_.front().at <= now_) {
      const auto call = pending_calls_.front().call;
      pending_calls_.pop();
      const auto writes = store_.writes;
      const auto bytes = store_.bytes_written;
      const auto result = store_.apply(call);
      if (measuring_) {
        measurements_.writes += store_.writes - writes;
        measurements_.bytes += store_.bytes_written - bytes;
      }
      deliver(store_answer{.id = call.id, .result = result});
    }
  }

  void send_claim()
  {
    const auto token = ++last_token_;
    requested_at_[token] = now_;
    claim_request request{.shard = shard_,
                          .key = {.high = random_(), .low = random_()},
                          .body_hash = random_(),
                          .created = clock().wall,
                          .executor = daemon_id("daemon-" + std::to_string(token % 8)),
                          .nonce = token};
    deliver(claim_received{.token = token, .request = std::move(request)});
  }

  void record_reply(const send_reply& reply)
  {
    if (measuring_ && reply.reply.result == claim_result::granted) {
      ++measurements_.claims;
      measurements_.wait_ms += static_cast<double>((now_ - requested_at_.at(reply.token)).count());
    }
    requested_at_.erase(reply.token);
  }

  // Counts the store reads of another daemon that takes the shard over at the end of the run.
  void measure_takeover()
  {
    measuring_ = false;
    store_.reads = 0;
    pending_calls_ = {};
    owner_ = claim_shard_owner(
        {.shard = shard_, .self = daemon_id("next"), .settings = settings_, .seed = 1});
    deliver(ownership_desired{true});
    while (owner_.state() != ownership::owning) {
      now_ += milliseconds{1};
      complete_due_calls();
    }
    measurements_.takeover_reads = store_.reads;
  }

  std::uint32_t shard_;
  claim_settings settings_;
  std::mt19937_64 random_;
  claim_shard_owner owner_;
  fake_claim_store store_;
  std::queue<delayed_call> pending_calls_;
  std::map<std::uint64_t, milliseconds> requested_at_;
  std::uint64_t last_token_ = 0;
  milliseconds now_{0};
  bool measuring_ = false;
  measurements measurements_;
};

void print(const measurements& total, const claim_settings& settings)
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
      {"mean_wait_ms", total.wait_ms / claims},
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
  measurements total;
  for (std::uint32_t shard = 0; shard < settings.shards; ++shard) {
    const auto one = shard_simulation(shard, settings).run();
    total.claims += one.claims;
    total.writes += one.writes;
    total.bytes += one.bytes;
    total.wait_ms += one.wait_ms;
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
