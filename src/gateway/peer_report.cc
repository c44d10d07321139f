#include "wisteriaflow/gateway/peer_report.h"

#include <algorithm>
#include <exception>
#include <utility>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <boost/json/value_to.hpp>

#include "gateway/json_fields.h"
#include "wisteriaflow/gateway/crash_report_codec.h"
#include "wisteriaflow/gateway/endpoint_name.h"
#include "wisteriaflow/gateway/outcomes_codec.h"
#include "wisteriaflow/gateway/rollout_codec.h"
#include "wisteriaflow/gateway/terms_codec.h"

namespace wisteriaflow::gateway {
namespace {

namespace json = boost::json;
using internal::decode_age;
using internal::number_at;
using internal::revision_at;
using internal::text_at;

json::value encode(const daemon_contact& c)
{
  json::object out{{"id", c.id.value()},
                   {"incarnation", c.incarnation},
                   {"peer", to_string(c.peer_address)},
                   {"caller", to_string(c.caller_address)},
                   {"zone", c.zone.value()},
                   {"ready", c.ready},
                   {"leaving", c.leaving},
                   {"acting", c.acting}};
  if (c.cut_off) {
    out["cut_off"] = true;
  }
  return out;
}

// Peers of an earlier version omit some flags.
bool optional_flag_at(const json::value& from, std::string_view key)
{
  const auto* field = from.as_object().if_contains(key);
  return field != nullptr && field->as_bool();
}

// A number beyond this is no number of daemons. If it were believed, a new daemon would take its
// own part of every rate for nothing.
constexpr std::size_t max_fleet_size = 100'000;

std::size_t decode_fleet_size(const json::value& from)
{
  const auto out = from.to_number<std::size_t>();
  if (out > max_fleet_size) {
    throw peer_report_error("absurd number of daemons");
  }
  return out;
}

// A lease that changes hands every second reaches this number after 30,000 years. Believing more
// would leave no number for the next holder.
constexpr std::uint64_t max_fencing_number = 1'000'000'000'000;

std::uint64_t decode_fencing_number(const json::value& from)
{
  const auto out = from.to_number<std::uint64_t>();
  if (out > max_fencing_number) {
    throw peer_report_error("absurd fencing number");
  }
  return out;
}

daemon_contact decode_contact(const json::value& from)
{
  return {.id = daemon_id(text_at(from, "id")),
          .incarnation = number_at(from, "incarnation"),
          .peer_address = http::parse_socket_address(text_at(from, "peer")),
          .caller_address = http::parse_socket_address(text_at(from, "caller")),
          .zone = availability_zone(text_at(from, "zone")),
          .ready = from.at("ready").as_bool(),
          .leaving = from.at("leaving").as_bool(),
          .acting = optional_flag_at(from, "acting"),
          .cut_off = optional_flag_at(from, "cut_off")};
}

// Number of values that are always sent: those that peers of earlier versions expect.
constexpr std::size_t min_work_values = 4;

// Resident tokens are sent in this unit, rounded, to keep the reports short.
constexpr std::uint64_t resident_unit = 8'192; // tokens

std::uint64_t resident_units(const endpoint_work& w)
{
  return (w.resident_tokens + resident_unit / 2) / resident_unit;
}

// Zeros at the end are omitted: most endpoints have no waiting calls of a less urgent rank.
json::array encode(const endpoint_work& w)
{
  json::array out{w.waiting,       w.running,          w.waiting_tokens,
                  w.unreachable,   resident_units(w),  w.normal.calls,
                  w.normal.tokens, w.deferrable.calls, w.deferrable.tokens};
  while (out.size() > min_work_values && out.back() == 0) {
    out.pop_back();
  }
  return out;
}

json::object encode(const endpoint_work_map& work)
{
  json::object out;
  for (const auto& [id, w] : work) {
    out[id.value()] = encode(w);
  }
  return out;
}

// Peers of earlier versions send fewer values. Without the number of waiting tokens, prompts of
// this size are assumed.
constexpr std::uint64_t default_prompt_tokens = 1'000; // tokens

// Bounds of what one daemon can have at one endpoint. Larger values are faults of the peer, and the
// sum over all peers must not overflow.
constexpr std::uint64_t max_calls_at_endpoint = 100'000;
constexpr std::uint64_t max_tokens_at_endpoint = 1'000'000'000;

// Reads the values of one endpoint's work, bounded.
class work_reader {
 public:
  work_reader(const json::array& from, std::size_t& clamped) : from_(from), clamped_(clamped) {}

