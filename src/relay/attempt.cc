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

// A call that may be retried is cancelled after this many silence intervals without data and sent
// to another endpoint. An interval is the route's latency objective before the first event, and its
// longest pause between events afterwards. Two intervals would abandon endpoints that are only
// busy.
constexpr int cancel_after_intervals = 3;
// After this many silence intervals without data the endpoint is reported as failing, so that other
// calls avoid it.
constexpr int unhealthy_after_intervals = 2;
// Largest response body, in bytes, that is buffered if the response is not a stream.
constexpr std::size_t max_response_body = std::size_t{8} << 20U;
// Largest event of a stream, in bytes.
constexpr std::size_t max_event = std::size_t{1} << 20U;

// Time to the first event on a typical model engine: a fixed part, and a part for each prompt token
// to prefill. Prompt lengths differ by a factor of a hundred, and a new endpoint has no cached
// prefixes, so measured times are divided by this estimate before versions are compared.
constexpr double typical_first_event_seconds = 0.02;
constexpr double typical_prefill_rate = 30'000; // tokens/s
// With fewer events the time between events is not measured: it would mean nothing.
constexpr std::uint64_t min_events_for_pace = 4;

// A call whose connections to this many endpoints failed goes through a peer, whether or not the
// other links are known to be lost.
constexpr unsigned max_direct_failures = 2;

// Whether the failure tells something of the endpoint.
bool is_blamed(failure_cause cause)
{
  return cause != failure_cause::link && cause != failure_cause::unknown;
}

std::uint32_t to_position(std::uint64_t event)
{
  return static_cast<std::uint32_t>(
      std::min<std::uint64_t>(event, gateway::answer_progress::unknown_position));
}

// Thrown inside an attempt to abort it. `run` catches it.
class attempt_aborted : public http::http_error {
 public:
  using http_error::http_error;
};

} // namespace

attempt::attempt(asio::io_context& context, fleet_state& state, endpoint_transport& transport,
                 origin_exchange& origins, admitted_call& call, gateway::pooled_endpoint endpoint)
    : state_(state), transport_(transport), origins_(origins), call_(call),
      endpoint_(std::move(endpoint)), silence_timer_(context),
      sent_at_(std::chrono::steady_clock::now()), last_received_at_(sent_at_)
{
  if (state_.rollouts_enabled()) {
    state_.version_calls.on_sent(placement());
  }
  result_.endpoint = endpoint_.process();
  result_.version = endpoint_.version;
  result_.view_age = state_.feed.departures_age(sent_at_);
  result_.address = endpoint_.address;
  result_.had_place = endpoint_.has_place;
  result_.prefix_source = endpoint_.prefix_source;
}

asio::awaitable<attempt_result> attempt::run(http::response_writer& writer)
{
  endpoint_request request{.endpoint = endpoint_.id,
                           .version = endpoint_.version,
                           .request_id = call_.description.request_id,
                           .deadline = call_.deadline};
  request.message = adapter::encode_attempt(call_.received,
                                            {.endpoint = endpoint_.id,
                                             .workspace = call_.workspace,
                                             .engine_level = call_.engine_level,
                                             .deadline = call_.deadline,
                                             .prefix_source = endpoint_.prefix_source,
                                             .resume_after = call_.last_event_id},
                                            last_received_at_);
  count_retry();
  http::stream_observer observer;
  observer.on_head = [this](const http::response& head) { on_head(head); };
  observer.on_bytes_async = [this, &writer](std::string_view bytes) {
    return on_body_bytes(bytes, writer);
  };
  observer.is_expected = [this](const http::response& head) {
    const auto id = adapter::decode_answer(head).request_id;
    return id.empty() || id == call_.description.request_id;
  };
  call_.exchange = std::make_shared<http::cancel_handle>();
  progress_ = initial_progress();
  running_.emplace(state_.running_answers, call_.content,
                   gateway::running_answer{.by = endpoint_.process(),
                                           .sent_at = state_.fleet_time(),
                                           .progress = progress_});
  arm_silence_timer();
  const auto link = own_link();
  try {
    co_await transport_.exchange(std::move(request), endpoint_.address, link, std::move(observer),
                                 *call_.exchange, result_.relay);
    result_.end = streaming_ ? attempt_result::end_state::stream_complete
                             : attempt_result::end_state::complete;
  } catch (const endpoint_unreachable_error& e) {
    result_.end = attempt_result::end_state::not_sent;
    result_.cause = failure_cause::unreachable;
    result_.reason = e.what();
  } catch (const http::connect_error& e) {
    result_.end = attempt_result::end_state::not_sent;
    result_.cause = failure_cause::link; // the link checker finds out if the endpoint is to blame
    result_.reason = e.what();
  } catch (const http::exchange_timeout_error& e) {
    result_.timed_out = true;
    result_.reason = e.what();
  } catch (const attempt_aborted& e) {
    result_.reason = e.what();
  } catch (const relay_lost_error& e) {
    result_.cause = failure_cause::link;
    result_.reason = e.what();
  } catch (const http::http_error& e) {
    if (result_.reason.empty()) { // otherwise this attempt ended the exchange itself
      result_.reason = e.what();
      result_.closed_by_endpoint = !call_.exchange->is_cancelled() && !caller_write_failed_;
    }
  }
  silence_timer_.disarm();
  running_.reset();
  call_.exchange.reset();
  classify_end();
  release_place();
  co_await check_cut_off();
  if (needs_cause()) {
    result_.cause = co_await transport_.links().find_cause(endpoint_.id, endpoint_.address);
  }
  record_outcome();
  co_return std::move(result_);
}

