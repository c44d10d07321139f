#include "fakes/fake_store.h"

#include <algorithm>
#include <charconv>
#include <stdexcept>
#include <string_view>
#include <utility>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_to.hpp>

#include "wisteriaflow/base/text.h"

namespace wisteriaflow::fakes {
namespace {

namespace json = boost::json;

// A watch that finds no changes is answered after this time.
constexpr std::chrono::milliseconds watch_pause{20};

std::string text_of(const http::headers& query, std::string_view name)
{
  return std::string(http::find_header(query, name));
}

// Decodes percent escapes. Throws std::invalid_argument for a broken one.
std::string percent_decoded(std::string_view text)
{
  constexpr int hexadecimal = 16;
  constexpr std::size_t digits = 2;
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%') {
      out += text[i];
      continue;
    }
    const auto escaped = text.substr(i + 1, digits);
    unsigned value = 0;
    const auto* last = escaped.data() + escaped.size();
    const auto [end, ec] = std::from_chars(escaped.data(), last, value, hexadecimal);
    if (escaped.size() < digits || ec != std::errc{} || end != last) {
      throw std::invalid_argument("broken escape in a request target");
    }
    out += static_cast<char>(value);
    i += digits;
  }
  return out;
}

// The target without its fragment.
http::target_parts strict_target(std::string_view target)
{
  target = target.substr(0, target.find('#'));
  const auto decoded = percent_decoded(target); // for its check only
  return http::parse_target(target);
}

// The decoded parts of a path between its slashes.
std::vector<std::string> segments_of(std::string_view path)
{
  std::vector<std::string> out;
  for (const auto part : split(path, '/')) {
    out.push_back(percent_decoded(part));
  }
  return out;
}

} // namespace

void fake_store::put(const std::string& kind, const std::string& name, json::value spec)
{
  auto& o = content_->kinds[kind][name];
  const bool is_new = o.revision == 0 || o.deleted;
  o.revision = ++content_->revision;
  o.spec = std::move(spec);
  if (is_new) {
    o = {.revision = o.revision, .spec = std::move(o.spec), .created = o.revision};
  }
}

json::value fake_store::status(const std::string& kind, const std::string& name) const
{
  const auto of_kind = content_->kinds.find(kind);
  if (of_kind == content_->kinds.end()) {
    return nullptr;
  }
  const auto it = of_kind->second.find(name);
  return it == of_kind->second.end() || it->second.deleted ? json::value() : it->second.status;
}

void fake_store::erase(const std::string& kind, const std::string& name)
{
  content_->kinds[kind][name] = {.revision = ++content_->revision, .deleted = true};
}

json::value fake_store::get(const std::string& kind, const std::string& name) const
{
  const auto of_kind = content_->kinds.find(kind);
  if (of_kind == content_->kinds.end()) {
    return nullptr;
  }
  const auto it = of_kind->second.find(name);
  return it == of_kind->second.end() || it->second.deleted ? json::value() : it->second.spec;
}

json::value fake_store::render(const std::string& name, const object& o) const
{
  auto spec = o.spec;
  if (const auto it = endpoint_addresses.find(name);
      it != endpoint_addresses.end() && spec.is_object()) {
    spec.as_object()["address"] = to_string(it->second);
  }
  return {{"metadata", {{"name", name}, {"revision", o.revision}, {"created", o.created}}},
          {"spec", std::move(spec)},
          {"status", o.status}};
}

boost::asio::awaitable<void> fake_store::serve(fake_request received, http::response_writer& w)
{
  co_await async_sleep(answer_delay);
  const auto after = text_of(received.query, "watch");
  auto reply = dispatch(received);
  if (!after.empty() && reply.status == 200 && reply.body.at("events").as_array().empty()) {
    co_await async_sleep(watch_pause);
    reply = dispatch(received);
  }
  http::response out{.status = reply.status,
                     .fields = {{"Content-Type", "application/json"},
                                {"Store-Era", std::to_string(content_->era)}},
                     .body = json::serialize(reply.body)};
  co_await w.send(std::move(out));
}

void fake_store::restore(const std::vector<std::string>& written_again)
{
  const auto lost = std::exchange(*content_, backup_.value());
  content_->era = lost.era + 1;
  for (const auto& kind : written_again) {
    const auto of_kind = lost.kinds.find(kind);
    if (of_kind == lost.kinds.end()) {
      continue;
    }
    for (const auto& [name, o] : of_kind->second) {
      if (o.deleted) {
        erase(kind, name);
      } else if (get(kind, name) != o.spec) {
        put(kind, name, o.spec);
      }
    }
  }
}

