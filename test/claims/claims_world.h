// Several daemons' owners and askers of one shard over a fake store, with every message and call
// in the hands of the test: late, lost, reordered, or never.

#ifndef WISTERIAFLOW_TEST_CLAIMS_CLAIMS_WORLD_H_
#define WISTERIAFLOW_TEST_CLAIMS_CLAIMS_WORLD_H_

#include <algorithm>
#include <array>
#include <map>
#include <set>
#include <variant>
#include <vector>

#include "claims/fake_claim_store.h"
#include "wisteriaflow/claims/claim_asker.h"
#include "wisteriaflow/claims/claim_shard_owner.h"

namespace wisteriaflow::claims {

// What a step does; the same actions as in models/claims.pml.
enum class world_step : std::uint8_t {
  submit,         // a caller sends a key to a daemon
  apply_call,     // a call reaches the store
  answer_call,    // its answer reaches the daemon
  lose_answer,    // the daemon gives up on a call, which may still reach the store
  refuse_call,    // a call fails for certain
  deliver,        // a message between daemons arrives
  lose_message,   // or does not
  want,           // a daemon comes to believe that it should own the shard
  unwant,         // or that it should not
  pause,          // a daemon stops
  resume,         // and goes on
  crash,          // a daemon starts anew with nothing
  pass_time,      // a short while
  pass_retention, // a long while
};
inline constexpr int world_steps = 14;

class claims_world {
 public:
  static constexpr std::size_t daemons = 3;
  static constexpr std::size_t keys = 3;

  fake_claim_store store;
  // Runs of each key.
  std::map<std::size_t, int> runs;
  // Keys run, or granted, after "not run" was said for that very claim.
  int broken_promises = 0;

  claims_world()
  {
    for (std::size_t i = 0; i < daemons; ++i) {
      restart(i);
    }
  }

  void take(world_step step, std::size_t n)
  {
    auto& daemon = daemons_[n % daemons];
    switch (step) {
    case world_step::submit:
      return submit(oldest_key_ + n % keys, (n / keys) % daemons);
    case world_step::apply_call:
      return apply_call(n);
    case world_step::answer_call:
      return answer_call(n);
    case world_step::lose_answer:
      return fail_call(n, lost{});
    case world_step::refuse_call:
      return refuse_call(n);
    case world_step::deliver:
      return deliver(n);
    case world_step::lose_message:
      return lose_message(n);
    case world_step::want:
      return want(n % daemons, true);
    case world_step::unwant:
      return want(n % daemons, false);
    case world_step::pause:
      daemon.paused = true;
      return;
    case world_step::resume:
      daemon.paused = false;
      return;
    case world_step::crash:
      return restart(n % daemons);
    case world_step::pass_time:
      return pass(std::chrono::milliseconds{1 + 5 * n});
    case world_step::pass_retention:
      ++oldest_key_;
      return pass(settings().retention / 2);
    }
  }

  // Everything works again and one daemon should own the shard: lets all come to rest.
  void heal()
  {
    for (std::size_t i = 0; i < daemons; ++i) {
      daemons_[i].paused = false;
      want(i, i == 0);
    }
    const int rounds = 400;
    for (int round = 0; round < rounds; ++round) {
      while (!calls_.empty() || !messages_.empty()) {
        apply_call(0);
        answer_call(0);
        deliver(0);
      }
      pass(std::chrono::milliseconds{50});
    }
  }

  // Submits a key that was never used; returns its number.
  std::size_t submit_fresh(std::size_t daemon)
  {
    const auto key = next_fresh_key_++;
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
    asker_options options{.request = std::move(request),
                          .deadline = mono_ + std::chrono::seconds{2},
                          .settings = settings(),
                          .seed = nonce};
    daemon.askers.emplace(nonce, claim_asker(std::move(options)));
    tell(daemon_index, nonce, ask_started{});
  }

