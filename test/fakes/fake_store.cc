#include "fakes/fake_store.h"

#include <utility>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_to.hpp>

namespace wisteriaflow::fakes {
namespace {

namespace json = boost::json;

// A watch that finds no changes is answered after this time.
constexpr std::chrono::milliseconds watch_pause{20};

std::string query_of(const fake_request& r, std::string_view name)
{
  return std::string(http::find_header(r.query, name));
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
  const auto after = query_of(received, "watch");
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
  const auto& kind = r.segments.at(1);
  const auto after = query_of(r, "watch");
  if (r.method == "POST") {
    return create(kind, r.body);
  }
  if (r.segments.size() == 2) {
    return after.empty() ? list(kind, query_of(r, "after"), query_of(r, "serializable") == "1")
                         : changes(kind, std::stoull(after));
  }
  const auto& name = r.segments.at(2);
  const auto it = content_->kinds[kind].find(name);
  if (it == content_->kinds[kind].end() || it->second.deleted) {
    return {.status = 404};
  }
  if (r.method == "PUT") {
    return r.segments.size() > 3 ? replace_status(kind, name, r.body) : replace(kind, name, r.body);
  }
  if (r.method == "DELETE") {
    erase(kind, name);
    return {};
  }
  return {.body = render(name, it->second)};
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
    has_more = items.size() == page_size;
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
    if (o.revision > after) {
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
  return {.body = {{"events", std::move(events)}, {"at", content_->revision}}};
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