endpoint_transport::own_link attempt::own_link() const
{
  using link = endpoint_transport::own_link;
  if (!endpoint_.has_place) {
    return link::barred;
  }
  return call_.link_failures >= max_direct_failures ? link::avoided : link::preferred;
}

void attempt::release_place()
{
  const auto now = std::chrono::steady_clock::now();
  const bool has_ended = result_.end == attempt_result::end_state::complete ||
                         result_.end == attempt_result::end_state::stream_complete ||
                         result_.end == attempt_result::end_state::not_sent || head_.not_run ||
                         result_.closed_by_endpoint;
  state_.endpoints.on_attempt_ended(
      endpoint_, has_ended ? gateway::request_end::completed : gateway::request_end::abandoned,
      now);
  if (!endpoint_.has_place) {
    const bool is_accepted = result_.end != attempt_result::end_state::not_sent;
    state_.endpoints.on_passed_on(endpoint_.id, is_accepted, now);
    state_.counters.count("calls_without_place", {{"passed_on", is_accepted ? "yes" : "no"}});
  }
  if (!result_.relay && head_.not_run && !head_.other_endpoint) {
    state_.endpoints.on_rejected(endpoint_.process(), now);
  }
}

void attempt::classify_end()
{
  state_.endpoints.on_finished(endpoint_.work, event_count_, std::chrono::steady_clock::now());
  result_.response_started = response_started_;
  result_.progress = progress_;
  if (first_event_at_) {
    result_.progress.time = std::chrono::duration_cast<milliseconds>(
        std::chrono::steady_clock::now() - *first_event_at_);
  }
  if (call_.caller_gone || caller_write_failed_) {
    result_.end = attempt_result::end_state::caller_disconnected;
    return;
  }
  using end_state = attempt_result::end_state;
  if (result_.end == end_state::stream_complete &&
      (event_missing_ || splitter_.pending_bytes() > 0 || event_count_ == 0)) {
    result_.end = end_state::interrupted;
    result_.closed_by_endpoint = !event_missing_;
    result_.reason =
        "the stream ended inside an event, without any event, or with an event missing";
  }
  if (result_.end == end_state::interrupted && event_missing_) {
    result_.reason = "an event is missing";
  }
  const bool is_complete =
      result_.end == end_state::complete || result_.end == end_state::stream_complete;
  if (result_.head_received && (is_complete || head_.not_run)) {
    // The endpoint's statement that it has not run the call is valid even if the rest of the
    // response was lost.
    result_.outcome = gateway::classify_answer(head_, call_.description.request_id);
  }
  if (result_.end != end_state::not_sent && !is_complete) {
    result_.end = end_state::interrupted;
  }
  if (result_.outcome == attempt_outcome::no_valid_answer && is_complete) {
    result_.end = end_state::interrupted; // complete, but not a response that can be forwarded
  }
  if ((result_.silent || result_.timed_out) && lost_link()) {
    result_.cause = failure_cause::link;
  }
  if (call_.is_abandoned) {
    result_.cause = failure_cause::unknown; // the endpoint is not to blame
  }
}

