// Simulates the caller, the endpoints and a peer of one request, driven by random numbers.
//
// The simulation knows the actual state (which attempts have sent bytes, what the caller has
// received), while the `request_lifecycle` under test only gets events. Every action is checked
// against the actual state: a non-idempotent request never runs twice, the caller gets each token
// once and in order, and there is exactly one final action.

#ifndef WISTERIAFLOW_TEST_REQUESTS_LIFECYCLE_SIMULATION_H_
#define WISTERIAFLOW_TEST_REQUESTS_LIFECYCLE_SIMULATION_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <rapidcheck.h>

#include "requests/simulated_attempt.h"
#include "wisteriaflow/requests/request_lifecycle.h"

namespace wisteriaflow::requests {

class lifecycle_simulation {
 public:
  lifecycle_simulation(request_lifecycle_options options, script_reader& script)
      : options_(options), script_(script), lifecycle_(std::move(options))
  {
  }

  [[nodiscard]] bool finished() const { return final_actions_ > 0; }

  void step()
  {
    using step_method = void (lifecycle_simulation::*)();
    struct weighted_step {
      step_method call;
      std::uint32_t weight; // frequent events weigh more, so that requests get far before they end
    };
    static constexpr weighted_step steps[] = {{&lifecycle_simulation::admit, 2},
                                              {&lifecycle_simulation::answer_claim, 1},
                                              {&lifecycle_simulation::choose_endpoint, 2},
                                              {&lifecycle_simulation::send_bytes, 1},
                                              {&lifecycle_simulation::deliver_next_chunk, 6},
                                              {&lifecycle_simulation::deliver_random_token, 2},
                                              {&lifecycle_simulation::end_stream, 1},
                                              {&lifecycle_simulation::fail_attempt, 1},
                                              {&lifecycle_simulation::answer_retry_request, 3},
                                              {&lifecycle_simulation::announce_reclaim, 2},
                                              {&lifecycle_simulation::answer_export, 2},
                                              {&lifecycle_simulation::answer_cancel, 2},
                                              {&lifecycle_simulation::toggle_caller_connection, 2},
                                              {&lifecycle_simulation::start_drain, 1},
                                              {&lifecycle_simulation::answer_handover, 1},
                                              {&lifecycle_simulation::deliver_rare_event, 1}};
    constexpr std::uint32_t total_weight = 30;
    auto n = script_.below(total_weight);
    const auto* it = steps;
    for (; n >= it->weight; ++it) {
      n -= it->weight;
    }
    (this->*it->call)();
  }

  void end()
  {
    deliver(deadline_passed{});
    RC_ASSERT(final_actions_ == 1);
    RC_ASSERT(lifecycle_.finished());
  }

 private:
  void admit() { deliver(admission_granted{}); }

  void answer_claim()
  {
    if (script_.below(4) > 0) {
      deliver(claim_granted{7});
    } else {
      deliver(claim_duplicate{.state = static_cast<duplicate_state>(script_.below(5))});
    }
  }

  void deliver_rare_event()
  {
    switch (script_.below(4)) {
    case 0:
      deliver(admission_refused{});
      break;
    case 1:
      deliver(claim_unavailable{});
      break;
    case 2:
      deliver(deadline_passed{});
      break;
    default:
      deliver(attempt_head{.attempt = any_attempt()});
    }
  }

  void choose_endpoint()
  {
    const auto n = last_attempt();
    deliver(attempt_started{n, endpoint_id("e" + std::to_string(n))});
  }

  // Bytes reach the endpoint, without an event for the request.
  void send_bytes()
  {
    if (auto* it = find(last_attempt())) {
      it->bytes_sent = it->bytes_sent || !it->failed_unsent;
    }
  }

  simulated_attempt* find(attempt_number n)
  {
    const auto it = attempts_.find(n);
    return it == attempts_.end() ? nullptr : &it->second;
  }

  attempt_number last_attempt() { return attempts_.empty() ? 0 : attempts_.rbegin()->first; }

  // Usually the last attempt, else an older one, whose events come late.
  attempt_number any_attempt()
  {
    const auto last = last_attempt();
    return script_.below(4) > 0 ? last : 1 + script_.below(last + 1);
  }

  // Records that bytes have reached the endpoint of attempt `n`, which can therefore respond. Null
  // if there is no such attempt or it failed without sending.
  simulated_attempt* mark_bytes_sent(attempt_number n)
  {
    auto* it = find(n);
    if (it == nullptr || it->failed_unsent) {
      return nullptr;
    }
    it->bytes_sent = true;
    return it;
  }

