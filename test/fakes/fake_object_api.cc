#include "fake_object_api.h"

#include <algorithm>
#include <charconv>
#include <ctime>
#include <regex>
#include <utility>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_to.hpp>

namespace wisteriaflow::fakes {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr std::string_view root = "/apis/wisteriaflow.dev/v1/";
constexpr std::size_t root_segments = 3;
constexpr std::size_t value_limit = std::size_t{1024} * 1024;
constexpr std::size_t history_limit = 50'000; // changes
constexpr std::int64_t default_watch_seconds = 30;

fake_reply failure(int status, std::string_view reason, std::string_view message)
{
  return {.status = status,
          .body = {{"kind", "Status"},
                   {"status", "Failure"},
                   {"reason", reason},
                   {"code", status},
                   {"message", message}}};
}

std::uint64_t to_number(std::string_view text)
{
  std::uint64_t out = 0;
  std::from_chars(text.data(), text.data() + text.size(), out);
  return out;
}

std::string timestamp()
{
  const std::time_t now = std::time(nullptr);
  std::tm parts{};
  gmtime_r(&now, &parts);
  std::string out(sizeof("2026-01-01T00:00:00Z") - 1, '\0');
  std::strftime(out.data(), out.size() + 1, "%Y-%m-%dT%H:%M:%SZ", &parts);
  return out;
}

json::object& metadata_of(json::value& object)
{
  auto& members = object.as_object();
  if (!members.contains("metadata")) {
    members["metadata"] = json::object();
  }
  return members["metadata"].as_object();
}

std::string version_of(const json::value& object)
{
  const auto* metadata = object.as_object().if_contains("metadata");
  return metadata == nullptr ? "" : string_field(*metadata, "resourceVersion");
}

// Supports only equality terms ("k=v", "k!=v", joined by commas). Throws std::invalid_argument for
// other terms.
bool matches_selector(std::string_view selector, const json::value& object)
{
  const auto* labels = object.at("metadata").as_object().if_contains("labels");
  const json::value none = json::object();
  while (!selector.empty()) {
    const auto end = selector.find(',');
    const auto term = selector.substr(0, end);
    const auto equals = term.find('=');
    if (equals == std::string_view::npos || equals == 0) {
      throw std::invalid_argument("unknown selector term: " + std::string(term));
    }
    const bool negated = term[equals - 1] == '!';
    const auto name = term.substr(0, negated ? equals - 1 : equals);
    const auto value = string_field(labels == nullptr ? none : *labels, name);
    if ((value == term.substr(equals + 1)) == negated) {
      return false;
    }
    selector = end == std::string_view::npos ? "" : selector.substr(end + 1);
  }
  return true;
}

std::string event_line(std::string_view kind, const json::value& object)
{
  return json::serialize(json::value{{"type", kind}, {"object", object}}) + "\n";
}

std::string bookmark_line(std::uint64_t version)
{
  const json::value object = {{"metadata", {{"resourceVersion", std::to_string(version)}}}};
  return event_line("BOOKMARK", object);
}

} // namespace

fake_object_api::fake_object_api(asio::io_context& context, std::uint16_t port)
    : fake_server(context, port), changed_(context, asio::steady_timer::time_point::max())
{
}

void fake_object_api::set_faults(const json::value& changes)
{
  read_field(changes, "outage", faults_.outage);
  read_field(changes, "delay_ms", faults_.delay_ms);
  read_field(changes, "lose_answers", faults_.lose_answers);
  read_field(changes, "lose_answer_probability", faults_.lose_answer_probability);
  read_field(changes, "drop_events", events_to_drop_);
  if (changes.as_object().contains("seed")) {
    read_field(changes, "seed", faults_.seed);
    rng_.seed(faults_.seed);
  }
  if (changes.as_object().contains("stale_for_ms")) {
    const std::chrono::milliseconds time(integer_field(changes, "stale_for_ms"));
    stale_until_ = std::chrono::steady_clock::now() + time;
    stale_objects_ = objects_;
    stale_version_ = version_;
  }
  changed_.cancel(); // wakes watches and hanging calls, as an outage may have begun or ended
}

void fake_object_api::forget_history()
{
  history_.clear();
  history_start_ = version_;
}