asio::awaitable<void> attempt::check_cut_off()
{
  const bool is_direct_answer = !result_.relay && (result_.outcome == attempt_outcome::answered ||
                                                   result_.outcome == attempt_outcome::failed);
  if (!is_direct_answer || result_.end == attempt_result::end_state::caller_disconnected) {
    co_return;
  }
  const auto from = endpoint_.process();
  const auto seen = co_await transport_.links().find_end(result_.answer, from, endpoint_.address);
  result_.end_evidence = to_string(seen.end.evidence);
  if (!seen.end.is_whole()) {
    result_.end = attempt_result::end_state::interrupted;
    result_.outcome = attempt_outcome::no_valid_answer;
    result_.closed_by_endpoint = true;
    result_.cause = seen.cause;
    result_.reason = seen.end.verdict == gateway::end_verdict::cut
                         ? "the endpoint ended with the answer"
                         : "the end of the answer cannot be told from a crash";
  }
}

// An endpoint that is known to leave ends on its own and drops its unfinished calls.
bool attempt::needs_cause() const
{
  return result_.end == attempt_result::end_state::interrupted &&
         result_.outcome == attempt_outcome::no_valid_answer && result_.closed_by_endpoint &&
         result_.cause == failure_cause::endpoint &&
         state_.endpoints.is_active(endpoint_.process());
}

bool attempt::lost_link() const
{
  return !result_.relay && state_.links.is_lost(endpoint_.id);
}

void attempt::record_outcome()
{
  if (result_.end == attempt_result::end_state::caller_disconnected) {
    end_version_call({});
    return;
  }
  const auto now = std::chrono::steady_clock::now();
  record_version_outcome(now);
  update_endpoint_health(now);
}

gateway::call_attempt attempt::placement() const
{
  return {.service = call_.service,
          .route = call_.route->name,
          .version = endpoint_.version,
          .endpoint = endpoint_.id};
}

void attempt::record_version_outcome(mono_time now)
{
  using seconds = std::chrono::duration<double>;
  gateway::call_outcome out{.failed = result_.outcome != attempt_outcome::answered};
  // A call that ends because its endpoint leaves or is gone does not count against the version.
  const bool was_run = result_.end != attempt_result::end_state::not_sent &&
                       result_.outcome != attempt_outcome::not_run && is_blamed(result_.cause);
  out.is_counted = was_run && state_.endpoints.is_active(endpoint_.process());
  const bool resumed = call_.history.sent > 0 && call_.last_event_id;
  if (!out.failed && !resumed && response_started_) {
    const double expected_seconds =
        typical_first_event_seconds +
        std::max(0, endpoint_.work.prefill_tokens) / typical_prefill_rate;
    const auto first = first_event_at_.value_or(now);
    out.first_event_seconds = seconds(first - sent_at_).count() / expected_seconds;
    if (first_event_at_ && event_count_ >= min_events_for_pace) {
      out.event_gap_seconds = seconds(now - first).count() / static_cast<double>(event_count_ - 1);
    }
  }
  end_version_call(out);
}

void attempt::end_version_call(const gateway::call_outcome& outcome)
{
  if (state_.rollouts_enabled()) {
    state_.version_calls.on_ended(placement(), outcome);
  }
}

// Reports the endpoint's success or failure to the endpoint pool.
void attempt::update_endpoint_health(mono_time now)
{
  if (state_.endpoints.has_restarted(endpoint_)) {
    return; // the result is of the previous process, not of the current one
  }
  switch (result_.outcome) {
  case attempt_outcome::answered:
    state_.endpoints.on_success(endpoint_.id);
    count_outcome(load::call_result::answered, now);
    break;
  case attempt_outcome::failed:
    record_endpoint_failure(gateway::endpoint_failure::failed, now);
    break;
  case attempt_outcome::not_run:
    // The endpoint is full, not unhealthy.
    state_.counters.count("endpoint_rejections", {{"service", call_.service}});
    break;
  case attempt_outcome::no_valid_answer:
    if (!is_blamed(result_.cause)) {
      break;
    }
    record_endpoint_failure(result_.end == attempt_result::end_state::not_sent
                                ? gateway::endpoint_failure::unreachable
                                : gateway::endpoint_failure::exchange_failed,
                            now);
    break;
  }
}

// Counts each call once.
void attempt::count_outcome(load::call_result result, mono_time now)
{
  if (!std::exchange(outcome_counted_, true)) {
    state_.endpoints.on_outcome(endpoint_.id, result, now);
  }
}

void attempt::record_endpoint_failure(gateway::endpoint_failure kind, mono_time now)
{
  // Silence does not count for the fleet: under overload sound engines are silent, too, and if all
  // daemons avoided them, the other engines would be overloaded even more.
  if (!result_.silent && !result_.timed_out &&
      (kind != gateway::endpoint_failure::exchange_failed || result_.closed_by_endpoint)) {
    count_outcome(load::call_result::failed, now);
  }
  if (state_.endpoints.on_failure(endpoint_.id, kind, now)) {
    if (kind == gateway::endpoint_failure::unreachable) {
      state_.signal_urgent_update(); // spares the other daemons a timeout each
    }
    state_.log.write(daemon::log_level::warn, "endpoint left out",
                     {{"endpoint", endpoint_.id.value()},
                      {"request", call_.description.request_id},
                      {"reason", result_.reason.empty() ? "no data in time, or a failed response"
                                                        : result_.reason}});
  }
}

