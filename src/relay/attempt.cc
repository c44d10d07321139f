#include "relay/attempt.h"

#include <algorithm>
#include <utility>

#include "messages.h"
#include "wisteriaflow/http/errors.h"
#include "wisteriaflow/http/status.h"

namespace wisteriaflow::relay {
namespace {

using std::chrono::milliseconds;
namespace asio = boost::asio;
using gateway::attempt_outcome;

// A repeatable call waits for so many times its latency objective, or its longest pause, before it
// is sent elsewhere. Two would give up on endpoints that are merely busy.
constexpr int patience_in_spans = 3;
// After so many an endpoint counts as silent for the choice of others' endpoints.
constexpr int overdue_in_spans = 2;
// A whole answer is held in memory up to this size, in bytes.
constexpr std::size_t answer_limit = std::size_t{8} << 20U;

// What a prompt takes an ordinary engine until its first event: prompts differ by a factor of a
// hundred, and those of a new endpoint are read whole, so times are compared for what was to be
// read.
constexpr double ordinary_first_seconds = 0.02;
constexpr double ordinary_prefill_rate = 30'000; // tokens/s
// Fewer events say nothing of how fast they come.
constexpr std::uint64_t fewest_paced_events = 4;

// Thrown inside an attempt to end it; never leaves it.
class attempt_ended : public http::http_error {
 public:
  using http_error::http_error;
};

} // namespace

attempt::attempt(asio::io_context& context, fleet_state& state, http::client& client,
                 admitted_call& call, gateway::pooled_endpoint endpoint)
    : state_(state), client_(client), call_(call), endpoint_(std::move(endpoint)),
      silence_(context), sent_at_(std::chrono::steady_clock::now()), heard_at_(sent_at_)
{
  if (state_.has_rollouts()) {
    state_.version_calls.on_sent(placed());
  }
  result_.endpoint = endpoint_.process();
  result_.address = endpoint_.address;
  result_.prefix_source = endpoint_.prefix_source;
}

asio::awaitable<attempt_result> attempt::run(http::response_writer& writer)
{
  auto message = adapter::encode_attempt(call_.received,
                                         {.endpoint = endpoint_.id,
                                          .workspace = call_.workspace,
                                          .priority = call_.priority,
                                          .deadline = call_.deadline,
                                          .prefix_source = endpoint_.prefix_source,
                                          .resume_after = call_.last_event},
                                         heard_at_);
  count_repetition();
  http::stream_observer observer;
  observer.on_head = [this](const http::response& head) { on_head(head); };
  observer.write_bytes = [this, &writer](std::string_view bytes) {
    return on_bytes(bytes, writer);
  };
  observer.is_expected = [this](const http::response& head) {
    const auto id = adapter::decode_answer(head).request_id;
    return id.empty() || id == call_.description.request_id;
  };
  call_.exchange = std::make_shared<http::exchange>();
  watch_silence();
  try {
    co_await client_.stream(endpoint_.address, std::move(message), call_.deadline,
                            std::move(observer), call_.exchange.get());
    result_.how = streaming_ ? attempt_result::end::stream_ended : attempt_result::end::whole;
  } catch (const http::connect_error& e) {
    result_.how = attempt_result::end::not_sent;
    result_.reason = e.what();
  } catch (const http::exchange_timeout_error& e) {
    result_.timed_out = true;
    result_.reason = e.what();
  } catch (const attempt_ended& e) {
    result_.reason = e.what();
  } catch (const http::http_error& e) {
    if (result_.reason.empty()) { // else the end is of this attempt's own making
      result_.reason = e.what();
      result_.broke_off = !result_.silent && !call_.caller_gone && !caller_failed_;
    }
  }
  silence_.disarm();
  call_.exchange.reset();
  co_return conclude();
}

// What the endpoint's words and the way the exchange ended come to.
attempt_result attempt::conclude()
{
  const auto now = std::chrono::steady_clock::now();
  state_.endpoints.on_finished(endpoint_.work, events_, now);
  result_.begun = begun_;
  if (call_.caller_gone || caller_failed_) {
    result_.how = attempt_result::end::caller_lost;
    end_version({});
    return std::move(result_);
  }
  using end = attempt_result::end;
  if (result_.how == end::stream_ended && (gap_ || splitter_.pending_bytes() > 0 || events_ == 0)) {
    result_.how = end::cut;
    result_.broke_off = !gap_;
    result_.reason = "the stream ended within an event, without one, or with one missing";
  }
  if (result_.how == end::cut && gap_) {
    result_.reason = "an event is missing";
  }
  const bool whole = result_.how == end::whole || result_.how == end::stream_ended;
  if (result_.head_came && (whole || head_.not_run)) {
    // A promise of not having run stands even if the rest of the answer was lost.
    result_.outcome = gateway::classify_answer(head_, call_.description.request_id);
  }
  if (result_.how != end::not_sent && !whole) {
    result_.how = end::cut;
  }
  if (result_.outcome == attempt_outcome::broken && whole) {
    result_.how = end::cut; // whole, but not an answer that can be passed on
  }
  note_version(now);
  note_health(now);
  return std::move(result_);
}

gateway::call_attempt attempt::placed() const
{
  return {.service = call_.service,
          .route = call_.route->name,
          .version = endpoint_.version,
          .endpoint = endpoint_.id};
}

void attempt::note_version(mono_time now)
{
  using seconds = std::chrono::duration<double>;
  gateway::call_outcome out{.failed = result_.outcome != attempt_outcome::answered};
  // What ends because its endpoint leaves or is gone says nothing of the version.
  const bool ran =
      result_.how != attempt_result::end::not_sent && result_.outcome != attempt_outcome::not_run;
  out.is_counted = ran && state_.endpoints.is_active(endpoint_.process());
  const bool resumed = call_.history.sent > 0 && call_.last_event;
  if (!out.failed && !resumed && begun_) {
    const double work =
        ordinary_first_seconds + std::max(0, endpoint_.work.prefill_tokens) / ordinary_prefill_rate;
    const auto first = first_event_at_.value_or(now);
    out.first_event_seconds = seconds(first - sent_at_).count() / work;
    if (first_event_at_ && events_ >= fewest_paced_events) {
      out.event_gap_seconds = seconds(now - first).count() / static_cast<double>(events_ - 1);
    }
  }
  end_version(out);
}

void attempt::end_version(const gateway::call_outcome& outcome)
{
  if (state_.has_rollouts()) {
    state_.version_calls.on_ended(placed(), outcome);
  }
}

// Tells the pool how the endpoint did.
void attempt::note_health(mono_time now)
{
  if (state_.endpoints.has_restarted(endpoint_)) {
    return; // it says nothing of the process that is there now
  }
  switch (result_.outcome) {
  case attempt_outcome::answered:
    state_.endpoints.on_success(endpoint_.id);
    break;
  case attempt_outcome::failed:
    note_trouble(gateway::endpoint_failure::failed, now);
    break;
  case attempt_outcome::not_run:
    break; // full, not ill
  case attempt_outcome::broken:
    note_trouble(result_.how == attempt_result::end::not_sent
                     ? gateway::endpoint_failure::unreachable
                     : gateway::endpoint_failure::broken,
                 now);
    break;
  }
}

void attempt::note_trouble(gateway::endpoint_failure kind, mono_time now)
{
  if (state_.endpoints.on_failure(endpoint_.id, kind, now)) {
    if (kind == gateway::endpoint_failure::unreachable) {
      state_.announce_news(); // so that not each daemon has to find out by a time-out of its own
    }
    state_.log.write(daemon::log_level::warn, "endpoint left out",
                     {{"endpoint", endpoint_.id.value()},
                      {"request", call_.description.request_id},
                      {"reason", result_.reason.empty() ? "silent or failing" : result_.reason}});
  }
}

void attempt::on_head(const http::response& head)
{
  heard_at_ = std::chrono::steady_clock::now();
  result_.head_came = true;
  head_ = adapter::decode_answer(head);
  result_.answer = head;
  if (!head_.other_endpoint) {
    note_statement();
  }
  const auto outcome = gateway::classify_answer(head_, call_.description.request_id);
  streaming_ = head_.is_stream && http::status::is_success(head.status) &&
               outcome == attempt_outcome::answered;
  if (!streaming_ && (outcome == attempt_outcome::answered || outcome == attempt_outcome::failed)) {
    note_begin();
  }
}

// Takes in what the endpoint says of itself.
void attempt::note_statement()
{
  result_.statement = head_.statement;
  const auto terms = gateway::validated_terms(head_.statement);
  for (const auto& text : terms.rejected) {
    state_.counters.count("endpoint_statements_rejected");
    state_.log.write(daemon::log_level::warn, "endpoint statement not believed",
                     {{"request", call_.description.request_id},
                      {"endpoint", endpoint_.id.value()},
                      {"statement", text}});
  }
  state_.take_answer({.process = endpoint_.process(),
                      .terms = terms,
                      .sent_at = sent_at_,
                      .is_signed = head_.has_signature},
                     heard_at_);
}

asio::awaitable<void> attempt::on_bytes(std::string_view bytes, http::response_writer& writer)
{
  heard_at_ = std::chrono::steady_clock::now();
  if (streaming_) {
    auto events = splitter_.feed(bytes);
    if (!events.empty()) {
      note_begin();
      co_await pass_on(std::move(events), writer);
    }
    co_return;
  }
  if (result_.answer.body.size() + bytes.size() > answer_limit) {
    throw attempt_ended("the answer is over the limit");
  }
  result_.answer.body.append(bytes);
}

// Passes whole events on, once each and in order.
asio::awaitable<void> attempt::pass_on(std::vector<gateway::stream_event> events,
                                       http::response_writer& writer)
{
  std::string out;
  for (auto& e : events) {
    ++events_;
    if (e.id && call_.last_event && *e.id <= *call_.last_event) {
      continue;
    }
    if (e.id && call_.last_event && *e.id != *call_.last_event + 1) {
      gap_ = true;
      break;
    }
    if (e.id) {
      call_.last_event = e.id;
    }
    out += e.bytes;
  }
  try {
    if (!call_.answer_begun && !out.empty()) {
      call_.answer_begun = true;
      http::response head{.status = result_.answer.status, .fields = result_.answer.fields};
      co_await writer.start_stream(std::move(head));
    }
    co_await writer.write_chunk(out);
  } catch (const http::http_error& e) {
    caller_failed_ = true;
    throw;
  }
  if (gap_) {
    throw attempt_ended("an event is missing");
  }
}

void attempt::count_repetition()
{
  if (call_.history.sent == 0) {
    return;
  }
  const auto& size = call_.description.size;
  state_.counters.count("repeated_prompt_tokens", {{"service", call_.service}},
                        size ? static_cast<std::uint64_t>(size->prompt) : 0);
  if (call_.last_event) {
    state_.counters.count("resumes", {{"route", call_.route->name}});
  }
}

// The endpoint works on the call now.
void attempt::note_begin()
{
  const auto clocks = read_clocks();
  if (!begun_) {
    begun_ = true;
    first_event_at_ = clocks.mono;
    state_.counters.observe("first_event_time", clocks.mono - call_.received_at,
                            {{"route", call_.route->name}});
  }
  state_.endpoints.on_first_token(endpoint_.work, clocks.mono);
  if (!call_.counted && !call_.workspace.empty()) {
    call_.counted = true;
    state_.usage.record_start(call_.workspace, state_.clock.now(clocks));
  }
}

// Whether the call could be sent elsewhere after this attempt.
bool attempt::may_give_up() const
{
  const auto& r = *call_.route;
  return r.repeatable() && call_.history.sent + 1 < r.max_attempts;
}

milliseconds attempt::expected_silence() const
{
  return streaming_ && events_ > 0 ? call_.route->max_event_gap : call_.route->target_latency;
}

void attempt::watch_silence()
{
  // Looked at once for each span in which something was to be heard.
  silence_.arm(std::chrono::steady_clock::now() + expected_silence(),
               [this] { on_silence_check(); });
}

void attempt::on_silence_check()
{
  const auto now = std::chrono::steady_clock::now();
  if (state_.endpoints.has_restarted(endpoint_)) {
    // What ran there is lost, whether the call can go elsewhere or its caller has to be told.
    result_.silent = true;
    result_.reason = "the endpoint has started anew";
    call_.exchange->cancel();
    return;
  }
  if (heard_at_ + overdue_in_spans * expected_silence() <= now) {
    // It goes on, since it may be running; but others are to go elsewhere meanwhile.
    note_trouble(gateway::endpoint_failure::broken, now);
  }
  if (may_give_up() && heard_at_ + patience_in_spans * expected_silence() <= now) {
    result_.silent = true;
    call_.exchange->cancel();
    return;
  }
  watch_silence();
}

} // namespace wisteriaflow::relay
