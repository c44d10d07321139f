// A caller, endpoints and a peer around one request's life, driven by random numbers. This world
// knows the truth (which attempts have sent bytes, what the caller has); the life only sees events.

#ifndef WISTERIAFLOW_TEST_REQUESTS_LIFE_WORLD_H_
#define WISTERIAFLOW_TEST_REQUESTS_LIFE_WORLD_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <rapidcheck.h>

#include "requests/life_truth.h"
#include "wisteriaflow/requests/request_life.h"

namespace wisteriaflow::requests {

class world {
 public:
  world(request_life_options options, script_reader& script)
      : options_(options), script_(script), life_(std::move(options))
  {
  }

  [[nodiscard]] bool finished() const { return finals_ > 0; }

  void step()
  {
    using step = void (world::*)();
    struct weighted {
      step call;
      std::uint32_t weight; // common events weigh more, so that lives get far before they end
    };
    static constexpr weighted steps[] = {
        {&world::admit, 2},      {&world::claim, 1},      {&world::start, 2},
        {&world::send, 1},       {&world::next_chunk, 6}, {&world::any_token, 2},
        {&world::end_stream, 1}, {&world::fail, 1},       {&world::retry, 3},
        {&world::leave, 2},      {&world::moved, 2},      {&world::cancel_told, 2},
        {&world::caller, 2},     {&world::drain, 1},      {&world::peer, 1},
        {&world::rare, 1}};
    constexpr std::uint32_t weights = 30;
    auto n = script_.below(weights);
    const auto* it = steps;
    for (; n >= it->weight; ++it) {
      n -= it->weight;
    }
    (this->*it->call)();
  }

  void end()
  {
    tell(deadline_passed{});
    RC_ASSERT(finals_ == 1);
    RC_ASSERT(life_.finished());
  }

 private:
  void admit() { tell(admission_granted{}); }

  void claim()
  {
    if (script_.below(4) > 0) {
      tell(claim_granted{7});
    } else {
      tell(claim_duplicate{.state = static_cast<duplicate_state>(script_.below(5))});
    }
  }

  void rare()
  {
    switch (script_.below(4)) {
    case 0:
      tell(admission_refused{});
      break;
    case 1:
      tell(claim_unavailable{});
      break;
    case 2:
      tell(deadline_passed{});
      break;
    default:
      tell(attempt_head{.attempt = any_attempt()});
    }
  }

  void start()
  {
    const auto n = last_attempt();
    tell(attempt_started{n, endpoint_id("e" + std::to_string(n))});
  }

  // Bytes reach the endpoint; the life hears nothing yet.
  void send()
  {
    if (auto* it = find(last_attempt())) {
      it->sent = it->sent || !it->dead;
    }
  }

  attempt_truth* find(attempt_number n)
  {
    const auto it = attempts_.find(n);
    return it == attempts_.end() ? nullptr : &it->second;
  }

  attempt_number last_attempt() { return attempts_.empty() ? 0 : attempts_.rbegin()->first; }

  // Mostly the last one, else one of the older ones, whose events are late.
  attempt_number any_attempt()
  {
    const auto last = last_attempt();
    return script_.below(4) > 0 ? last : 1 + script_.below(last + 1);
  }

  attempt_truth* answering(attempt_number n)
  {
    auto* it = find(n);
    if (it == nullptr || it->dead) {
      return nullptr;
    }
    it->sent = true;
    return it;
  }

  void next_chunk()
  {
    const auto n = any_attempt();
    auto* it = answering(n);
    const bool ended = it != nullptr && n == last_attempt() && (it->over || it->stopped);
    if (it == nullptr || ended || it->next >= answer_tokens) {
      return;
    }
    const auto offset = it->next++;
    if (options_.generation) {
      tell(token_arrived{n, offset, reference_token(offset)});
    } else {
      tell(body_arrived{n, reference_token(offset)});
    }
  }

  // A repeated or reordered token.
  void any_token()
  {
    const auto n = any_attempt();
    const auto offset = script_.below(answer_tokens);
    if (options_.generation && answering(n) != nullptr) {
      tell(token_arrived{n, offset, reference_token(offset)});
    }
  }

  void end_stream()
  {
    const auto n = any_attempt();
    auto* it = answering(n);
    if (it == nullptr || (it->over && n == last_attempt())) {
      return;
    }
    const bool whole = it->next >= answer_tokens;
    const bool tail_lost = script_.coin();
    it->over = true;
    if (whole || (options_.generation && tail_lost)) {
      tell(attempt_finished{.attempt = n, .tokens = answer_tokens, .finish_reason = "stop"});
    } else if (options_.generation) {
      tell(attempt_finished{.attempt = n, .tokens = it->next});
    } else {
      tell(attempt_failed{.attempt = n, .kind = failure_kind::broken});
    }
  }

  void fail()
  {
    const auto n = any_attempt();
    auto* it = find(n);
    if (it == nullptr || it->over) {
      return;
    }
    it->over = true;
    if (!it->sent && script_.coin()) {
      it->dead = true;
      tell(attempt_failed{n, script_.coin() ? failure_kind::connect_failed
                                            : failure_kind::no_endpoint});
      return;
    }
    it->sent = it->sent || !it->dead;
    constexpr int statuses[] = {400, 503};
    attempt_failed event{.attempt = n, .kind = failure_kind::broken};
    if (it->next == 0 && script_.below(3) == 0) {
      event.kind = failure_kind::endpoint_status;
      event.response.status = statuses[script_.below(2)];
    } else if (script_.coin()) {
      event.kind = failure_kind::timed_out;
    }
    tell(event);
  }