 private:
  struct daemon_state {
    bool paused = false;
    std::optional<claim_shard_owner> owner;
    std::map<std::uint64_t, claim_asker> askers; // by nonce
    std::uint64_t life = 0;
  };

  struct open_call {
    std::size_t daemon = 0;
    std::uint64_t life = 0;
    store_call call;
    std::optional<store_result> result;
    bool given_up = false;
  };

  struct query {
    std::uint64_t nonce = 0;
  };

  // A message to `to`, about the claim `nonce` of the daemon `asker`.
  struct message {
    std::size_t to = 0;
    std::size_t asker = 0;
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

  // Daemons' wall clocks differ by far more than the margin: safety must not rest on them.
  [[nodiscard]] clock_reading clock_of(std::size_t daemon) const
  {
    const std::chrono::seconds skew{20 * (static_cast<int>(daemon) - 1)};
    return {.mono = mono_, .wall = wall() + skew};
  }

  void restart(std::size_t index)
  {
    auto& daemon = daemons_[index];
    daemon.askers.clear();
    daemon.owner.emplace(
        owner_options{.self = id_of(index), .settings = settings(), .seed = ++last_seed_});
    ++daemon.life;
    daemon.paused = false;
  }

  void pass(std::chrono::milliseconds time)
  {
    mono_ += time;
    for (std::size_t i = 0; i < daemons; ++i) {
      if (daemons_[i].paused) {
        continue;
      }
      act(i, daemons_[i].owner->handle(tick{}, clock_of(i)));
      for (auto& [nonce, asker] : daemons_[i].askers) {
        act(i, nonce, asker.handle(ask_tick{}, clock_of(i)));
      }
    }
  }

  void want(std::size_t index, bool wanted)
  {
    if (!daemons_[index].paused) {
      act(index, daemons_[index].owner->handle(ownership_desired{wanted}, clock_of(index)));
      wanted_[index] = wanted;
    }
  }

  void tell(std::size_t index, std::uint64_t nonce, const asker_event& event)
  {
    const auto it = daemons_[index].askers.find(nonce);
    if (it != daemons_[index].askers.end()) {
      act(index, nonce, it->second.handle(event, clock_of(index)));
    }
  }

  void act(std::size_t index, const std::vector<owner_action>& actions)
  {
    for (const auto& action : actions) {
      if (const auto* call = std::get_if<store_call>(&action)) {
        calls_.push_back({.daemon = index, .life = daemons_[index].life, .call = *call});
      } else {
        const auto& answer = std::get<send_reply>(action);
        auto claim = asked_.at(answer.token);
        messages_.push_back(
            {.to = claim.asker, .asker = claim.asker, .nonce = claim.nonce, .body = answer.reply});
      }
    }
  }

  void act(std::size_t index, std::uint64_t nonce, const std::vector<asker_action>& actions)
  {
    for (const auto& action : actions) {
      std::visit([&](const auto& a) { act_one(index, nonce, a); }, action);
    }
  }

  void act_one(std::size_t index, std::uint64_t nonce, const ask_owner& ask)
  {
    const auto to = ask.owner.empty() ? believed_owner() : index_of(ask.owner);
    messages_.push_back({.to = to, .asker = index, .nonce = nonce, .body = ask.request});
  }

  void act_one(std::size_t index, std::uint64_t nonce, const query_executor& ask)
  {
    messages_.push_back({.to = index_of(ask.executor),
                         .asker = index,
                         .nonce = nonce,
                         .body = query{.nonce = ask.nonce}});
  }

  void act_one(std::size_t /*index*/, std::uint64_t nonce, const dispatch_claimed& /*action*/)
  {
    ++runs[key_of_.at(nonce)];
    if (said_not_run_.contains(nonce)) {
      ++broken_promises;
    }
  }

  void act_one(std::size_t /*index*/, std::uint64_t nonce, const refuse_claim& /*action*/)
  {
    said_not_run_.insert(nonce);
  }

