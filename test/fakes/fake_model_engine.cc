#include "fake_model_engine.h"

#include <algorithm>
#include <utility>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/serialize.hpp>

#include "wisteriaflow/http/errors.h"

namespace wisteriaflow::fakes {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr std::int64_t default_max_tokens = 16;
constexpr int cancelled_status = 499;

http::response stream_head()
{
  http::response head;
  head.fields.push_back({.name = "Content-Type", .value = "text/event-stream"});
  return head;
}

std::string event(const json::value& data)
{
  return "data: " + json::serialize(data) + "\n\n";
}

} // namespace

fake_model_engine::run::run(asio::io_context& context, const fake_request& received)
    : request_id(http::find_header(received.fields, "Request-Id", "unnamed")),
      key(http::find_header(received.fields, "Idempotency-Key")),
      model(string_field(received.body, "model")), prompt(string_field(received.body, "prompt")),
      resume_text(string_field(received.body, "resume_text")),
      priority(integer_field(received.body, "priority")),
      first(static_cast<std::size_t>(integer_field(received.body, "resume_tokens"))), next(first),
      last(
          static_cast<std::size_t>(integer_field(received.body, "max_tokens", default_max_tokens))),
      prompt_tokens(count_words(prompt)), wake_timer(context)
{
  read_field(received.body, "stream", streamed);
}

json::value fake_model_engine::run::usage() const
{
  return {{"prompt_tokens", prompt_tokens},
          {"completion_tokens", next - first},
          {"cached_tokens", cached_tokens},
          {"recomputed_tokens", recomputed_tokens}};
}

std::string fake_model_engine::run::render_event(std::size_t offset, std::string_view token,
                                                 std::string_view finish_reason) const
{
  json::object choice = {{"index", 0}, {"text", token}};
  json::object data = {{"offset", offset}};
  if (!finish_reason.empty()) {
    choice["finish_reason"] = finish_reason;
    data["usage"] = usage();
  }
  data["choices"] = json::array{std::move(choice)};
  return event(data);
}

fake_reply fake_model_engine::run::completion_reply() const
{
  const json::object choice = {
      {"index", 0}, {"text", tokens_text(model, prompt, first, last)}, {"finish_reason", "stop"}};
  return {.body = {{"id", request_id},
                   {"model", model},
                   {"choices", json::array{choice}},
                   {"usage", usage()}}};
}

fake_model_engine::fake_model_engine(asio::io_context& context, std::uint16_t port,
                                     model_engine_settings settings)
    : fake_server(context, port), settings_(std::move(settings)), client_(context),
      cache_(static_cast<std::size_t>(settings_.kv_blocks)),
      models_(settings_.models.begin(), settings_.models.end())
{
  load_history_.set(wall_time{}, {});
}

void fake_model_engine::close()
{
  fake_server::close();
  for (const auto& each : running_) {
    each->wake_timer.cancel();
  }
  for (const auto& each : waiting_) {
    each->wake_timer.cancel();
  }
}

asio::awaitable<void> fake_model_engine::serve(fake_request received, http::response_writer& w)
{
  if (received.is("POST", "/v1/completions")) {
    co_await complete(std::move(received), w);
  } else if (received.is("POST", "/kv/import")) {
    co_await import_kv(std::move(received), w);
  } else if (received.is("POST", "/orders")) {
    co_await handle_order(std::move(received), w);
  } else {
    auto reply = dispatch(received);
    co_await send(w, std::move(reply));
  }
}

asio::awaitable<void> fake_model_engine::complete(fake_request received, http::response_writer& w)
{
  received_at_.push_back(to_unix_ms(wall_now()));
  const auto wanted = std::make_shared<run>(context_, received);
  auto refusal = validation_error(*wanted);
  if (refusal) {
    co_await send(w, std::move(*refusal));
    co_return;
  }
  by_request_id_[wanted->request_id] = wanted;
  w.on_peer_closed([this, wanted] { cancel(*wanted); });
  co_await wait_for_slot(wanted);
  bool disconnected = false;
  try {
    co_await generate(wanted, w);
  } catch (const http::http_error&) {
    disconnected = true; // the caller has disconnected
  }
  finish_run(wanted);
  if (disconnected) {
    w.abort();
  }
}

std::optional<fake_reply> fake_model_engine::validation_error(const run& wanted) const
{
  if (!settings_.models.empty() && !models_.contains(wanted.model)) {
    return error_reply(404, "ModelNotLoaded");
  }
  if (wanted.first > wanted.last) {
    return error_reply(400, "ResumesBeyondTheEnd");
  }
  const auto expected = tokens_text(wanted.model, wanted.prompt, 0, wanted.first);
  if (wanted.first > 0 && !wanted.resume_text.empty() && wanted.resume_text != expected) {
    return error_reply(400, "ResumesAnotherText");
  }
  return std::nullopt;
}

asio::awaitable<void> fake_model_engine::wait_for_slot(run_pointer wanted)
{
  const auto free = settings_.max_running - static_cast<std::int64_t>(running_.size());
  if (free > 0 && waiting_.empty()) {
    running_.insert(wanted);
    record_load();
    co_return;
  }
  const auto later = std::find_if(waiting_.begin(), waiting_.end(), [&](const run_pointer& each) {
    return each->priority < wanted->priority;
  });
  waiting_.insert(later, wanted);
  record_load();
  while (!running_.contains(wanted) && !wanted->cancelled && !closed_) {
    wanted->wake_timer.expires_at(asio::steady_timer::time_point::max());
    boost::system::error_code ec;
    co_await wanted->wake_timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
  }
}

