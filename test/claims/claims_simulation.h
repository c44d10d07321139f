// Several daemons' owners and claim clients of one shard over a fake store. The test controls every
// message and store call, which may be late, lost, reordered or never delivered.

#ifndef WISTERIAFLOW_TEST_CLAIMS_CLAIMS_SIMULATION_H_
#define WISTERIAFLOW_TEST_CLAIMS_CLAIMS_SIMULATION_H_

#include <algorithm>
#include <array>
#include <map>
#include <set>
#include <variant>
#include <vector>

#include "claims/fake_claim_store.h"
#include "wisteriaflow/claims/claim_client.h"
#include "wisteriaflow/claims/claim_shard_owner.h"

namespace wisteriaflow::claims {

// The effect of a step; the same actions as in models/claims.pml.
enum class simulation_step : std::uint8_t {
  submit,           // a caller sends a key to a daemon
  apply_call,       // a call reaches the store
  answer_call,      // its answer reaches the daemon
  lose_answer,      // the daemon's call times out, but may still reach the store
  refuse_call,      // a call fails without any effect
  deliver,          // a message between daemons arrives
  lose_message,     // a message between daemons is lost
  desire_ownership, // a daemon's view says that it should own the shard
  drop_ownership,   // a daemon's view says that it should not own it
  pause,            // a daemon stops running
  resume,           // a paused daemon continues
  crash,            // a daemon restarts with no state
  pass_time,        // a short time
  pass_retention,   // half the retention time
};
inline constexpr int simulation_steps = 14;

class claims_simulation {
 public:
  static constexpr std::size_t daemons = 3;
  static constexpr std::size_t keys = 3;

  fake_claim_store store;
  // Number of runs of each key.
  std::map<std::size_t, int> runs;
  // Number of runs under a claim for which "not run" was reported.
  int not_run_violations = 0;

  claims_simulation()
  {
    for (std::size_t i = 0; i < daemons; ++i) {
      restart(i);
    }
  }

  void run_step(simulation_step step, std::size_t n)
  {
    auto& daemon = daemons_[n % daemons];
    switch (step) {
    case simulation_step::submit:
      return submit(oldest_key_ + n % keys, (n / keys) % daemons);
    case simulation_step::apply_call:
      return apply_call(n);
    case simulation_step::answer_call:
      return answer_call(n);
    case simulation_step::lose_answer:
      return fail_call(n, unanswered{});
    case simulation_step::refuse_call:
      return refuse_call(n);
    case simulation_step::deliver:
      return deliver(n);
    case simulation_step::lose_message:
      return lose_message(n);
    case simulation_step::desire_ownership:
      return set_owner_desired(n % daemons, true);
    case simulation_step::drop_ownership:
      return set_owner_desired(n % daemons, false);
    case simulation_step::pause:
      daemon.paused = true;
      return;
    case simulation_step::resume:
      daemon.paused = false;
      return;
    case simulation_step::crash:
      return restart(n % daemons);
    case simulation_step::pass_time:
      return advance_time(std::chrono::milliseconds{1 + 5 * n});
    case simulation_step::pass_retention:
      ++oldest_key_;
      return advance_time(settings().retention / 2);
    }
  }

  // Ends all faults, makes one daemon the desired owner and runs until nothing is pending.
  void end_faults()
  {
    for (std::size_t i = 0; i < daemons; ++i) {
      daemons_[i].paused = false;
      set_owner_desired(i, i == 0);
    }
    const int rounds = 400;
    for (int round = 0; round < rounds; ++round) {
      while (!calls_.empty() || !messages_.empty()) {
        apply_call(0);
        answer_call(0);
        deliver(0);
      }
      advance_time(std::chrono::milliseconds{50});
    }
  }

  // Submits a key that was never used and returns its number.
  std::size_t submit_new_key(std::size_t daemon)
  {
    const auto key = next_new_key_++;
    submit(key, daemon);
    return key;
  }

  void submit(std::size_t key, std::size_t daemon_index)
  {
    auto& daemon = daemons_[daemon_index];
    if (daemon.paused) {
      return;
    }
    created_.emplace(key, wall());
    const auto nonce = ++last_nonce_;
    key_of_[nonce] = key;
    claim_request request{.key = {.high = key, .low = key},
                          .body_hash = key,
                          .created = created_.at(key),
                          .executor = id_of(daemon_index),
                          .nonce = nonce};
    claim_client_options options{.request = std::move(request),
                                 .deadline = mono_ + std::chrono::seconds{2},
                                 .settings = settings(),
                                 .seed = nonce};
    daemon.clients.emplace(nonce, claim_client(std::move(options)));
    deliver_event(daemon_index, nonce, claim_started{});
  }

 private:
  struct daemon_state {
    bool paused = false;
    std::optional<claim_shard_owner> owner;
    std::map<std::uint64_t, claim_client> clients; // by nonce
    std::uint64_t restarts = 0;
  };