void attempt::on_head(const http::response& head)
{
  last_received_at_ = std::chrono::steady_clock::now();
  result_.head_received = true;
  head_ = adapter::decode_answer(head);
  result_.answer = head;
  if (!head_.other_endpoint) {
    result_.statement = head_.statement;
    state_.apply_answer_statement(endpoint_.process(), head_, call_.description.request_id,
                                  sent_at_);
  }
  const auto outcome = gateway::classify_answer(head_, call_.description.request_id);
  streaming_ = head_.is_stream && http::status::is_success(head.status) &&
               outcome == attempt_outcome::answered;
  if (!streaming_ && (outcome == attempt_outcome::answered || outcome == attempt_outcome::failed)) {
    on_response_started();
  }
}

asio::awaitable<void> attempt::on_body_bytes(std::string_view bytes, http::response_writer& writer)
{
  last_received_at_ = std::chrono::steady_clock::now();
  if (streaming_) {
    auto events = splitter_.feed(bytes);
    if (!events.empty()) {
      on_response_started();
      check_well_begun();
      co_await forward_events(std::move(events), writer);
    }
    if (splitter_.pending_bytes() > max_event) {
      abort_oversized("an event is over the size limit");
    }
    co_return;
  }
  if (result_.answer.body.size() + bytes.size() > max_response_body) {
    abort_oversized("the response body is over the size limit");
  }
  result_.answer.body.append(bytes);
}

void attempt::abort_oversized(const char* reason)
{
  count_outcome(load::call_result::failed, last_received_at_);
  throw attempt_aborted(reason);
}

// Forwards complete events, each of them once and in order.
asio::awaitable<void> attempt::forward_events(std::vector<gateway::stream_event> events,
                                              http::response_writer& writer)
{
  if (call_.is_resumable_stream() && !std::exchange(version_bound_, true)) {
    co_await bind_version();
  }
  std::string out;
  for (auto& e : events) {
    ++event_count_;
    if (e.id && call_.last_event_id && *e.id <= *call_.last_event_id) {
      continue;
    }
    if (e.id && call_.last_event_id && *e.id != *call_.last_event_id + 1) {
      event_missing_ = true;
      break;
    }
    if (e.id) {
      call_.last_event_id = e.id;
    }
    out += e.bytes;
  }
  update_progress();
  try {
    if (!call_.stream_started && !out.empty()) {
      call_.stream_started = true;
      http::response head{.status = result_.answer.status, .fields = result_.answer.fields};
      co_await writer.start_stream(std::move(head));
    }
    co_await writer.write_chunk(out);
  } catch (const http::http_error& e) {
    caller_write_failed_ = true;
    throw;
  }
  if (event_missing_) {
    throw attempt_aborted("an event is missing");
  }
}

asio::awaitable<void> attempt::bind_version()
{
  const auto abort = [this](const char* reason) {
    result_.cause = failure_cause::unknown; // the endpoint is not to blame
    throw attempt_aborted(reason);
  };
  const gateway::service_version version{.service = call_.service, .version = endpoint_.version};
  const bool is_same = !call_.stream_version || *call_.stream_version == version;
  if (!is_same || !state_.endpoints.is_version_unchanged(endpoint_)) {
    abort("the endpoint does not have the expected version");
  }
  // It stays bound if it cannot be replicated: a holder may have recorded it all the same.
  call_.stream_version = version;
  if (call_.stream_started || !version.is_stated()) {
    co_return;
  }
  if (const auto& resumed = call_.description.resumed_request; !resumed.empty()) {
    origins_.refresh(stream_of(resumed));
  }
  auto stream = stream_of(call_.description.request_id);
  const bool settled = co_await origins_.settle(std::move(stream));
  if (!settled) {
    abort("the version of the stream could not be replicated");
  }
}

started_stream attempt::stream_of(const std::string& request_id) const
{
  const auto memory = stream_memory(*call_.route);
  return {.origin = {.stream = gateway::stream_id_of(call_.workspace, request_id),
                     .version = *call_.stream_version,
                     .expires_at = std::chrono::steady_clock::now() + memory},
          .services = state_.stream_services(),
          .memory = memory};
}

