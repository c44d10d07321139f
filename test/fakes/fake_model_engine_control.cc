// The requests of the fake model engine other than completions: settings, load, cache events, KV
// state and orders.

#include <algorithm>
#include <utility>

#include <boost/asio/use_awaitable.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value_from.hpp>
#include <boost/json/value_to.hpp>

#include "fake_model_engine.h"
#include "wisteriaflow/http/errors.h"

namespace wisteriaflow::fakes {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr std::chrono::seconds import_timeout{10};
constexpr std::string_view handle_prefix = "kv-";

} // namespace

void fake_model_engine::set(const json::value& changes)
{
  read_field(changes, "token_interval_ms", settings_.token_interval_ms);
  read_field(changes, "prefill_ms_per_token", settings_.prefill_ms_per_token);
  read_field(changes, "load_lag_ms", settings_.load_lag_ms);
  read_field(changes, "event_lag_ms", settings_.event_lag_ms);
  read_field(changes, "load_model_ms", settings_.load_model_ms);
  read_field(changes, "drop_events_every", settings_.drop_events_every);
  read_field(changes, "max_running", settings_.max_running);
  read_field(changes, "checks_fencing", settings_.checks_fencing);
}

json::value fake_model_engine::stats() const
{
  return {{"runs", json::value_from(runs_)},
          {"resumes", json::value_from(resumes_)},
          {"requests", json::value_from(requests_)},
          {"started", json::value_from(started_)},
          {"cancelled", json::value_from(cancelled_)},
          {"recomputed_tokens", recomputed_tokens_},
          {"prefilled_tokens", prefilled_tokens_},
          {"requests_received_at_unix_ms", json::value_from(received_at_)},
          {"orders", orders_}};
}

fake_reply fake_model_engine::dispatch(const fake_request& received)
{
  const auto& parts = received.segments;
  if (received.is("GET", "/load")) {
    return load();
  }
  if (received.is("GET", "/cache-events")) {
    return cache_events_after(http::find_header(received.query, "after", "0"));
  }
  if (received.is("POST", "/kv/export")) {
    return export_kv(string_field(received.body, "request_id"));
  }
  if (received.is("GET", "/_fake/kv")) {
    return kv_state(std::string(http::find_header(received.query, "handle")));
  }
  if (received.is("GET", "/_fake/stats")) {
    return {.body = stats()};
  }
  if (received.is("POST", "/_fake/settings")) {
    set(received.body);
    return {};
  }
  if (received.is("POST", "/_fake/fail")) {
    return inject_failure(received.body);
  }
  if (received.method == "DELETE" && parts.size() == 3 && parts[1] == "requests") {
    return cancel(parts[2]);
  }
  return error_reply(404, "NotFound");
}

fake_reply fake_model_engine::export_kv(const std::string& request_id) const
{
  const auto known = by_request_id_.find(request_id);
  if (known == by_request_id_.end()) {
    return error_reply(404, "NotFound");
  }
  const auto tokens = known->second->prompt_tokens + known->second->next;
  return {.body = {{"handle", std::string(handle_prefix) + request_id}, {"tokens", tokens}}};
}

fake_reply fake_model_engine::kv_state(const std::string& handle) const
{
  const auto known =
      by_request_id_.find(handle.substr(std::min(handle_prefix.size(), handle.size())));
  if (known == by_request_id_.end()) {
    return error_reply(404, "NotFound");
  }
  const auto& r = *known->second;
  return {.body = {{"model", r.model}, {"prompt", r.prompt}, {"made", r.next}}};
}

asio::awaitable<void> fake_model_engine::import_kv(fake_request received, http::response_writer& w)
{
  http::response fetched;
  fetched.status = 0;
  try {
    const auto from = http::parse_socket_address(string_field(received.body, "from"));
    http::request wanted;
    wanted.target = "/_fake/kv?handle=" + string_field(received.body, "handle");
    const auto deadline = std::chrono::steady_clock::now() + import_timeout;
    fetched = co_await client_.call(from, wanted, deadline);
  } catch (const http::http_error&) {
    fetched.status = 0; // the engine to fetch from is gone
  }
  auto reply = error_reply(502, "SourceGone");
  if (fetched.status == 200) {
    reply = store_imported_kv(json::parse(fetched.body));
  }
  co_await send(w, std::move(reply));
}

fake_reply fake_model_engine::store_imported_kv(const json::value& kv)
{
  const auto model = string_field(kv, "model");
  const auto prompt = string_field(kv, "prompt");
  const auto generated = static_cast<std::size_t>(integer_field(kv, "made"));
  imported_tokens_[answer_hash(model, prompt)] = generated;
  cache_.insert(block_hashes(model, prompt), wall_now());
  return {.body = {{"tokens", count_words(prompt) + generated}}};
}

asio::awaitable<void> fake_model_engine::handle_order(fake_request received,
                                                      http::response_writer& w)
{
  const auto number = integer_field(received.body, "fencing_number");
  if (settings_.checks_fencing && number < highest_fencing_number_) {
    auto reply = error_reply(409, "OldFencingNumber");
    co_await send(w, std::move(reply));
    co_return;
  }
  highest_fencing_number_ = std::max(highest_fencing_number_, number);
  orders_.push_back(received.body);
  const auto order = string_field(received.body, "order");
  const auto model = string_field(received.body, "model");
  if (order == "load") {
    co_await async_sleep(settings_.load_model_ms);
    models_.insert(model);
  } else if (order == "unload") {
    models_.erase(model);
  }
  fake_reply reply;
  co_await send(w, std::move(reply));
}

fake_reply fake_model_engine::cache_events_after(std::string_view number) const
{
  const auto after = std::stoll(std::string(number));
  const auto visible_until = wall_now() - settings_.event_lag_ms;
  json::array out;
  for (const auto& each : cache_.events()) {
    const bool dropped =
        settings_.drop_events_every > 0 && each.sequence % settings_.drop_events_every == 0;
    if (each.sequence > after && each.at <= visible_until && !dropped) {
      out.push_back({{"sequence", each.sequence},
                     {"prefix_hash", hash_hex(each.prefix_hash)},
                     {"kind", each.stored ? "stored" : "evicted"}});
    }
  }
  return {.body = {{"events", std::move(out)}}};
}

fake_reply fake_model_engine::load() const
{
  const auto measured_at = wall_now() - settings_.load_lag_ms;
  const auto report = load_history_.at(measured_at);
  return {.body = {{"running", report.running},
                   {"waiting", report.waiting},
                   {"max_running", settings_.max_running},
                   {"kv_used", report.kv_used},
                   {"kv_total", cache_.capacity() * block_words},
                   {"measured_at_unix_ms", to_unix_ms(measured_at)}}};
}

fake_reply fake_model_engine::inject_failure(const json::value& body)
{
  if (body.as_object().contains("die")) {
    close();
    return {};
  }
  cut_after_tokens_ = static_cast<std::size_t>(integer_field(body, "after_tokens"));
  remaining_cuts_ = integer_field(body, "times", 1);
  return {};
}

} // namespace wisteriaflow::fakes