  struct open_call {
    std::size_t daemon = 0;
    std::uint64_t restarts = 0;
    store_call call;
    std::optional<store_result> result;
    bool reported_failed = false;
  };

  struct query {
    std::uint64_t nonce = 0;
  };

  // A message to `to` about the claim `nonce` of the daemon `claimant`.
  struct message {
    std::size_t to = 0;
    std::size_t claimant = 0;
    std::uint64_t nonce = 0;
    std::variant<claim_request, claim_reply, query, executor_answered> body;
  };

  static claim_settings settings()
  {
    return {.shards = 1,
            .retention = std::chrono::seconds{30},
            .skew_margin = std::chrono::seconds{1},
            .flush_interval = std::chrono::milliseconds{10},
            .max_tail_entries = 2,
            .merge_segments = 2,
            .max_pending = 3};
  }

  static daemon_id id_of(std::size_t index) { return daemon_id("d" + std::to_string(index)); }
  static std::size_t index_of(const daemon_id& id) { return id.value().at(1) - '0'; }

  [[nodiscard]] wall_time wall() const
  {
    return from_unix_ms(1'800'000'000'000) +
           std::chrono::duration_cast<std::chrono::milliseconds>(mono_.time_since_epoch());
  }

  // The daemons' wall clocks differ by far more than skew_margin, because safety must not depend on
  // them.
  [[nodiscard]] clock_reading clock_of(std::size_t daemon) const
  {
    const std::chrono::seconds skew{20 * (static_cast<int>(daemon) - 1)};
    return {.mono = mono_, .wall = wall() + skew};
  }

  void restart(std::size_t index)
  {
    auto& daemon = daemons_[index];
    daemon.clients.clear();
    daemon.owner.emplace(
        owner_options{.self = id_of(index), .settings = settings(), .seed = ++last_seed_});
    ++daemon.restarts;
    daemon.paused = false;
  }

  void advance_time(std::chrono::milliseconds time)
  {
    mono_ += time;
    for (std::size_t i = 0; i < daemons; ++i) {
      if (daemons_[i].paused) {
        continue;
      }
      act(i, daemons_[i].owner->handle(tick{}, clock_of(i)));
      for (auto& [nonce, client] : daemons_[i].clients) {
        act(i, nonce, client.handle(claim_tick{}, clock_of(i)));
      }
    }
  }

  void set_owner_desired(std::size_t index, bool desired)
  {
    if (!daemons_[index].paused) {
      act(index, daemons_[index].owner->handle(ownership_desired{desired}, clock_of(index)));
      owner_desired_[index] = desired;
    }
  }

  void deliver_event(std::size_t index, std::uint64_t nonce, const claim_client_event& event)
  {
    const auto it = daemons_[index].clients.find(nonce);
    if (it != daemons_[index].clients.end()) {
      act(index, nonce, it->second.handle(event, clock_of(index)));
    }
  }

  void act(std::size_t index, const std::vector<owner_action>& actions)
  {
    for (const auto& action : actions) {
      if (const auto* call = std::get_if<store_call>(&action)) {
        calls_.push_back({.daemon = index, .restarts = daemons_[index].restarts, .call = *call});
      } else {
        const auto& answer = std::get<send_reply>(action);
        auto claim = received_claims_.at(answer.token);
        messages_.push_back({.to = claim.claimant,
                             .claimant = claim.claimant,
                             .nonce = claim.nonce,
                             .body = answer.reply});
      }
    }
  }

  void act(std::size_t index, std::uint64_t nonce, const std::vector<claim_client_action>& actions)
  {
    for (const auto& action : actions) {
      std::visit([&](const auto& a) { act_one(index, nonce, a); }, action);
    }
  }

  void act_one(std::size_t index, std::uint64_t nonce, const send_claim& action)
  {
    const auto to = action.owner.empty() ? expected_owner() : index_of(action.owner);
    messages_.push_back({.to = to, .claimant = index, .nonce = nonce, .body = action.request});
  }

  void act_one(std::size_t index, std::uint64_t nonce, const query_executor& action)
  {
    messages_.push_back({.to = index_of(action.executor),
                         .claimant = index,
                         .nonce = nonce,
                         .body = query{.nonce = action.nonce}});
  }

  void act_one(std::size_t /*index*/, std::uint64_t nonce, const dispatch_claimed& /*action*/)
  {
    ++runs[key_of_.at(nonce)];
    if (reported_not_run_.contains(nonce)) {
      ++not_run_violations;
    }
  }

  void act_one(std::size_t /*index*/, std::uint64_t nonce, const refuse_claim& /*action*/)
  {
    reported_not_run_.insert(nonce);
  }

  template <typename action>
  void act_one(std::size_t /*index*/, std::uint64_t /*nonce*/, const action& /*action*/)
  {
  }

  [[nodiscard]] std::size_t expected_owner() const
  {
    const auto it = std::find(owner_desired_.begin(), owner_desired_.end(), true);
    return it == owner_desired_.end() ? 0 : static_cast<std::size_t>(it - owner_desired_.begin());
  }