void attempt::count_retry()
{
  if (call_.history.sent == 0) {
    return;
  }
  const auto& size = call_.description.size;
  state_.counters.count("repeated_prompt_tokens", {{"service", call_.service}},
                        size ? static_cast<std::uint64_t>(size->prompt) : 0);
  if (call_.last_event_id) {
    state_.counters.count("resumes", {{"route", call_.route->name}});
  }
}

// Called when the endpoint has begun to respond: records the time to the first event and counts the
// call in its workspace's usage.
void attempt::on_response_started()
{
  const auto clocks = read_clocks();
  if (!response_started_) {
    response_started_ = true;
    first_event_at_ = clocks.mono;
    state_.counters.observe("first_event_time", clocks.mono - call_.received_at,
                            {{"route", call_.route->name}});
  }
  state_.endpoints.on_first_token(endpoint_.work, clocks.mono);
  if (!call_.usage_counted && !call_.workspace.empty()) {
    call_.usage_counted = true;
    state_.usage.record_start(call_.workspace, state_.clock.now(clocks));
  }
}

gateway::answer_progress attempt::initial_progress() const
{
  if (call_.last_event_id) {
    return {.position = to_position(*call_.last_event_id)};
  }
  return {.position =
              call_.description.is_resume() ? gateway::answer_progress::unknown_position : 0};
}

void attempt::update_progress()
{
  progress_.position = call_.last_event_id
                           ? to_position(*call_.last_event_id)
                           : std::max(progress_.position, to_position(event_count_));
  // The time of the first event is read after that of its bytes.
  const auto since_first = std::max(mono_time::duration(0), last_received_at_ - *first_event_at_);
  progress_.time = std::chrono::duration_cast<milliseconds>(since_first);
  running_->set_progress(progress_);
}

void attempt::check_well_begun()
{
  const auto now = std::chrono::steady_clock::now();
  if (!result_.well_begun && *first_event_at_ + well_begun_time <= now) {
    result_.well_begun = true;
    on_well_begun_();
  }
}

// Whether the call may be sent to another endpoint after this attempt, and there is one.
bool attempt::can_retry_elsewhere() const
{
  const auto& r = *call_.route;
  const bool can_go_on = !call_.stream_started || call_.last_event_id;
  return r.repeatable() && call_.history.sent + 1 < r.max_attempts && can_go_on &&
         has_other_endpoint();
}

bool attempt::has_other_endpoint() const
{
  const auto serving = state_.endpoints.serving(call_.service);
  return std::any_of(serving.begin(), serving.end(), [this](const auto* endpoint) {
    const auto& tried = call_.excluded;
    const bool has_version =
        !call_.stream_version || call_.stream_version->version == endpoint->version;
    return has_version && std::find(tried.begin(), tried.end(), endpoint->id) == tried.end();
  });
}

bool attempt::leave_for_retry()
{
  const auto now = std::chrono::steady_clock::now();
  if (!can_retry_elsewhere() || !state_.retries.take(call_.service, now)) {
    return false;
  }
  call_.has_retry = true;
  result_.silent = true;
  call_.exchange->cancel();
  return true;
}

milliseconds attempt::silence_interval() const
{
  return streaming_ && event_count_ > 0 ? call_.route->max_event_gap : call_.route->target_latency;
}

void attempt::arm_silence_timer()
{
  // Checks once per interval in which data is expected.
  silence_timer_.arm(std::chrono::steady_clock::now() + silence_interval(),
                     [this] { check_silence(); });
}

void attempt::check_silence()
{
  const auto now = std::chrono::steady_clock::now();
  if (state_.endpoints.has_restarted(endpoint_)) {
    // The work on the call is lost. Ends the attempt now: the call is retried elsewhere, or its
    // caller gets an error.
    result_.silent = true;
    result_.reason = "the endpoint has restarted";
    call_.exchange->cancel();
    return;
  }
  if (!result_.relay) {
    transport_.links().on_silence(endpoint_.id, last_received_at_);
  }
  if (lost_link() && leave_for_retry()) {
    result_.reason = "the link to the endpoint was lost";
    return;
  }
  if (!lost_link() && last_received_at_ + unhealthy_after_intervals * silence_interval() <= now) {
    // The attempt continues, since the call may be running, but other calls avoid the endpoint.
    record_endpoint_failure(gateway::endpoint_failure::exchange_failed, now);
  }
  if (last_received_at_ + cancel_after_intervals * silence_interval() <= now && leave_for_retry()) {
    return;
  }
  arm_silence_timer();
}

} // namespace wisteriaflow::relay