  void retry()
  {
    if (script_.below(6) > 0) {
      tell(retry_granted{});
    } else {
      tell(retry_denied{});
    }
  }

  void leave()
  {
    const double rate = script_.below(4) > 0 ? 1000 : 1;
    tell(endpoint_leaving{endpoint_id("e" + std::to_string(any_attempt())),
                          {.reclaim_at = mono_time{std::chrono::seconds(2)},
                           .kv_tokens = 100,
                           .remaining_tokens = script_.below(4) > 0 ? 1000U : 1U,
                           .decode_rate = 100,
                           .transfer_rate = rate,
                           .prefill_rate = script_.coin() ? 10000.0 : 100.0}});
  }

  void moved()
  {
    const auto n = any_attempt();
    if (script_.below(4) > 0) {
      tell(kv_exported{n, "handle", script_.below(answer_tokens)});
    } else {
      tell(kv_export_failed{n});
    }
  }

  void cancel_told()
  {
    if (confirming_ == 0) {
      return;
    }
    const auto n = std::exchange(confirming_, 0);
    auto& it = attempts_.at(n);
    it.stopped = script_.below(4) > 0;
    if (it.stopped) {
      tell(cancel_confirmed{n});
    } else {
      tell(cancel_failed{n});
    }
  }

  void caller()
  {
    if (connected_ && script_.below(3) == 0) {
      connected_ = false;
      has_ -= std::min<std::uint64_t>(has_, script_.below(3)); // lost on the way
      tell(caller_gone{});
    } else if (!connected_) {
      connected_ = true;
      head_ = false;
      caller_back event;
      if (has_ > 0) {
        event.last_offset = has_ - 1;
      }
      tell(event);
    }
  }

  void drain()
  {
    if (script_.below(3) == 0) {
      tell(drain_started{script_.coin()});
    }
  }

  void peer()
  {
    if (!handed_over_) {
      return;
    }
    handed_over_ = false;
    if (script_.coin()) {
      tell(handover_accepted{"peer"});
    } else {
      tell(handover_refused{});
    }
  }

  void tell(const request_event& event)
  {
    for (const auto& action : life_.handle(event, clock_reading{})) {
      RC_ASSERT(finals_ == 0); // nothing follows the final action
      std::visit(*this, action);
    }
  }

 public:
  void operator()(const claim_key&) { RC_ASSERT(!options_.idempotent); }

  void operator()(const start_attempt& it)
  {
    RC_ASSERT(find(it.attempt) == nullptr);
    RC_ASSERT(it.resume_tokens == life_.tokens().size());
    if (!options_.idempotent) {
      for (const auto& [n, earlier] : attempts_) {
        RC_ASSERT(earlier.dead || earlier.stopped);         // at most one run is ever alive
        RC_ASSERT(earlier.dead || it.transfer.has_value()); // and it is never run anew
      }
    }
    attempts_[it.attempt] = {.next = it.resume_tokens};
  }

  void operator()(const cancel_attempt& it)
  {
    if (it.confirm) {
      confirming_ = it.attempt;
    }
  }

  void operator()(const ask_retry&) {}
  void operator()(const export_kv&) {}

  void operator()(const send_head&)
  {
    RC_ASSERT(!head_);
    head_ = true;
  }

  void operator()(const send_token& it)
  {
    RC_ASSERT(connected_ && head_);
    RC_ASSERT(it.offset == has_); // no gap, no repeat
    RC_ASSERT(it.text == reference_token(it.offset));
    ++has_;
  }

  void operator()(const send_body& it) { body_ = it.bytes; }

  void operator()(const keep_answer&)
  {
    RC_ASSERT(options_.keyed || !options_.idempotent);
    kept_ = true;
  }

  void operator()(const hand_over& it)
  {
    RC_ASSERT(it.state.tokens == life_.tokens());
    for (const auto& [n, earlier] : attempts_) {
      RC_ASSERT(options_.idempotent || earlier.dead || earlier.stopped);
    }
    handed_over_ = true;
  }

  void operator()(const redirect&) { ++finals_; }

  void operator()(const finish& it)
  {
    ++finals_;
    if (std::holds_alternative<refused_not_run>(it.result)) {
      for (const auto& [n, attempt] : attempts_) {
        RC_ASSERT(!attempt.sent);
      }
      RC_ASSERT(!handed_over_); // a peer may run it
    }
    const auto* whole = std::get_if<answered>(&it.result);
    if (whole == nullptr) {
      return;
    }
    RC_ASSERT(kept_ == (!options_.idempotent || (options_.keyed && whole->status != 503)));
    if (whole->status != 200) {
      return; // the endpoint's own error
    }
    if (options_.generation && options_.streamed) {
      RC_ASSERT(!connected_ || has_ == answer_tokens);
      RC_ASSERT(life_.tokens().size() == answer_tokens);
    } else if (options_.generation) {
      RC_ASSERT(body_.find(reference_text()) != std::string::npos);
    } else {
      RC_ASSERT(body_ == reference_text());
    }
  }

 private:
  request_life_options options_;
  script_reader& script_;
  request_life life_;
  std::map<attempt_number, attempt_truth> attempts_;
  attempt_number confirming_ = 0;
  bool connected_ = true;
  bool head_ = false;
  bool handed_over_ = false;
  bool kept_ = false;
  std::uint64_t has_ = 0;
  std::string body_;
  int finals_ = 0;
};

} // namespace wisteriaflow::requests

#endif // WISTERIAFLOW_TEST_REQUESTS_LIFE_WORLD_H_