asio::awaitable<void> fake_object_api::serve(fake_request received, http::response_writer& w)
{
  if (received.path.starts_with("/_fake/")) {
    auto reply = handle_control_request(received);
    co_await send(w, std::move(reply));
    co_return;
  }
  const bool watching = http::find_header(received.query, "watch") == "true";
  const bool reading = received.method == "GET";
  auto& count = watching ? counts_.watches : (reading ? counts_.reads : counts_.writes);
  ++count;
  co_await async_sleep(faults_.delay_ms);
  const bool up = co_await check_outage(w);
  if (!up) {
    co_return;
  }
  if (watching) {
    co_await watch(std::move(received), w);
    co_return;
  }
  auto reply = dispatch(received);
  if (!reading && decide_lost_answer()) {
    w.abort();
    co_return;
  }
  co_await send(w, std::move(reply));
}

// Returns whether the call may proceed; otherwise it has been answered or its connection closed.
asio::awaitable<bool> fake_object_api::check_outage(http::response_writer& w)
{
  if (faults_.outage == "refuse") {
    auto reply = failure(503, "ServiceUnavailable", "the object API is down");
    co_await send(w, std::move(reply));
    co_return false;
  }
  if (faults_.outage != "hang") {
    co_return true;
  }
  while (faults_.outage == "hang" && !closed_) {
    boost::system::error_code ec;
    co_await changed_.async_wait(asio::redirect_error(asio::use_awaitable, ec));
  }
  w.abort();
  co_return false;
}

asio::awaitable<void> fake_object_api::watch(fake_request received, http::response_writer& w)
{
  auto seen = to_number(http::find_header(received.query, "resourceVersion"));
  if (seen < history_start_) {
    auto reply = failure(410, "Expired", "the version is too old");
    co_await send(w, std::move(reply));
    co_return;
  }
  const auto plural = received.segments.at(root_segments);
  const auto wanted = to_number(http::find_header(received.query, "timeoutSeconds"));
  const std::chrono::seconds time(wanted == 0 ? default_watch_seconds
                                              : static_cast<std::int64_t>(wanted));
  const auto ends_at = std::chrono::steady_clock::now() + time;
  asio::steady_timer end(context_, ends_at);
  end.async_wait([this](boost::system::error_code ec) {
    if (!ec) {
      changed_.cancel();
    }
  });
  bool gone = false;
  w.on_peer_closed([this, &gone] {
    gone = true;
    changed_.cancel();
  });
  http::response head;
  co_await w.start_stream(head);
  while (!gone && std::chrono::steady_clock::now() < ends_at) {
    if (faults_.outage == "refuse" || closed_) {
      w.abort();
      co_return;
    }
    std::string lines;
    if (faults_.outage == "none") {
      lines = events_after(seen, plural);
      seen = version_;
    }
    if (!lines.empty()) {
      co_await w.write_chunk(lines);
      continue; // more may have changed during the write
    }
    boost::system::error_code ec;
    co_await changed_.async_wait(asio::redirect_error(asio::use_awaitable, ec));
  }
  if (!gone) {
    const auto last = bookmark_line(seen);
    co_await w.write_chunk(last);
    co_await w.finish_stream();
  }
}

fake_reply fake_object_api::handle_control_request(const fake_request& received)
{
  if (received.is("POST", "/_fake/faults")) {
    set_faults(received.body);
    return {};
  }
  if (received.is("POST", "/_fake/forget-history")) {
    forget_history();
    return {};
  }
  return {.body = {{"reads", counts_.reads},
                   {"writes", counts_.writes},
                   {"watches", counts_.watches},
                   {"answers_lost", counts_.answers_lost},
                   {"version", version_}}};
}

fake_reply fake_object_api::dispatch(const fake_request& received)
{
  const auto& parts = received.segments;
  const bool is_collection = parts.size() == root_segments + 1;
  if (!received.path.starts_with(root) || parts.size() > root_segments + 2) {
    return failure(404, "NotFound", "no such path");
  }
  if (received.body_text.size() > value_limit) {
    return failure(413, "RequestEntityTooLarge", "the value is over a megabyte");
  }
  if (is_collection) {
    return received.method == "POST" ? create(received) : list(received);
  }
  const auto key = parts.at(root_segments) + "/" + parts.at(root_segments + 1);
  if (received.method == "GET") {
    return get(key);
  }
  if (!objects_.contains(key)) {
    return failure(404, "NotFound", key + " does not exist");
  }
  return received.method == "PUT" ? replace(received, key) : remove(received, key);
}