  void deliver_next_chunk()
  {
    const auto n = any_attempt();
    auto* it = mark_bytes_sent(n);
    const bool ended =
        it != nullptr && n == last_attempt() && (it->stream_ended || it->cancel_succeeded);
    if (it == nullptr || ended || it->next_token >= answer_tokens) {
      return;
    }
    const auto offset = it->next_token++;
    if (options_.generation) {
      deliver(token_arrived{n, offset, reference_token(offset)});
    } else {
      deliver(body_arrived{n, reference_token(offset)});
    }
  }

  // Delivers a token at a random offset: repeated or out of order.
  void deliver_random_token()
  {
    const auto n = any_attempt();
    const auto offset = script_.below(answer_tokens);
    if (options_.generation && mark_bytes_sent(n) != nullptr) {
      deliver(token_arrived{n, offset, reference_token(offset)});
    }
  }

  void end_stream()
  {
    const auto n = any_attempt();
    auto* it = mark_bytes_sent(n);
    if (it == nullptr || (it->stream_ended && n == last_attempt())) {
      return;
    }
    const bool is_complete = it->next_token >= answer_tokens;
    const bool tail_lost = script_.coin();
    it->stream_ended = true;
    if (is_complete || (options_.generation && tail_lost)) {
      deliver(attempt_finished{.attempt = n, .tokens = answer_tokens, .finish_reason = "stop"});
    } else if (options_.generation) {
      deliver(attempt_finished{.attempt = n, .tokens = it->next_token});
    } else {
      deliver(attempt_failed{.attempt = n, .kind = failure_kind::interrupted});
    }
  }

  void fail_attempt()
  {
    const auto n = any_attempt();
    auto* it = find(n);
    if (it == nullptr || it->stream_ended) {
      return;
    }
    it->stream_ended = true;
    if (!it->bytes_sent && script_.coin()) {
      it->failed_unsent = true;
      deliver(attempt_failed{n, script_.coin() ? failure_kind::connect_failed
                                               : failure_kind::no_endpoint});
      return;
    }
    it->bytes_sent = it->bytes_sent || !it->failed_unsent;
    constexpr int statuses[] = {400, 503};
    attempt_failed event{.attempt = n, .kind = failure_kind::interrupted};
    if (it->next_token == 0 && script_.below(3) == 0) {
      event.kind = failure_kind::endpoint_status;
      event.response.status = statuses[script_.below(2)];
    } else if (script_.coin()) {
      event.kind = failure_kind::timed_out;
    }
    deliver(event);
  }

  void answer_retry_request()
  {
    if (script_.below(6) > 0) {
      deliver(retry_granted{});
    } else {
      deliver(retry_denied{});
    }
  }

  void announce_reclaim()
  {
    const double rate = script_.below(4) > 0 ? 1000 : 1;
    deliver(reclaim_announced{endpoint_id("e" + std::to_string(any_attempt())),
                              {.reclaim_at = mono_time{std::chrono::seconds(2)},
                               .kv_tokens = 100,
                               .remaining_tokens = script_.below(4) > 0 ? 1000U : 1U,
                               .decode_rate = 100,
                               .transfer_rate = rate,
                               .prefill_rate = script_.coin() ? 10000.0 : 100.0}});
  }

  void answer_export()
  {
    const auto n = any_attempt();
    if (script_.below(4) > 0) {
      deliver(kv_exported{n, "handle", script_.below(answer_tokens)});
    } else {
      deliver(kv_export_failed{n});
    }
  }

  void answer_cancel()
  {
    if (cancel_to_confirm_ == 0) {
      return;
    }
    const auto n = std::exchange(cancel_to_confirm_, 0);
    auto& it = attempts_.at(n);
    it.cancel_succeeded = script_.below(4) > 0;
    if (it.cancel_succeeded) {
      deliver(cancel_confirmed{n});
    } else {
      deliver(cancel_failed{n});
    }
  }

  void toggle_caller_connection()
  {
    if (caller_connected_ && script_.below(3) == 0) {
      caller_connected_ = false;
      caller_token_count_ -=
          std::min<std::uint64_t>(caller_token_count_, script_.below(3)); // sent, but not received
      deliver(caller_disconnected{});
    } else if (!caller_connected_) {
      caller_connected_ = true;
      head_sent_ = false;
      caller_reconnected event;
      if (caller_token_count_ > 0) {
        event.last_offset = caller_token_count_ - 1;
      }
      deliver(event);
    }
  }