  template <typename action>
  void act_one(std::size_t /*index*/, std::uint64_t /*nonce*/, const action& /*action*/)
  {
  }

  [[nodiscard]] std::size_t believed_owner() const
  {
    const auto it = std::find(wanted_.begin(), wanted_.end(), true);
    return it == wanted_.end() ? 0 : static_cast<std::size_t>(it - wanted_.begin());
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
    if (!call.given_up) {
      hand_back(call, *call.result);
    }
  }

  void hand_back(const open_call& call, const store_result& result)
  {
    auto& daemon = daemons_[call.daemon];
    if (call.life == daemon.life) {
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
    if (call.given_up || daemons_[call.daemon].paused) {
      return;
    }
    call.given_up = true;
    const bool is_read = std::holds_alternative<read_tail>(call.call.operation) ||
                         std::holds_alternative<read_segment>(call.call.operation);
    const auto copy = call;
    hand_back(copy, is_read ? store_result(unavailable{}) : result);
  }

  void refuse_call(std::size_t n)
  {
    if (calls_.empty()) {
      return;
    }
    const auto it = calls_.begin() + static_cast<std::ptrdiff_t>(n % calls_.size());
    if (it->result || it->given_up || daemons_[it->daemon].paused) {
      return;
    }
    const auto call = *it;
    calls_.erase(it);
    hand_back(call, unavailable{});
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
    const auto gone = *it;
    const bool was_query = std::holds_alternative<query>(gone.body) ||
                           std::holds_alternative<executor_answered>(gone.body);
    if (daemons_[gone.asker].paused) {
      return;
    }
    messages_.erase(it);
    tell(gone.asker, gone.nonce, was_query ? asker_event(query_lost{}) : asker_event(ask_lost{}));
  }

  void receive(const message& arrived, const claim_request& request)
  {
    const auto token = ++last_token_;
    asked_[token] = arrived;
    const claim_asked asked{.token = token, .request = request};
    act(arrived.to, daemons_[arrived.to].owner->handle(asked, clock_of(arrived.to)));
  }

  void receive(const message& arrived, const claim_reply& reply)
  {
    tell(arrived.to, arrived.nonce, reply);
  }

  void receive(const message& arrived, const query& question)
  {
    const auto& askers = daemons_[arrived.to].askers;
    const auto it = askers.find(question.nonce);
    auto standing = request_standing::outcome_unknown;
    if (it != askers.end()) {
      standing = it->second.finished() && !it->second.dispatched() ? request_standing::not_run
                                                                   : request_standing::in_flight;
    }
    if (standing == request_standing::not_run) {
      said_not_run_.insert(question.nonce);
    }
    messages_.push_back({.to = arrived.asker,
                         .asker = arrived.asker,
                         .nonce = arrived.nonce,
                         .body = executor_answered{.standing = standing}});
  }

  void receive(const message& arrived, const executor_answered& answer)
  {
    tell(arrived.to, arrived.nonce, answer);
  }

  mono_time mono_;
  std::array<daemon_state, daemons> daemons_;
  std::array<bool, daemons> wanted_{};
  std::vector<open_call> calls_;
  std::vector<message> messages_;
  std::map<std::uint64_t, message> asked_; // by token
  std::map<std::uint64_t, std::size_t> key_of_;
  std::map<std::size_t, wall_time> created_;
  std::set<std::uint64_t> said_not_run_;
  std::uint64_t last_nonce_ = 0;
  std::uint64_t last_token_ = 0;
  std::uint64_t last_seed_ = 0;
  std::size_t oldest_key_ = 0; // callers send a few keys at a time, some for longer than they live
  std::size_t next_fresh_key_ = 1'000'000;
};

} // namespace wisteriaflow::claims

#endif // WISTERIAFLOW_TEST_CLAIMS_CLAIMS_WORLD_H_
