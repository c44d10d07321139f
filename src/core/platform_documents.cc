#include "core/platform_documents.h"

#include <algorithm>
#include <exception>
#include <utility>

#include <boost/json/object.hpp>
#include <boost/json/value_to.hpp>

namespace wisteriaflow::core::internal {
namespace {

namespace json = boost::json;

constexpr int hash_base = 16; // Prefix hashes are hexadecimal strings.

std::string text_at(const json::object& o, std::string_view key)
{
  const auto* value = o.if_contains(key);
  return value == nullptr ? std::string() : json::value_to<std::string>(*value);
}

bool flag_at(const json::object& o, std::string_view key)
{
  const auto* value = o.if_contains(key);
  return value != nullptr && value->as_bool();
}

std::int64_t number_at(const json::object& o, std::string_view key)
{
  const auto* value = o.if_contains(key);
  return value == nullptr ? 0 : value->to_number<std::int64_t>();
}

membership::member read_instance(const json::object& o)
{
  membership::member m;
  m.key = {.kind = membership::member_kind::endpoint,
           .id = json::value_to<std::string>(o.at("id"))};
  m.state = text_at(o, "state") == "leaving" ? membership::member_state::leaving
                                             : membership::member_state::live;
  m.attributes_revision = 1;
  auto& a = m.attributes;
  a.address = json::value_to<std::string>(o.at("address"));
  a.zone = availability_zone(text_at(o, "availability_zone"));
  a.instance_class = text_at(o, "class");
  a.role = text_at(o, "role");
  a.reclaimable = flag_at(o, "reclaimable");
  a.checks_fencing = flag_at(o, "checks_fencing");
  if (const auto* price = o.if_contains("price_per_hour")) {
    a.price_per_hour = price->to_number<double>();
  }
  if (const auto* labels = o.if_contains("labels")) {
    for (const auto& [key, value] : labels->as_object()) {
      a.labels.emplace(key, json::value_to<std::string>(value));
    }
  }
  return m;
}

} // namespace

instance_list read_instance_list(const json::value& document)
{
  instance_list out;
  const auto* root = document.if_object();
  const auto* instances = root == nullptr ? nullptr : root->if_contains("instances");
  if (instances == nullptr || !instances->is_array()) {
    ++out.unreadable;
    return out;
  }
  for (const auto& item : instances->get_array()) {
    try {
      auto m = read_instance(item.as_object());
      if (m.attributes.role != "daemon") {
        out.endpoints.push_back(std::move(m));
      }
    } catch (const std::exception&) {
      ++out.unreadable;
    }
  }
  return out;
}

std::vector<reclaim_notice> read_notices(const json::value& document)
{
  std::vector<reclaim_notice> out;
  const auto* root = document.if_object();
  const auto* notices = root == nullptr ? nullptr : root->if_contains("notices");
  if (notices == nullptr || !notices->is_array()) {
    return out;
  }
  for (const auto& item : notices->get_array()) {
    try {
      const auto& o = item.as_object();
      auto instance = json::value_to<std::string>(o.at("instance_id"));
      if (!instance.empty()) {
        out.push_back({.instance = std::move(instance),
                       .reclaim_at = from_unix_ms(number_at(o, "reclaim_at_unix_ms"))});
      }
    } catch (const std::exception&) {
      continue; // An unreadable notice is skipped, because nothing can be done about it.
    }
  }
  return out;
}

std::optional<routing::load_report> read_load(const json::value& document, clock_reading now)
{
  const auto* o = document.if_object();
  if (o == nullptr) {
    return std::nullopt;
  }
  try {
    const auto measured = from_unix_ms(number_at(*o, "measured_at_unix_ms"));
    const auto age = std::max(now.wall - measured, std::chrono::milliseconds{0});
    return routing::load_report{.running = static_cast<int>(number_at(*o, "running")),
                                .waiting = static_cast<int>(number_at(*o, "waiting")),
                                .max_running = static_cast<int>(number_at(*o, "max_running")),
                                .measured_at = now.mono - age};
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

std::vector<routing::cache_event> read_cache_events(const json::value& document)
{
  std::vector<routing::cache_event> out;
  const auto* root = document.if_object();
  const auto* events = root == nullptr ? nullptr : root->if_contains("events");
  if (events == nullptr || !events->is_array()) {
    return out;
  }
  for (const auto& item : events->get_array()) {
    try {
      const auto& o = item.as_object();
      const auto name = json::value_to<std::string>(o.at("prefix_hash"));
      const bool evicted = text_at(o, "kind") == "evicted";
      out.push_back({.sequence = static_cast<std::uint64_t>(number_at(o, "sequence")),
                     .prefix_hash = std::stoull(name, nullptr, hash_base),
                     .kind = evicted ? routing::cache_event::kind::evicted
                                     : routing::cache_event::kind::stored});
    } catch (const std::exception&) {
      continue; // The prefix index tolerates missing events.
    }
  }
  return out;
}

std::optional<membership::member> read_registration(const json::value& document)
{
  try {
    const auto& o = document.at("spec").as_object();
    membership::member m;
    m.key = {.kind = membership::member_kind::daemon, .id = text_at(o, "id")};
    m.incarnation = static_cast<std::uint64_t>(number_at(o, "incarnation"));
    m.attributes_revision = m.incarnation;
    m.attributes.peer_address = text_at(o, "peer_address");
    m.attributes.address = text_at(o, "caller_address");
    m.attributes.zone = availability_zone(text_at(o, "availability_zone"));
    m.attributes.role = "daemon";
    return m;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

json::value make_registration(const membership::member& self)
{
  return json::object{{"id", self.key.id},
                      {"incarnation", self.incarnation},
                      {"peer_address", self.attributes.peer_address},
                      {"caller_address", self.attributes.address},
                      {"availability_zone", self.attributes.zone.value()}};
}

} // namespace wisteriaflow::core::internal