  void apply_call(std::size_t n)
  {
    if (!calls_.empty()) {
      auto& call = calls_[n % calls_.size()];
      if (!call.result) {
        call.result = store.apply(call.call);
      }
    }
  }

  void answer_call(std::size_t n)
  {
    if (calls_.empty()) {
      return;
    }
    const auto it = calls_.begin() + static_cast<std::ptrdiff_t>(n % calls_.size());
    if (!it->result || daemons_[it->daemon].paused) {
      return;
    }
    const auto call = *it;
    calls_.erase(it);
    if (!call.reported_failed) {
      answer_owner(call, *call.result);
    }
  }

  void answer_owner(const open_call& call, const store_result& result)
  {
    auto& daemon = daemons_[call.daemon];
    if (call.restarts == daemon.restarts) {
      const store_answer answer{.id = call.call.id, .result = result};
      act(call.daemon, daemon.owner->handle(answer, clock_of(call.daemon)));
    }
  }

  void fail_call(std::size_t n, const store_result& result)
  {
    if (calls_.empty()) {
      return;
    }
    auto& call = calls_[n % calls_.size()];
    if (call.reported_failed || daemons_[call.daemon].paused) {
      return;
    }
    call.reported_failed = true;
    const bool is_read = std::holds_alternative<read_tail>(call.call.operation) ||
                         std::holds_alternative<read_segment>(call.call.operation);
    const auto copy = call;
    answer_owner(copy, is_read ? store_result(unavailable{}) : result);
  }

  void refuse_call(std::size_t n)
  {
    if (calls_.empty()) {
      return;
    }
    const auto it = calls_.begin() + static_cast<std::ptrdiff_t>(n % calls_.size());
    if (it->result || it->reported_failed || daemons_[it->daemon].paused) {
      return;
    }
    const auto call = *it;
    calls_.erase(it);
    answer_owner(call, unavailable{});
  }

  void deliver(std::size_t n)
  {
    if (messages_.empty()) {
      return;
    }
    const auto it = messages_.begin() + static_cast<std::ptrdiff_t>(n % messages_.size());
    if (daemons_[it->to].paused) {
      return;
    }
    const auto arrived = *it;
    messages_.erase(it);
    std::visit([&](const auto& body) { receive(arrived, body); }, arrived.body);
  }

  void lose_message(std::size_t n)
  {
    if (messages_.empty()) {
      return;
    }
    const auto it = messages_.begin() + static_cast<std::ptrdiff_t>(n % messages_.size());
    const auto dropped = *it;
    const bool was_query = std::holds_alternative<query>(dropped.body) ||
                           std::holds_alternative<executor_answered>(dropped.body);
    if (daemons_[dropped.claimant].paused) {
      return;
    }
    messages_.erase(it);
    deliver_event(dropped.claimant, dropped.nonce,
                  was_query ? claim_client_event(query_unanswered{})
                            : claim_client_event(claim_unanswered{}));
  }

  void receive(const message& arrived, const claim_request& request)
  {
    const auto token = ++last_token_;
    received_claims_[token] = arrived;
    const claim_received received{.token = token, .request = request};
    act(arrived.to, daemons_[arrived.to].owner->handle(received, clock_of(arrived.to)));
  }

  void receive(const message& arrived, const claim_reply& reply)
  {
    deliver_event(arrived.to, arrived.nonce, reply);
  }

  void receive(const message& arrived, const query& question)
  {
    const auto& clients = daemons_[arrived.to].clients;
    const auto it = clients.find(question.nonce);
    auto state = execution_state::outcome_unknown;
    if (it != clients.end()) {
      state = it->second.finished() && !it->second.dispatched() ? execution_state::not_run
                                                                : execution_state::in_flight;
    }
    if (state == execution_state::not_run) {
      reported_not_run_.insert(question.nonce);
    }
    messages_.push_back({.to = arrived.claimant,
                         .claimant = arrived.claimant,
                         .nonce = arrived.nonce,
                         .body = executor_answered{.state = state}});
  }

  void receive(const message& arrived, const executor_answered& answer)
  {
    deliver_event(arrived.to, arrived.nonce, answer);
  }

  mono_time mono_;
  std::array<daemon_state, daemons> daemons_;
  std::array<bool, daemons> owner_desired_{};
  std::vector<open_call> calls_;
  std::vector<message> messages_;
  std::map<std::uint64_t, message> received_claims_; // by token
  std::map<std::uint64_t, std::size_t> key_of_;
  std::map<std::size_t, wall_time> created_;
  std::set<std::uint64_t> reported_not_run_;
  std::uint64_t last_nonce_ = 0;
  std::uint64_t last_token_ = 0;
  std::uint64_t last_seed_ = 0;
  // Callers use a few keys at a time, some of them for longer than the retention.
  std::size_t oldest_key_ = 0;
  std::size_t next_new_key_ = 1'000'000;
};

} // namespace wisteriaflow::claims

#endif // WISTERIAFLOW_TEST_CLAIMS_CLAIMS_SIMULATION_H_