  void start_drain()
  {
    if (script_.below(3) == 0) {
      deliver(drain_started{script_.coin()});
    }
  }

  void answer_handover()
  {
    if (!handed_over_) {
      return;
    }
    handed_over_ = false;
    if (script_.coin()) {
      deliver(handover_accepted{"peer"});
    } else {
      deliver(handover_refused{});
    }
  }

  void deliver(const request_event& event)
  {
    for (const auto& action : lifecycle_.handle(event, clock_reading{})) {
      RC_ASSERT(final_actions_ == 0); // nothing follows the final action
      std::visit(*this, action);
    }
  }

 public:
  void operator()(const claim_key&) { RC_ASSERT(!options_.idempotent); }

  void operator()(const start_attempt& it)
  {
    RC_ASSERT(find(it.attempt) == nullptr);
    RC_ASSERT(it.resume_tokens == lifecycle_.tokens().size());
    if (!options_.idempotent) {
      for (const auto& [n, earlier] : attempts_) {
        RC_ASSERT(earlier.failed_unsent || earlier.cancel_succeeded); // at most one run at a time
        RC_ASSERT(earlier.failed_unsent ||
                  it.transfer.has_value()); // and no second run from the start
      }
    }
    attempts_[it.attempt] = {.next_token = it.resume_tokens};
  }

  void operator()(const cancel_attempt& it)
  {
    if (it.confirm) {
      cancel_to_confirm_ = it.attempt;
    }
  }

  void operator()(const ask_retry&) {}
  void operator()(const export_kv&) {}

  void operator()(const send_head&)
  {
    RC_ASSERT(!head_sent_);
    head_sent_ = true;
  }

  void operator()(const send_token& it)
  {
    RC_ASSERT(caller_connected_ && head_sent_);
    RC_ASSERT(it.offset == caller_token_count_); // no gap and no duplicate
    RC_ASSERT(it.text == reference_token(it.offset));
    ++caller_token_count_;
  }

  void operator()(const send_body& it) { body_ = it.bytes; }

  void operator()(const keep_answer&)
  {
    RC_ASSERT(options_.keyed || !options_.idempotent);
    kept_ = true;
  }

  void operator()(const hand_over& it)
  {
    RC_ASSERT(it.state.tokens == lifecycle_.tokens());
    for (const auto& [n, earlier] : attempts_) {
      RC_ASSERT(options_.idempotent || earlier.failed_unsent || earlier.cancel_succeeded);
    }
    handed_over_ = true;
  }

  void operator()(const redirect&) { ++final_actions_; }

  void operator()(const finish& it)
  {
    ++final_actions_;
    if (std::holds_alternative<refused_not_run>(it.result)) {
      for (const auto& [n, attempt] : attempts_) {
        RC_ASSERT(!attempt.bytes_sent);
      }
      RC_ASSERT(!handed_over_); // a peer may run it
    }
    const auto* answer = std::get_if<answered>(&it.result);
    if (answer == nullptr) {
      return;
    }
    RC_ASSERT(kept_ == (!options_.idempotent || (options_.keyed && answer->status != 503)));
    if (answer->status != 200) {
      return; // the endpoint's own error
    }
    if (options_.generation && options_.streamed) {
      RC_ASSERT(!caller_connected_ || caller_token_count_ == answer_tokens);
      RC_ASSERT(lifecycle_.tokens().size() == answer_tokens);
    } else if (options_.generation) {
      RC_ASSERT(body_.find(reference_text()) != std::string::npos);
    } else {
      RC_ASSERT(body_ == reference_text());
    }
  }

 private:
  request_lifecycle_options options_;
  script_reader& script_;
  request_lifecycle lifecycle_;
  std::map<attempt_number, simulated_attempt> attempts_;
  attempt_number cancel_to_confirm_ = 0;
  bool caller_connected_ = true;
  bool head_sent_ = false;
  bool handed_over_ = false;
  bool kept_ = false;
  std::uint64_t caller_token_count_ = 0;
  std::string body_;
  int final_actions_ = 0;
};

} // namespace wisteriaflow::requests

#endif // WISTERIAFLOW_TEST_REQUESTS_LIFECYCLE_SIMULATION_H_