fake_reply fake_object_api::list(const fake_request& received) const
{
  const auto prefix = received.segments.at(root_segments) + "/";
  const auto selector = http::find_header(received.query, "labelSelector");
  json::array items;
  for (auto it = visible_objects().lower_bound(prefix); it != visible_objects().end(); ++it) {
    if (!it->first.starts_with(prefix)) {
      break;
    }
    if (matches_selector(selector, it->second)) {
      items.push_back(it->second);
    }
  }
  return {.body = {{"kind", "List"},
                   {"metadata", {{"resourceVersion", std::to_string(visible_version())}}},
                   {"items", std::move(items)}}};
}

fake_reply fake_object_api::get(const std::string& key) const
{
  const auto it = visible_objects().find(key);
  if (it == visible_objects().end()) {
    return failure(404, "NotFound", key + " does not exist");
  }
  return {.body = it->second};
}

fake_reply fake_object_api::create(const fake_request& received)
{
  static const std::regex valid_name("[a-z0-9]([-a-z0-9.]*[a-z0-9])?");
  auto object = received.body;
  auto& metadata = metadata_of(object);
  const auto name = string_field(metadata, "name");
  if (!std::regex_match(name, valid_name)) {
    return failure(422, "Invalid", "not a name: " + name);
  }
  const auto& plural = received.segments.at(root_segments);
  const auto key = plural + "/" + name;
  if (objects_.contains(key)) {
    return failure(409, "AlreadyExists", key + " already exists");
  }
  metadata["creationTimestamp"] = timestamp();
  store(plural, key, "ADDED", std::move(object));
  return {.status = 201, .body = objects_.at(key)};
}

fake_reply fake_object_api::replace(const fake_request& received, const std::string& key)
{
  auto object = received.body;
  const auto expected = version_of(object);
  const auto& present = objects_.at(key);
  if (!expected.empty() && expected != version_of(present)) {
    return failure(409, "Conflict", key + " has version " + version_of(present));
  }
  auto& metadata = metadata_of(object);
  metadata["name"] = received.segments.back();
  metadata["creationTimestamp"] = present.at("metadata").at("creationTimestamp");
  store(received.segments.at(root_segments), key, "MODIFIED", std::move(object));
  return {.body = objects_.at(key)};
}

fake_reply fake_object_api::remove(const fake_request& received, const std::string& key)
{
  const auto* conditions = received.body.as_object().if_contains("preconditions");
  const auto expected = conditions == nullptr ? "" : string_field(*conditions, "resourceVersion");
  auto object = objects_.at(key);
  if (!expected.empty() && expected != version_of(object)) {
    return failure(409, "Conflict", key + " has version " + version_of(object));
  }
  store(received.segments.at(root_segments), key, "DELETED", std::move(object));
  objects_.erase(key);
  return {.body = {{"kind", "Status"}, {"status", "Success"}}};
}

// Stores `object` under the next version, records the change and wakes the watches.
void fake_object_api::store(const std::string& plural, const std::string& key,
                            std::string_view event, json::value object)
{
  ++version_;
  metadata_of(object)["resourceVersion"] = std::to_string(version_);
  change recorded{.version = version_, .plural = plural, .event = event_line(event, object)};
  if (events_to_drop_ > 0) {
    --events_to_drop_;
    recorded.event.clear();
  }
  history_.push_back(std::move(recorded));
  if (history_.size() > history_limit) {
    history_start_ = history_.front().version;
    history_.pop_front();
  }
  objects_[key] = std::move(object);
  changed_.cancel();
}

std::string fake_object_api::events_after(std::uint64_t seen, std::string_view plural) const
{
  auto it = std::partition_point(history_.begin(), history_.end(),
                                 [&](const change& each) { return each.version <= seen; });
  std::string lines;
  for (; it != history_.end(); ++it) {
    if (it->plural == plural) {
      lines += it->event;
    }
  }
  return lines;
}

bool fake_object_api::decide_lost_answer()
{
  std::uniform_real_distribution<double> unit;
  bool lost = unit(rng_) < faults_.lose_answer_probability;
  if (faults_.lose_answers > 0) {
    --faults_.lose_answers;
    lost = true;
  }
  counts_.answers_lost += lost ? 1 : 0;
  return lost;
}

const fake_object_api::objects& fake_object_api::visible_objects() const
{
  return std::chrono::steady_clock::now() < stale_until_ ? stale_objects_ : objects_;
}

std::uint64_t fake_object_api::visible_version() const
{
  return std::chrono::steady_clock::now() < stale_until_ ? stale_version_ : version_;
}

} // namespace wisteriaflow::fakes