  // The value at `index`, or `absent` if the peer's version sends fewer values. Throws for a
  // negative or non-integral value.
  std::uint64_t at(std::size_t index, std::uint64_t limit, std::uint64_t absent = 0)
  {
    return bounded(index < from_.size() ? from_[index].to_number<std::uint64_t>() : absent, limit);
  }

  std::uint32_t calls_at(std::size_t index, std::uint64_t limit = max_calls_at_endpoint)
  {
    return static_cast<std::uint32_t>(at(index, limit));
  }

 private:
  std::uint64_t bounded(std::uint64_t value, std::uint64_t limit)
  {
    clamped_ += value > limit ? 1 : 0;
    return std::min(value, limit);
  }

  const json::array& from_;
  std::size_t& clamped_;
};

endpoint_work decode_work(const json::array& from, std::size_t& clamped)
{
  if (from.size() < 2) {
    throw peer_report_error("too few values of an endpoint's work");
  }
  work_reader values(from, clamped);
  endpoint_work out{.waiting = values.calls_at(0), .running = values.calls_at(1)};
  out.waiting_tokens = values.at(2, max_tokens_at_endpoint, out.waiting * default_prompt_tokens);
  out.unreachable = values.calls_at(3, 1); // the report is one daemon's
  out.resident_tokens = resident_unit * values.at(4, max_tokens_at_endpoint / resident_unit);
  // The parts of less urgent ranks are at most the whole.
  out.normal.calls = values.calls_at(5, out.waiting);
  out.normal.tokens = values.at(6, out.waiting_tokens);
  out.deferrable.calls = values.calls_at(7, out.waiting - out.normal.calls);
  out.deferrable.tokens = values.at(8, out.waiting_tokens - out.normal.tokens);
  return out;
}

json::object encode(const window_counts& counts)
{
  json::object out;
  for (const auto& [workspace, n] : counts) {
    out[workspace.value()] = n;
  }
  return out;
}

json::object encode(const prefill_demand& demand)
{
  json::object out;
  for (const auto& [service, rate] : demand) {
    out[service] = rate;
  }
  return out;
}

json::object encode(const std::vector<peer_last_seen>& ages)
{
  json::object out;
  for (const auto& h : ages) {
    out[h.id.value()] = h.age.count();
  }
  return out;
}

json::array encode(const std::vector<age_part>& ages)
{
  json::array out;
  for (const auto& part : ages) {
    out.emplace_back(encode_age_part(part));
  }
  return out;
}

json::array encode(const std::vector<usage_row>& rows)
{
  json::array out;
  for (const auto& r : rows) {
    out.push_back({{"daemon", r.source.daemon.value()},
                   {"incarnation", r.source.incarnation},
                   {"window", r.window},
                   {"counts", encode(r.counts)}});
  }
  return out;
}

window_counts decode_window_counts(const json::value& from)
{
  window_counts out;
  for (const auto& [workspace, n] : from.as_object()) {
    out[workspace_id(std::string(workspace))] = n.to_number<std::uint64_t>();
  }
  return out;
}

usage_row decode_row(const json::value& from)
{
  return {.source = {.daemon = daemon_id(text_at(from, "daemon")),
                     .incarnation = number_at(from, "incarnation")},
          .window = number_at(from, "window"),
          .counts = decode_window_counts(from.at("counts"))};
}

json::array encode(const decided_usage_map& decided)
{
  json::array out;
  for (const auto& [window, counts] : decided) {
    out.push_back({{"window", window}, {"counts", encode(counts)}});
  }
  return out;
}

decided_usage_map decode_decided_usage(const json::value& from)
{
  decided_usage_map out;
  for (const auto& each : from.as_array()) {
    out[number_at(each, "window")] = decode_window_counts(each.at("counts"));
  }
  return out;
}

std::vector<usage_row> decode_rows(const json::value& from)
{
  std::vector<usage_row> out;
  for (const auto& r : from.as_array()) {
    out.push_back(decode_row(r));
  }
  return out;
}

json::object encode(const std::vector<endpoint_departure>& departures)
{
  json::object out;
  for (const auto& d : departures) {
    out[d.id.value()] = d.revision.packed();
  }
  return out;
}

std::vector<endpoint_departure> decode_departures(const json::value& from)
{
  std::vector<endpoint_departure> out;
  for (const auto& [id, revision] : from.as_object()) {
    out.push_back({.id = endpoint_id(std::string(id)),
                   .revision = store_revision::from_packed(revision.to_number<std::uint64_t>())});
  }
  return out;
}

json::value encode(const relayed_peer& r)
{
  return {{"contact", encode(r.contact)},
          {"age", r.age.count()},
          {"work", encode(r.work)},
          {"prefill", encode(r.prefill)}};
}

json::value encode(const endpoint_view& view)
{
  return {{"revision", view.revision.packed()},
          {"changed", view.changed.packed()},
          {"removals_after", view.removals_after.packed()},
          {"age", view.age.count()},
          {"departures_revision", view.departures_revision.packed()},
          {"departures_after", view.departures_after.packed()},
          {"departures_age", view.departures_age.count()}};
}

endpoint_view decode_view(const json::value& from)
{
  endpoint_view out{.revision = revision_at(from, "revision"),
                    .changed = revision_at(from, "changed"),
                    .removals_after = revision_at(from, "removals_after"),
                    .age = std::chrono::milliseconds(from.at("age").to_number<std::int64_t>())};
  // Peers of an earlier version promise nothing about departures alone.
  if (from.as_object().contains("departures_revision")) {
    out.departures_revision = revision_at(from, "departures_revision");
    out.departures_after = revision_at(from, "departures_after");
    out.departures_age = decode_age(from.at("departures_age"));
  }
  return out;
}

json::value encode(const endpoint_record& r)
{
  return {{"id", r.id.value()},
          {"revision", r.revision.packed()},
          {"incarnation", r.incarnation},
          {"service", r.service},
          {"zone", r.zone.value()},
          {"address", to_string(r.address)},
          {"places", r.places},
          {"leaving", r.leaving},
          {"reclaimable", r.reclaimable},
          {"version", r.version},
          {"cold", r.cold}};
}

// Peers of an earlier version omit this field.
std::string optional_text_at(const json::value& from, std::string_view key)
{
  const auto* field = from.as_object().if_contains(key);
  return field == nullptr ? std::string() : json::value_to<std::string>(*field);
}

// Peers of an earlier version omit the incarnation of an endpoint.
std::uint64_t decode_incarnation(const json::value& from)
{
  const auto* field = from.as_object().if_contains("incarnation");
  return field == nullptr ? 0 : field->to_number<std::uint64_t>();
}

endpoint_record decode_record(const json::value& from)
{
  return {.id = endpoint_id(text_at(from, "id")),
          .revision = revision_at(from, "revision"),
          .incarnation = decode_incarnation(from),
          .service = text_at(from, "service"),
          .version = optional_text_at(from, "version"),
          .address = http::parse_socket_address(text_at(from, "address")),
          .zone = availability_zone(text_at(from, "zone")),
          .places = from.at("places").to_number<std::uint32_t>(),
          .leaving = from.at("leaving").as_bool(),
          .reclaimable = from.at("reclaimable").as_bool(),
          .cold = optional_flag_at(from, "cold")};
}

endpoint_work_map decode_work_map(const json::value& from, std::size_t& clamped)
{
  endpoint_work_map out;
  for (const auto& [id, w] : from.as_object()) {
    out[endpoint_id(std::string(id))] = decode_work(w.as_array(), clamped);
  }
  return out;
}

prefill_demand decode_prefill(const json::value& from)
{
  prefill_demand out;
  for (const auto& [service, rate] : from.as_object()) {
    out[std::string(service)] = rate.to_number<double>();
  }
  return out;
}

relayed_peer decode_relayed(const json::value& from, std::size_t& clamped)
{
  return {.contact = decode_contact(from.at("contact")),
          .age = decode_age(from.at("age")),
          .work = decode_work_map(from.at("work"), clamped),
          .prefill = decode_prefill(from.at("prefill"))};
}

peer_report decode(const json::value& from)
{
  peer_report out;
  out.self = decode_contact(from.at("self"));
  out.configuration_version = number_at(from, "configuration");
  out.clock = from_unix_ms(from.at("clock").to_number<std::int64_t>());
  // Peers of an earlier version send no number of daemons.
  if (const auto* running = from.as_object().if_contains("running")) {
    out.running_daemons = decode_fleet_size(*running);
  }
  for (const auto& c : from.at("known").as_array()) {
    out.known_daemons.push_back(decode_contact(c));
  }
  // Peers of an earlier version send the ages with ids instead.
  if (const auto* ages = from.as_object().if_contains("ages")) {
    for (const auto& part : ages->as_array()) {
      out.ages.push_back(decode_age_part(part.as_string()));
    }
  }
  for (const auto& [id, age] : from.at("heard").as_object()) {
    out.last_seen.push_back({.id = daemon_id(std::string(id)), .age = decode_age(age)});
  }
  out.work = decode_work_map(from.at("work"), out.clamped_values);
  out.prefill = decode_prefill(from.at("prefill"));
  // Peers of an earlier version relay nothing.
  if (const auto* relayed = from.as_object().if_contains("relayed")) {
    for (const auto& r : relayed->as_array()) {
      out.relayed.push_back(decode_relayed(r, out.clamped_values));
    }
  }
  // Peers of an earlier version, and those that know of no failures, send no outcomes.
  if (const auto* outcomes = from.as_object().if_contains("outcomes")) {
    out.outcomes = decode_outcomes(*outcomes, out.rejected_outcomes);
  }
  if (const auto* relayed = from.as_object().if_contains("peer_outcomes")) {
    out.peer_outcomes = decode_relayed_outcomes(*relayed, out.rejected_outcomes);
  }
  out.departures = decode_departures(from.at("departures"));
  out.endpoints = decode_view(from.at("endpoints"));
  out.usage = decode_rows(from.at("usage"));
  // Peers of an earlier version omit these.
  if (const auto* decided = from.as_object().if_contains("decided_usage")) {
    out.decided_usage = decode_decided_usage(*decided);
  }
  if (from.as_object().contains("fencing_number")) {
    out.fencing_number = decode_fencing_number(from.at("fencing_number"));
  }
  // Peers of an earlier version send no terms.
  if (const auto* terms = from.as_object().if_contains("terms")) {
    out.terms = decode_terms(*terms);
  }
  if (const auto* limits = from.as_object().if_contains("rejection_limits")) {
    out.rejection_limits = decode_rejection_limits(*limits);
  }
  // Peers of an earlier version send no crashes.
  if (const auto* crashes = from.as_object().if_contains("crashes")) {
    out.crashes = decode_crash_report(*crashes);
    out.crash_digest = number_at(from, "crash_digest");
  }
  // Peers of an earlier version send no rollouts.
  if (const auto* rollouts = from.as_object().if_contains("rollouts")) {
    out.rollouts = decode_rollouts(*rollouts);
    out.rollouts_revision = revision_at(from, "rollouts_known_up_to");
    out.rollout_rows = decode_rollout_rows(from.at("rollout_rows"));
  }
  return out;
}

// Peers of an earlier version send no rank. A rank that makes no sense is the least urgent.
load::rank_class decode_rank(const json::value& from)
{
  const auto* field = from.as_object().if_contains("rank");
  if (field == nullptr) {
    return load::rank_class::urgent;
  }
  boost::system::error_code ec;
  const auto n = field->to_number<std::uint8_t>(ec);
  return ec ? load::rank_class::deferrable : load::rank_class_of(n);
}

// Parses `text` and converts every exception into peer_report_error.
template <typename reader> auto parse_as(std::string_view text, reader take)
{
  try {
    return take(internal::parse_lenient(text));
  } catch (const std::exception& e) {
    throw peer_report_error(std::string("unreadable message of a peer: ") + e.what());
  }
}

} // namespace

peer_report aged_by(peer_report report, std::chrono::milliseconds age)
{
  report.age += age;
  report.clock += age;
  report.endpoints.age += age;
  report.endpoints.departures_age += age;
  for (auto& h : report.last_seen) {
    h.age += age;
  }
  for (auto& r : report.relayed) {
    r.age += age;
  }
  for (auto& t : report.terms) {
    t.age += age;
  }
  for (auto& r : report.rejection_limits) {
    r.age += age;
  }
  for (auto& r : report.peer_outcomes) {
    r.age += age;
  }
  return report;
}

std::string encode_peer_report(const peer_report& report)
{
  json::array known;
  for (const auto& c : report.known_daemons) {
    known.push_back(encode(c));
  }
  json::array relayed;
  for (const auto& r : report.relayed) {
    relayed.push_back(encode(r));
  }
  json::value top_level = {{"relayed", std::move(relayed)},
                           {"self", encode(report.self)},
                           {"configuration", report.configuration_version},
                           {"clock", to_unix_ms(report.clock)},
                           {"running", report.running_daemons},
                           {"known", std::move(known)},
                           {"ages", encode(report.ages)},
                           {"heard", encode(report.last_seen)},
                           {"work", encode(report.work)},
                           {"prefill", encode(report.prefill)},
                           {"departures", encode(report.departures)},
                           {"terms", encode_terms(report.terms)},
                           {"endpoints", encode(report.endpoints)},
                           {"usage", encode(report.usage)},
                           {"rollouts", encode_rollouts(report.rollouts)},
                           {"rollouts_known_up_to", report.rollouts_revision.packed()},
                           {"rollout_rows", encode_rollout_rows(report.rollout_rows)},
                           {"crashes", encode_crash_report(report.crashes)},
                           {"crash_digest", report.crash_digest}};
  if (report.fencing_number > 0) {
    top_level.as_object()["fencing_number"] = report.fencing_number;
  }
  if (!report.decided_usage.empty()) {
    top_level.as_object()["decided_usage"] = encode(report.decided_usage);
  }
  if (!report.rejection_limits.empty()) {
    top_level.as_object()["rejection_limits"] = encode_rejection_limits(report.rejection_limits);
  }
  if (!report.outcomes.empty()) {
    top_level.as_object()["outcomes"] = encode_outcomes(report.outcomes);
  }
  if (!report.peer_outcomes.empty()) {
    top_level.as_object()["peer_outcomes"] = encode_relayed_outcomes(report.peer_outcomes);
  }
  return json::serialize(top_level);
}

std::string encode_quota_request(const quota_request& request)
{
  const json::value out = {{"workspace", request.workspace.value()},
                           {"units", request.min_units},
                           {"ask", request.wanted_units},
                           {"from", request.from.value()},
                           {"rank", load::index_of(request.rank)}};
  return json::serialize(out);
}

std::string encode_quota_grant(const quota_grant& grant)
{
  const json::value out = {{"units", grant.units}, {"retry_after_ms", grant.retry_after.count()}};
  return json::serialize(out);
}

std::string encode_quota_redirect(const quota_redirect& redirect)
{
  const json::value out = {{"owner", redirect.owner.value()},
                           {"address", to_string(redirect.address)}};
  return json::serialize(out);
}

std::string encode_usage_rows(const std::vector<usage_row>& rows)
{
  return json::serialize(encode(rows));
}

std::string encode_endpoint_changes(const endpoint_changes& changes)
{
  json::array records;
  for (const auto& r : changes.records) {
    records.push_back(encode(r));
  }
  const json::value out = {{"view", encode(changes.view)},
                           {"records", std::move(records)},
                           {"departures", encode(changes.departures)},
                           {"complete", changes.is_complete}};
  return json::serialize(out);
}

endpoint_changes decode_endpoint_changes(std::string_view text)
{
  return parse_as(text, [](const json::value& from) {
    endpoint_changes out{.view = decode_view(from.at("view"))};
    for (const auto& r : from.at("records").as_array()) {
      auto record = decode_record(r);
      // Peers of an earlier version pass on entries of other programs.
      if (is_endpoint_id(record.id.value())) {
        out.records.push_back(std::move(record));
      }
    }
    out.departures = decode_departures(from.at("departures"));
    // Peers of an earlier version send all changes at once.
    const auto* complete = from.as_object().if_contains("complete");
    out.is_complete = complete == nullptr || complete->as_bool();
    return out;
  });
}

std::vector<usage_row> decode_usage_rows(std::string_view text)
{
  return parse_as(text, decode_rows);
}

namespace {

// No request of a caller has more units, and no rate lets one wait for longer.
constexpr double max_quota_units = 1e9;
constexpr std::int64_t max_retry_after_ms = 3'600'000;

double decode_units(const json::value& from, std::string_view key)
{
  const auto out = from.at(key).to_number<double>();
  if (!(out >= 0 && out <= max_quota_units)) {
    throw peer_report_error("absurd number of quota units");
  }
  return out;
}

} // namespace

quota_request decode_quota_request(std::string_view text)
{
  return parse_as(text, [](const json::value& from) {
    return quota_request{.workspace = workspace_id(text_at(from, "workspace")),
                         .min_units = decode_units(from, "units"),
                         .wanted_units = decode_units(from, "ask"),
                         .from = daemon_id(optional_text_at(from, "from")),
                         .rank = decode_rank(from)};
  });
}

quota_grant decode_quota_grant(std::string_view text)
{
  return parse_as(text, [](const json::value& from) {
    const auto ms = std::clamp<std::int64_t>(from.at("retry_after_ms").to_number<std::int64_t>(), 0,
                                             max_retry_after_ms);
    return quota_grant{.units = decode_units(from, "units"),
                       .retry_after = std::chrono::milliseconds(ms)};
  });
}

quota_redirect decode_quota_redirect(std::string_view text)
{
  return parse_as(text, [](const json::value& from) {
    return quota_redirect{.owner = daemon_id(text_at(from, "owner")),
                          .address = http::parse_socket_address(text_at(from, "address"))};
  });
}

peer_report decode_peer_report(std::string_view text)
{
  return parse_as(text, decode);
}

} // namespace wisteriaflow::gateway