asio::awaitable<void> fake_model_engine::generate(run_pointer running, http::response_writer& w)
{
  auto& r = *running;
  if (!r.cancelled && !closed_) {
    const auto cost = static_cast<double>(prefill(r));
    const std::chrono::duration<double, std::milli> time(cost * settings_.prefill_ms_per_token);
    co_await interruptible_sleep(running, time);
  }
  const bool streaming = r.streamed && !r.cancelled && !closed_;
  if (streaming) {
    auto head = stream_head();
    co_await w.start_stream(std::move(head));
  }
  const bool completed = co_await generate_tokens(running, w);
  if (!completed && !r.cancelled) {
    w.abort();
    co_return;
  }
  if (streaming) {
    const std::string end =
        completed ? "data: [DONE]\n\n" : r.render_event(r.next, "", "cancelled");
    co_await w.write_chunk(end);
    co_await w.finish_stream();
    co_return;
  }
  auto reply = completed ? r.completion_reply() : error_reply(cancelled_status, "Cancelled");
  co_await send(w, std::move(reply));
}

// Returns whether the answer was completed. An answer without tokens still has a last event.
asio::awaitable<bool> fake_model_engine::generate_tokens(run_pointer running,
                                                         http::response_writer& w)
{
  auto& r = *running;
  for (bool ended = false; !ended;) {
    const bool more = r.next < r.last;
    if (more) {
      co_await interruptible_sleep(running, settings_.token_interval_ms);
    }
    if (r.cancelled || closed_ || should_cut(r)) {
      co_return false;
    }
    const auto offset = r.next;
    const auto token = more ? token_text(r.model, r.prompt, offset) : std::string();
    r.next += more ? 1 : 0;
    ended = r.next == r.last;
    if (r.streamed) {
      const auto chunk = r.render_event(offset, token, ended ? "stop" : "");
      co_await w.write_chunk(chunk);
    }
  }
  co_return true;
}

asio::awaitable<void>
fake_model_engine::interruptible_sleep(run_pointer running,
                                       std::chrono::duration<double, std::milli> time)
{
  if (time.count() > 0 && !running->cancelled && !closed_) {
    running->wake_timer.expires_after(std::chrono::duration_cast<std::chrono::nanoseconds>(time));
    boost::system::error_code ec;
    co_await running->wake_timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
  }
}

// Counts the run and returns how many tokens it must process before it generates its first one.
std::size_t fake_model_engine::prefill(run& started)
{
  started_.push_back(started.request_id);
  ++requests_[started.request_id];
  if (!started.key.empty()) {
    ++(started.first == 0 ? runs_ : resumes_)[started.key];
  }
  const auto blocks = block_hashes(started.model, started.prompt);
  started.cached_tokens = cache_.match(blocks) * block_words;
  const auto imported = imported_tokens_.find(answer_hash(started.model, started.prompt));
  std::size_t resumed = started.first;
  if (imported != imported_tokens_.end()) {
    started.cached_tokens = started.prompt_tokens;
    resumed -= std::min(resumed, imported->second);
  }
  const auto cost = started.prompt_tokens - started.cached_tokens + resumed;
  started.recomputed_tokens = started.first > 0 ? cost : 0;
  recomputed_tokens_ += started.recomputed_tokens;
  prefilled_tokens_ += cost;
  cache_.insert(blocks, wall_now());
  record_load();
  return cost;
}

bool fake_model_engine::should_cut(const run& running)
{
  if (!cut_after_tokens_ || remaining_cuts_ == 0 ||
      running.next - running.first < *cut_after_tokens_) {
    return false;
  }
  --remaining_cuts_;
  return true;
}

void fake_model_engine::finish_run(const run_pointer& ended)
{
  running_.erase(ended);
  waiting_.remove(ended);
  while (!waiting_.empty() && static_cast<std::int64_t>(running_.size()) < settings_.max_running) {
    const auto next = waiting_.front();
    waiting_.pop_front();
    running_.insert(next);
    next->wake_timer.cancel();
  }
  record_load();
}

fake_reply fake_model_engine::cancel(const std::string& request_id)
{
  const auto known = by_request_id_.find(request_id);
  if (known == by_request_id_.end()) {
    return error_reply(404, "NotFound");
  }
  cancel(*known->second);
  return {};
}

void fake_model_engine::cancel(run& wanted)
{
  if (!wanted.cancelled && wanted.next < wanted.last) {
    wanted.cancelled = true;
    cancelled_.push_back(wanted.request_id);
    wanted.wake_timer.cancel();
  }
}

void fake_model_engine::record_load()
{
  const load_report report{.running = static_cast<std::int64_t>(running_.size()),
                           .waiting = static_cast<std::int64_t>(waiting_.size()),
                           .kv_used = static_cast<std::int64_t>(cache_.size() * block_words)};
  load_history_.set(wall_now(), report);
}

} // namespace wisteriaflow::fakes