fake_reply fake_store::dispatch(const fake_request& r)
{
  if (unavailable || (refuses_writes && r.method != "GET")) {
    return {.status = 503};
  }
  const auto target = strict_target(r.target);
  const auto segments = segments_of(target.path);
  const auto& kind = segments.at(1);
  if (r.method == "POST") {
    return create(kind, r.body);
  }
  if (segments.size() == 2) {
    return list_or_changes(kind, target.query);
  }
  const auto& name = segments.at(2);
  const auto it = content_->kinds[kind].find(name);
  if (it == content_->kinds[kind].end() || it->second.deleted) {
    return {.status = 404};
  }
  if (r.method == "PUT") {
    return segments.size() > 3 ? replace_status(kind, name, r.body) : replace(kind, name, r.body);
  }
  if (r.method == "DELETE") {
    erase(kind, name);
    return {};
  }
  return {.body = render(name, it->second)};
}

fake_reply fake_store::list_or_changes(const std::string& kind, const http::headers& query)
{
  const auto after = text_of(query, "watch");
  if (!after.empty()) {
    ++watch_calls;
    return changes(kind, std::stoull(after));
  }
  const auto position = ignores_list_position ? std::string() : text_of(query, "after");
  return list(kind, position, text_of(query, "serializable") == "1");
}

void fake_store::snapshot_for_stale_lists()
{
  stale_snapshot_ = *content_;
}

fake_reply fake_store::list(const std::string& kind, const std::string& after, bool stale)
{
  if (const auto call = list_calls++; call < refused_lists.size() && refused_lists[call]) {
    return {.status = 429};
  }
  auto& from = stale && stale_snapshot_ ? *stale_snapshot_ : *content_;
  json::array items;
  bool has_more = false;
  for (const auto& [name, o] : from.kinds[kind]) {
    if (o.deleted || name <= after) {
      continue;
    }
    has_more = items.size() == std::min(page_size, list_page_size);
    if (has_more) {
      break;
    }
    items.push_back(render(name, o));
  }
  return {.body = {{"items", std::move(items)}, {"hasMore", has_more}, {"at", from.revision}}};
}

fake_reply fake_store::changes(const std::string& kind, std::uint64_t after)
{
  if (after > content_->revision) {
    return {.status = 410};
  }
  std::map<std::uint64_t, std::string> changed; // by revision
  for (const auto& [name, o] : content_->kinds[kind]) {
    if (o.revision > after || repeats_changes) {
      changed.emplace(o.revision, name);
    }
  }
  json::array events;
  for (const auto& [revision, name] : changed) {
    if (events.size() == page_size) {
      return {.body = {{"events", std::move(events)}, {"at", revision - 1}}};
    }
    const auto& o = content_->kinds[kind][name];
    events.push_back({{"deleted", o.deleted}, {"object", render(name, o)}});
  }
  const auto last = repeats_changes ? after : content_->revision;
  return {.body = {{"events", std::move(events)}, {"at", last}}};
}

fake_reply fake_store::create(const std::string& kind, const json::value& body)
{
  const auto name = json::value_to<std::string>(body.at("metadata").at("name"));
  const auto it = content_->kinds[kind].find(name);
  if (it != content_->kinds[kind].end() && !it->second.deleted) {
    return {.status = 409, .body = render(name, it->second)};
  }
  put(kind, name, body.at("spec"));
  return {.body = render(name, content_->kinds[kind][name])};
}

fake_reply fake_store::replace(const std::string& kind, const std::string& name,
                               const json::value& body)
{
  auto& o = content_->kinds[kind][name];
  const auto base = body.at("metadata").at("revision").to_number<std::uint64_t>();
  if (base != o.revision) {
    return {.status = 409, .body = render(name, o)};
  }
  put(kind, name, body.at("spec"));
  return {.body = render(name, o)};
}

fake_reply fake_store::replace_status(const std::string& kind, const std::string& name,
                                      const json::value& body)
{
  auto& o = content_->kinds[kind][name];
  const auto base = body.at("metadata").at("revision").to_number<std::uint64_t>();
  if (base != o.revision) {
    return {.status = 409, .body = render(name, o)};
  }
  o.revision = ++content_->revision;
  o.status = body.at("status");
  return {.body = render(name, o)};
}

} // namespace wisteriaflow::fakes
