// The simulated callers and endpoints of core_fleet.

#include <algorithm>
#include <cstdio>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "core/core_fleet.h"

namespace wisteriaflow::core {
namespace {

using namespace std::chrono_literals;

constexpr int status_ok = 200;
constexpr int status_see_other = 303;
constexpr int fetch_limit = 20;

// Returns the number of a request from the prompt in `text`: 12 for "wish 12,".
std::size_t request_number_in(std::string_view text)
{
  const auto begin = text.find("wish ");
  return std::stoul(std::string(text.substr(begin + 5, 8)));
}

std::string base_of(const std::string& request_id)
{
  return request_id.substr(0, request_id.rfind('.'));
}

std::string service_answer(const std::string& prompt)
{
  return "done: " + prompt;
}

// Makes a version 7 UUID with the creation time `at`.
std::string key_made_at(wall_time at, std::size_t n)
{
  std::array<char, 64> buf{};
  const auto ms = static_cast<unsigned long long>(to_unix_ms(at));
  std::snprintf(buf.data(), buf.size(), "%08llx-%04llx-7000-8000-%012zx", ms >> 16U, ms & 0xffffU,
                n);
  return buf.data();
}

std::string full_text(const core_fleet::caller_request& w)
{
  std::string out;
  for (std::uint64_t i = 0; i < w.tokens; ++i) {
    out += token_of(w.prompt, i);
  }
  return out;
}

// Returns the value of a line "name: value" of a server-sent event, or an empty string.
std::string value_of_line(const std::string& text, const std::string& name)
{
  const auto begin = text.find(name + ": ");
  if (begin == std::string::npos) {
    return {};
  }
  const auto from = begin + name.size() + 2;
  return text.substr(from, text.find('\n', from) - from);
}

} // namespace

void core_fleet::submit(std::size_t n, bool generation, bool streamed, bool idempotent)
{
  const auto d = open_daemon(n);
  if (!d) {
    return;
  }
  const auto number = requests_.size();
  requests_.push_back(
      {.generation = generation,
       .streamed = generation && streamed,
       .idempotent = idempotent,
       .key = key_made_at(clock_of(1).wall, number),
       .prompt = "wish " + std::to_string(number) + ", " + std::string(n % 400, 'x'),
       .tokens = static_cast<std::uint64_t>(random_ms(2, 120).count())});
  post(number, *d);
}

void core_fleet::submit_again(std::size_t request_number, std::size_t n)
{
  const auto d = open_daemon(n);
  if (d && !requests_.empty()) {
    post(request_number % requests_.size(), *d);
  }
}

void core_fleet::drop_caller(std::size_t n)
{
  std::vector<std::uint64_t> open;
  for (const auto& [number, c] : calls_) {
    if (!c.ended && !c.closed) {
      open.push_back(number);
    }
  }
  if (open.empty()) {
    return;
  }
  auto& c = calls_.at(open[n % open.size()]);
  c.closed = true;
  deliver(c.daemon, c.incarnation, caller_closed{open[n % open.size()]});
  fetch_later(c);
}

std::optional<std::size_t> core_fleet::open_daemon(std::size_t n) const
{
  for (std::size_t i = 0; i < daemon_count; ++i) {
    const auto d = (n + i) % daemon_count;
    if (daemons_.at(d).core && daemons_.at(d).accepting) {
      return d;
    }
  }
  return std::nullopt;
}

void core_fleet::post(std::size_t w, std::size_t d)
{
  auto& wanted = requests_.at(w);
  ++wanted.posts;
  http::request message{.method = "POST", .target = "/v1/completions"};
  message.fields = {
      {.name = "Wisteriaflow-Workspace", .value = "hotel"},
      {.name = "Idempotency-Key", .value = wanted.key},
      {.name = "Wisteriaflow-Idempotent", .value = wanted.idempotent ? "true" : "false"}};
  if (wanted.generation) {
    message.body = boost::json::serialize(boost::json::object{{"model", "phrasebook"},
                                                              {"prompt", wanted.prompt},
                                                              {"max_tokens", wanted.tokens},
                                                              {"stream", wanted.streamed}});
  } else {
    message.target = "/services/deliveries/confirm";
    message.body = wanted.prompt;
  }
  open({.request = w, .daemon = d, .is_post = true}, std::move(message));
}

void core_fleet::fetch(std::size_t w, std::size_t d, std::uint64_t received)
{
  const auto& wanted = requests_.at(w);
  http::request message{.target = "/v1/answers/" + wanted.key};
  message.fields = {{.name = "Wisteriaflow-Workspace", .value = "hotel"}};
  if (wanted.streamed) {
    message.fields.push_back({.name = "Accept", .value = "text/event-stream"});
  }
  if (received > 0) {
    message.fields.push_back({.name = "Last-Event-ID", .value = std::to_string(received - 1)});
  }
  open({.request = w, .daemon = d, .received = received}, std::move(message));
}

void core_fleet::open(const call& fresh, http::request message)
{
  const auto number = ++last_number_;
  auto& c = calls_.emplace(number, fresh).first->second;
  c.incarnation = daemons_.at(c.daemon).incarnation;
  deliver(c.daemon, c.incarnation, call_received{number, std::move(message)});
}

void core_fleet::on_response(call& c, const http::response& whole)
{
  auto& w = requests_.at(c.request);
  if (whole.status == status_see_other) {
    follow(c, std::string(http::find_header(whole.fields, "Location")));
    return;
  }
  const auto outcome = http::find_header(whole.fields, "Wisteriaflow-Outcome");
  if (outcome == "refused-not-run") {
    w.refused_posts += c.is_post ? 1 : 0;
    record_result(c.request, request_result::refused, whole.body);
  } else if (outcome == "outcome-unknown") {
    record_result(c.request, request_result::unknown, whole.body);
  } else if (outcome != "answered" || whole.status != status_ok) {
    record_result(c.request, request_result::invalid,
                  std::to_string(whole.status) + " " + whole.body);
  } else {
    const auto text =
        w.generation
            ? std::string(boost::json::parse(whole.body).at_pointer("/choices/0/text").as_string())
            : whole.body;
    if (text != (w.generation ? full_text(w) : service_answer(w.prompt))) {
      add_violation("a wrong answer to " + w.prompt + ": " + whole.body);
    }
    record_result(c.request, request_result::answered, {});
  }
}

void core_fleet::on_bytes(call& c, const std::string& bytes)
{
  c.unparsed += bytes;
  for (auto end = c.unparsed.find("\n\n"); end != std::string::npos;
       end = c.unparsed.find("\n\n")) {
    const auto text = c.unparsed.substr(0, end);
    c.unparsed.erase(0, end + 2);
    on_stream_event(c, text);
  }
  if (c.ended && c.unparsed != "at end") {
    add_violation("a stream ended without a final event: " + requests_.at(c.request).prompt);
  }
}

void core_fleet::on_stream_event(call& c, const std::string& text)
{
  auto& w = requests_.at(c.request);
  const auto data = value_of_line(text, "data");
  const auto kind = value_of_line(text, "event");
  const auto id = value_of_line(text, "id");
  if (!id.empty()) {
    const auto token = boost::json::parse(data).at_pointer("/choices/0/text").as_string();
    if (id != std::to_string(c.received) || token != token_of(w.prompt, c.received)) {
      add_violation("a stream of " + w.prompt + " has at token " + std::to_string(c.received) +
                    " " + text);
    }
    ++c.received;
  } else if (data == "[DONE]") {
    c.unparsed = "at end";
    if (c.received != w.tokens) {
      add_violation("a stream of " + w.prompt + " ended without an error after " +
                    std::to_string(c.received));
    }
    record_result(c.request, request_result::answered, {});
  } else if (kind == "moved") {
    c.unparsed = "at end";
    follow(c, std::string(boost::json::parse(data).at("location").as_string()));
  } else if (kind == "error") {
    c.unparsed = "at end";
    const bool refused = data.find("refused_not_run") != std::string::npos;
    w.refused_posts += refused && c.is_post ? 1 : 0;
    record_result(c.request, refused ? request_result::refused : request_result::unknown, data);
  }
}

// Fetches the answer from a redirect location such as "http://10.0.0.2:80/v1/answers/{key}". The
// last digit of the address is the daemon's number.
void core_fleet::follow(const call& c, const std::string& location)
{
  const auto d = static_cast<std::size_t>(location.at(location.find(":80") - 1) - '0');
  auto& w = requests_.at(c.request);
  if (++w.fetches > fetch_limit) {
    record_result(c.request, request_result::lost, "too many redirects between daemons");
    return;
  }
  schedule_after(random_ms(2, 200), [this, c, d] {
    if (daemons_.at(d).core && daemons_.at(d).accepting) {
      fetch(c.request, d, c.received);
    } else {
      fetch_later(c);
    }
  });
}

void core_fleet::fetch_later(const call& c)
{
  if (++requests_.at(c.request).fetches > fetch_limit) {
    record_result(c.request, request_result::lost, "no daemon accepted a call");
    return;
  }
  schedule_after(random_ms(100, 900), [this, c] {
    const auto d = open_daemon(static_cast<std::size_t>(random_ms(0, 2).count()));
    if (d) {
      fetch(c.request, *d, c.received);
    } else {
      fetch_later(c);
    }
  });
}

void core_fleet::record_result(std::size_t w, request_result state, const std::string& why)
{
  auto& settled = requests_.at(w);
  if (state != request_result::answered && state != request_result::refused) {
    ++settled.interruptions;
    settled.interruption_cause = why;
  }
  if (settled.result != request_result::answered) {
    settled.result = state;
  }
}

void core_fleet::add_endpoint(bool is_engine)
{
  constexpr std::array intervals{20ms, 30ms, 60ms};
  const auto n = endpoints_.size();
  fake_endpoint fresh;
  fresh.id = (is_engine ? "engine-" : "desk-") + std::to_string(n);
  fresh.address = {.host = "10.0.2.1", .port = static_cast<std::uint16_t>(n + 1)};
  fresh.is_engine = is_engine;
  fresh.token_interval = intervals.at(n % intervals.size());
  endpoints_.push_back(std::move(fresh));
}

// Returns an endpoint that is alive and has no reclaim notice, and is not the last such endpoint of
// its kind.
std::optional<std::size_t> core_fleet::replaceable_endpoint(std::size_t n) const
{
  const auto stays = [](const fake_endpoint& e) {
    return e.alive && e.noticed_at == mono_time::max();
  };
  std::vector<std::size_t> found;
  for (std::size_t i = 0; i < endpoints_.size(); ++i) {
    const auto& e = endpoints_[i];
    const auto alike = std::count_if(endpoints_.begin(), endpoints_.end(), [&](const auto& other) {
      return stays(other) && other.is_engine == e.is_engine;
    });
    if (stays(e) && alike > 1) {
      found.push_back(i);
    }
  }
  return found.empty() ? std::nullopt : std::optional(found[n % found.size()]);
}

void core_fleet::reclaim(std::size_t n, std::chrono::milliseconds notice)
{
  const auto chosen = replaceable_endpoint(n);
  if (!chosen) {
    return;
  }
  endpoints_[*chosen].noticed_at = now_;
  endpoints_[*chosen].reclaim_at = now_ + notice;
  for (std::size_t d = 0; d < daemon_count; ++d) {
    deliver_notices(d);
  }
  schedule_after(notice, [this, e = *chosen] { end_endpoint(e); });
}

void core_fleet::kill(std::size_t n)
{
  if (const auto chosen = replaceable_endpoint(n)) {
    end_endpoint(*chosen);
  }
}

void core_fleet::end_endpoint(std::size_t n)
{
  if (!endpoints_[n].alive) {
    return;
  }
  endpoints_[n].alive = false;
  endpoints_[n].listed_until = now_ + 3s;
  schedule_after(random_ms(500, 3'000),
                 [this, is_engine = endpoints_[n].is_engine] { add_endpoint(is_engine); });
}

void core_fleet::receive(const exchange& e, const http::request& message)
{
  auto& to = endpoints_.at(e.endpoint);
  if (!to.alive) {
    deliver(e.daemon, e.incarnation, exchange_failed{e.number, exchange_failure::not_sent});
    return;
  }
  const std::string cancel = "/v1/requests/";
  if (message.target == "/v1/completions") {
    run_generation(e, message);
  } else if (message.target.starts_with(cancel)) {
    to.runs.erase(message.target.substr(cancel.size()));
    answer(e, status_ok, "{}");
  } else if (message.target == "/kv/export") {
    const auto id = std::string(boost::json::parse(message.body).at("request_id").as_string());
    answer(e, to.runs.contains(id) ? status_ok : 404,
           boost::json::serialize(boost::json::object{{"handle", id}}));
  } else if (message.target == "/kv/import") {
    const auto body = boost::json::parse(message.body);
    const auto from = std::find_if(endpoints_.begin(), endpoints_.end(), [&](const auto& other) {
      return to_string(other.address) == body.at("from").as_string();
    });
    const bool reached = from != endpoints_.end() && from->alive;
    if (reached) {
      to.imported.insert(std::string(body.at("handle").as_string()));
    }
    answer(e, reached ? status_ok : 404, "{}");
  } else if (to.is_engine) {
    answer(e, status_ok, "{}"); // POST /orders
  } else {
    run_service(e, message);
  }
}

void core_fleet::answer(const exchange& e, int status, const std::string& body)
{
  schedule_after(random_ms(1, 5), [this, e, status, body] {
    deliver(e.daemon, e.incarnation, exchange_head{e.number, {.status = status}});
    deliver(e.daemon, e.incarnation, exchange_bytes{e.number, body});
    deliver(e.daemon, e.incarnation, exchange_ended{e.number});
  });
}

void core_fleet::run_generation(const exchange& e, const http::request& message)
{
  auto& to = endpoints_.at(e.endpoint);
  const std::string id(http::find_header(message.fields, "Request-Id"));
  const auto number = request_number_in(message.body);
  const auto body = boost::json::parse(message.body);
  const auto* resumed = body.as_object().if_contains("resume_tokens");
  // With an imported cache, the run continues the one that exported it, if that has stopped, and
  // does not count as a second run.
  const bool goes_on = std::any_of(to.imported.begin(), to.imported.end(), [&](const auto& source) {
    const bool stopped = std::none_of(endpoints_.begin(), endpoints_.end(), [&](const auto& other) {
      return other.alive && other.runs.contains(source);
    });
    return base_of(source) == base_of(id) && stopped;
  });
  requests_.at(number).runs += goes_on ? 0 : 1;
  to.runs.emplace(id, number);
  deliver(e.daemon, e.incarnation, exchange_head{e.number, {.status = status_ok}});
  const auto first = resumed == nullptr ? 0 : resumed->to_number<std::uint64_t>();
  schedule_after(to.token_interval, [this, e, id, first] { next_token(e, id, first); });
}

void core_fleet::next_token(const exchange& e, const std::string& id, std::uint64_t i)
{
  auto& to = endpoints_.at(e.endpoint);
  if (!to.alive) {
    deliver(e.daemon, e.incarnation, exchange_failed{e.number, exchange_failure::interrupted});
    return;
  }
  if (!to.runs.contains(id)) {
    deliver(e.daemon, e.incarnation, exchange_ended{e.number}); // cancelled
    return;
  }
  const auto& w = requests_.at(to.runs.at(id));
  const bool last = i + 1 >= w.tokens;
  boost::json::object choice{{"index", 0}, {"text", token_of(w.prompt, i)}};
  boost::json::object data{{"offset", i}};
  if (last) {
    choice["finish_reason"] = "length";
    data["usage"] = boost::json::object{{"prompt_tokens", 1}, {"completion_tokens", w.tokens}};
  }
  data["choices"] = boost::json::array{choice};
  auto bytes = "data: " + boost::json::serialize(data) + "\n\n";
  if (last) {
    bytes += "data: [DONE]\n\n";
    to.runs.erase(id);
  }
  deliver(e.daemon, e.incarnation, exchange_bytes{e.number, std::move(bytes)});
  if (last) {
    deliver(e.daemon, e.incarnation, exchange_ended{e.number});
  } else {
    schedule_after(to.token_interval, [this, e, id, i] { next_token(e, id, i + 1); });
  }
}

void core_fleet::run_service(const exchange& e, const http::request& message)
{
  ++requests_.at(request_number_in(message.body)).runs;
  schedule_after(random_ms(5, 400), [this, e, body = message.body] {
    if (endpoints_.at(e.endpoint).alive) {
      answer(e, status_ok, service_answer(body));
    } else {
      deliver(e.daemon, e.incarnation, exchange_failed{e.number, exchange_failure::interrupted});
    }
  });
}

} // namespace wisteriaflow::core
