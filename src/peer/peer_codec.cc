#include "peer/peer_codec.h"

#include <algorithm>
#include <string>
#include <utility>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace wisteriaflow::peer {
namespace {

using membership::gossip_kind;
using membership::member_kind;
using membership::member_state;

// HTTP.

void encode_headers(const http::headers& in,
                    google::protobuf::RepeatedPtrField<v1::HttpHeader>& out)
{
  for (const auto& field : in) {
    auto& added = *out.Add();
    added.set_name(field.name);
    added.set_value(field.value);
  }
}

http::headers decode_headers(const google::protobuf::RepeatedPtrField<v1::HttpHeader>& in)
{
  http::headers out;
  for (const auto& field : in) {
    out.push_back({.name = field.name(), .value = field.value()});
  }
  return out;
}

// Claims.

v1::ClaimResult encode_result(claims::claim_result in)
{
  switch (in) {
  case claims::claim_result::granted:
    return v1::CLAIM_RESULT_GRANTED;
  case claims::claim_result::duplicate:
    return v1::CLAIM_RESULT_DUPLICATE;
  case claims::claim_result::body_mismatch:
    return v1::CLAIM_RESULT_BODY_MISMATCH;
  case claims::claim_result::too_old:
    return v1::CLAIM_RESULT_TOO_OLD;
  case claims::claim_result::not_owner:
    return v1::CLAIM_RESULT_NOT_OWNER;
  case claims::claim_result::unavailable:
    return v1::CLAIM_RESULT_UNAVAILABLE;
  }
  return v1::CLAIM_RESULT_UNSPECIFIED;
}

// A result that this version does not know grants nothing: the claim is sent again, to another
// owner.
claims::claim_result decode_result(v1::ClaimResult in)
{
  switch (in) {
  case v1::CLAIM_RESULT_GRANTED:
    return claims::claim_result::granted;
  case v1::CLAIM_RESULT_DUPLICATE:
    return claims::claim_result::duplicate;
  case v1::CLAIM_RESULT_BODY_MISMATCH:
    return claims::claim_result::body_mismatch;
  case v1::CLAIM_RESULT_TOO_OLD:
    return claims::claim_result::too_old;
  case v1::CLAIM_RESULT_UNAVAILABLE:
    return claims::claim_result::unavailable;
  default:
    return claims::claim_result::not_owner;
  }
}

// Requests.

v1::RequestState encode_state(core::request_state in)
{
  switch (in) {
  case core::request_state::in_flight:
    return v1::REQUEST_STATE_IN_FLIGHT;
  case core::request_state::answered:
    return v1::REQUEST_STATE_ANSWERED;
  case core::request_state::not_run:
    return v1::REQUEST_STATE_NOT_RUN;
  case core::request_state::outcome_unknown:
    return v1::REQUEST_STATE_OUTCOME_UNKNOWN;
  }
  return v1::REQUEST_STATE_UNSPECIFIED;
}

core::request_state decode_state(v1::RequestState in)
{
  switch (in) {
  case v1::REQUEST_STATE_IN_FLIGHT:
    return core::request_state::in_flight;
  case v1::REQUEST_STATE_ANSWERED:
    return core::request_state::answered;
  case v1::REQUEST_STATE_NOT_RUN:
    return core::request_state::not_run;
  default:
    return core::request_state::outcome_unknown;
  }
}

// Membership.

v1::MemberState encode_state(member_state in)
{
  switch (in) {
  case member_state::live:
    return v1::MEMBER_STATE_LIVE;
  case member_state::leaving:
    return v1::MEMBER_STATE_LEAVING;
  case member_state::gone:
    return v1::MEMBER_STATE_GONE;
  }
  return v1::MEMBER_STATE_UNSPECIFIED;
}

member_state decode_state(v1::MemberState in)
{
  switch (in) {
  case v1::MEMBER_STATE_LIVE:
    return member_state::live;
  case v1::MEMBER_STATE_GONE:
    return member_state::gone;
  default:
    return member_state::leaving;
  }
}

void encode_member(const membership::member& in, v1::Member& out)
{
  const auto& a = in.attributes;
  out.set_kind(in.key.kind == member_kind::daemon ? v1::MEMBER_KIND_DAEMON
                                                  : v1::MEMBER_KIND_ENDPOINT);
  out.set_id(in.key.id);
  out.set_incarnation(in.incarnation);
  out.set_state(encode_state(in.state));
  out.set_peer_address(a.peer_address);
  out.set_caller_address(a.address);
  out.set_availability_zone(a.zone.value());
  out.set_heartbeat(in.heartbeat);
  out.set_reclaim_at_unix_ms(in.reclaim_at ? to_unix_ms(*in.reclaim_at) : 0);
  out.set_attributes_revision(in.attributes_revision);
  out.mutable_labels()->insert(a.labels.begin(), a.labels.end());
  out.set_instance_class(a.instance_class);
  out.set_role(a.role);
  out.set_reclaimable(a.reclaimable);
  out.set_price_per_hour(a.price_per_hour);
  out.set_checks_fencing(a.checks_fencing);
}

membership::member decode_member(const v1::Member& in)
{
  membership::member out;
  out.key = {.kind =
                 in.kind() == v1::MEMBER_KIND_DAEMON ? member_kind::daemon : member_kind::endpoint,
             .id = in.id()};
  out.incarnation = in.incarnation();
  out.state = decode_state(in.state());
  if (in.reclaim_at_unix_ms() != 0) {
    out.reclaim_at = from_unix_ms(in.reclaim_at_unix_ms());
  }
  out.heartbeat = in.heartbeat();
  out.attributes_revision = in.attributes_revision();
  auto& a = out.attributes;
  a.peer_address = in.peer_address();
  a.address = in.caller_address();
  a.zone = availability_zone(in.availability_zone());
  a.labels = {in.labels().begin(), in.labels().end()};
  a.instance_class = in.instance_class();
  a.role = in.role();
  a.reclaimable = in.reclaimable();
  a.price_per_hour = in.price_per_hour();
  a.checks_fencing = in.checks_fencing();
  return out;
}

v1::GossipKind encode_kind(gossip_kind in)
{
  switch (in) {
  case gossip_kind::exchange:
    return v1::GOSSIP_KIND_EXCHANGE;
  case gossip_kind::urgent:
    return v1::GOSSIP_KIND_URGENT;
  case gossip_kind::usage:
    return v1::GOSSIP_KIND_USAGE;
  }
  return v1::GOSSIP_KIND_UNSPECIFIED;
}

gossip_kind decode_kind(v1::GossipKind in)
{
  switch (in) {
  case v1::GOSSIP_KIND_URGENT:
    return gossip_kind::urgent;
  case v1::GOSSIP_KIND_USAGE:
    return gossip_kind::usage;
  default:
    return gossip_kind::exchange;
  }
}

void encode_usage(const membership::workspace_usage& in, v1::WorkspaceUsage& out)
{
  out.set_workspace(in.workspace.value());
  out.set_daemon(in.daemon.value());
  out.set_tokens_per_second(in.tokens_per_second);
  out.set_requests_per_second(in.requests_per_second);
  out.set_sequence(in.sequence);
}

void encode_load(const membership::endpoint_load& in, v1::EndpointLoad& out)
{
  out.set_endpoint(in.endpoint.value());
  out.set_running(in.running);
  out.set_waiting(in.waiting);
  out.set_kv_used(in.kv_used);
  out.set_measured_at_unix_ms(to_unix_ms(in.measured_at));
}

// Returns the response's alternative, or null if the core answered with another type.
template <typename T> const T* response_as(const core::peer_response& in)
{
  return std::get_if<T>(&in);
}

} // namespace

void encode(const membership::gossip_message& in, v1::GossipMessage& out)
{
  out.set_from(in.from.value());
  out.set_kind(encode_kind(in.kind));
  out.set_configuration_revision(in.configuration_revision);
  out.set_configuration_floor(in.configuration_floor);
  for (const auto& m : in.members) {
    encode_member(m, *out.add_members());
  }
  for (const auto& beat : in.heartbeats) {
    out.add_heartbeat_hashes(beat.hash);
    out.add_heartbeat_counters(beat.counter);
  }
  for (const auto& usage : in.usage) {
    encode_usage(usage, *out.add_usage());
  }
  for (const auto& load : in.loads) {
    encode_load(load, *out.add_loads());
  }
  out.set_view_version(in.view_version);
  out.set_view_hash(in.view_hash);
  out.mutable_view_buckets()->Add(in.view_buckets.begin(), in.view_buckets.end());
  out.set_seen_version(in.seen_version);
  out.set_covered_version(in.covered_version);
}

membership::gossip_message decode(const v1::GossipMessage& in)
{
  membership::gossip_message out;
  out.from = daemon_id(in.from());
  out.kind = decode_kind(in.kind());
  out.configuration_revision = in.configuration_revision();
  out.configuration_floor = in.configuration_floor();
  for (const auto& m : in.members()) {
    out.members.push_back(decode_member(m));
  }
  const int beats = std::min(in.heartbeat_hashes_size(), in.heartbeat_counters_size());
  for (int i = 0; i < beats; ++i) {
    out.heartbeats.push_back({.hash = in.heartbeat_hashes(i), .counter = in.heartbeat_counters(i)});
  }
  for (const auto& usage : in.usage()) {
    out.usage.push_back({.workspace = workspace_id(usage.workspace()),
                         .daemon = daemon_id(usage.daemon()),
                         .tokens_per_second = usage.tokens_per_second(),
                         .requests_per_second = usage.requests_per_second(),
                         .sequence = usage.sequence()});
  }
  for (const auto& load : in.loads()) {
    out.loads.push_back({.endpoint = endpoint_id(load.endpoint()),
                         .running = load.running(),
                         .waiting = load.waiting(),
                         .kv_used = load.kv_used(),
                         .measured_at = from_unix_ms(load.measured_at_unix_ms())});
  }
  out.view_version = in.view_version();
  out.view_hash = in.view_hash();
  out.view_buckets = {in.view_buckets().begin(), in.view_buckets().end()};
  out.seen_version = in.seen_version();
  out.covered_version = in.covered_version();
  return out;
}

void encode(const claims::claim_request& in, v1::ClaimRequest& out)
{
  out.set_shard(in.shard);
  out.set_key_high(in.key.high);
  out.set_key_low(in.key.low);
  out.set_body_hash(in.body_hash);
  out.set_key_created_unix_ms(to_unix_ms(in.created));
  out.set_executor(in.executor.value());
  out.set_nonce(in.nonce);
  out.set_replaces_nonce(in.replaces_nonce);
  out.set_workspace(in.workspace.value());
}

claims::claim_request decode(const v1::ClaimRequest& in)
{
  return {.shard = in.shard(),
          .key = {.high = in.key_high(), .low = in.key_low()},
          .body_hash = in.body_hash(),
          .created = from_unix_ms(in.key_created_unix_ms()),
          .executor = daemon_id(in.executor()),
          .nonce = in.nonce(),
          .replaces_nonce = in.replaces_nonce(),
          .workspace = workspace_id(in.workspace())};
}

void encode(const core::peer_response& in, v1::ClaimReply& out)
{
  if (const auto* reply = response_as<claims::claim_reply>(in)) {
    out.set_result(encode_result(reply->result));
    out.set_executor(reply->executor.value());
    out.set_nonce(reply->nonce);
    out.set_owner(reply->owner.value());
    out.set_key_free(reply->key_free);
  }
}

claims::claim_reply decode(const v1::ClaimReply& in)
{
  return {.result = decode_result(in.result()),
          .executor = daemon_id(in.executor()),
          .nonce = in.nonce(),
          .owner = daemon_id(in.owner()),
          .key_free = in.key_free()};
}

void encode(const core::request_query& in, v1::RequestQuery& out)
{
  out.set_key_high(in.key.high);
  out.set_key_low(in.key.low);
  out.set_nonce(in.nonce);
}

core::request_query decode(const v1::RequestQuery& in)
{
  return {.key = {.high = in.key_high(), .low = in.key_low()}, .nonce = in.nonce()};
}

void encode(const core::peer_response& in, v1::RequestStatus& out)
{
  if (const auto* status = response_as<core::request_status>(in)) {
    out.set_state(encode_state(status->state));
    out.set_caller_address(status->caller_address);
  }
}

core::request_status decode(const v1::RequestStatus& in)
{
  return {.state = decode_state(in.state()), .caller_address = in.caller_address()};
}

void encode(const core::handed_over_request& in, v1::HandedOverRequest& out)
{
  out.set_from(in.from.value());
  out.set_request_id(in.request_id);
  out.set_workspace(in.workspace.value());
  out.set_key(in.key);
  out.set_body_hash_high(in.body_hash.high);
  out.set_body_hash_low(in.body_hash.low);
  out.set_method(in.message.method);
  out.set_target(in.message.target);
  encode_headers(in.message.fields, *out.mutable_headers());
  out.set_body(in.message.body);
  out.set_deadline_unix_ms(to_unix_ms(in.deadline));
  for (const auto& token : in.state.tokens) {
    out.add_tokens(token);
  }
  out.set_attempt(in.state.attempt);
  out.set_claim_nonce(in.state.claim_nonce);
  out.set_dispatched(in.state.dispatched);
  if (in.state.transfer) {
    out.set_transfer_handle(in.state.transfer->handle);
    out.set_transfer_from(in.state.transfer->from.value());
    out.set_transfer_tokens(in.state.transfer->tokens);
  }
  out.set_finished(in.finished);
  out.set_answer_status(in.answer.status);
  encode_headers(in.answer.fields, *out.mutable_answer_headers());
  out.set_answer_body(in.answer.body);
  out.set_finish_reason(in.finish_reason);
  out.set_keep_until_unix_ms(to_unix_ms(in.keep_until));
}

core::handed_over_request decode(const v1::HandedOverRequest& in)
{
  core::handed_over_request out;
  out.from = daemon_id(in.from());
  out.request_id = in.request_id();
  out.workspace = workspace_id(in.workspace());
  out.key = in.key();
  out.body_hash = {.high = in.body_hash_high(), .low = in.body_hash_low()};
  out.message.method = in.method();
  out.message.target = in.target();
  out.message.fields = decode_headers(in.headers());
  out.message.body = in.body();
  out.deadline = from_unix_ms(in.deadline_unix_ms());
  out.state.tokens = {in.tokens().begin(), in.tokens().end()};
  out.state.attempt = in.attempt();
  out.state.claim_nonce = in.claim_nonce();
  out.state.dispatched = in.dispatched();
  if (!in.transfer_handle().empty()) {
    out.state.transfer = requests::kv_transfer{.handle = in.transfer_handle(),
                                               .from = endpoint_id(in.transfer_from()),
                                               .tokens = in.transfer_tokens()};
  }
  out.finished = in.finished();
  out.answer.status = in.answer_status();
  out.answer.fields = decode_headers(in.answer_headers());
  out.answer.body = in.answer_body();
  out.finish_reason = in.finish_reason();
  out.keep_until = from_unix_ms(in.keep_until_unix_ms());
  return out;
}

void encode(const core::peer_response& in, v1::HandOverReply& out)
{
  if (const auto* reply = response_as<core::hand_over_reply>(in)) {
    out.set_accepted(reply->accepted);
    out.set_caller_address(reply->caller_address);
  }
}

core::hand_over_reply decode(const v1::HandOverReply& in)
{
  return {.accepted = in.accepted(), .caller_address = in.caller_address()};
}

void encode(const core::configuration_query& in, v1::ConfigurationQuery& out)
{
  out.set_known_revision(in.known_revision);
}

core::configuration_query decode(const v1::ConfigurationQuery& in)
{
  return {.known_revision = in.known_revision()};
}

void encode(const core::peer_response& in, v1::Configuration& out)
{
  if (const auto* snapshot = response_as<objects::configuration_snapshot>(in)) {
    out.set_revision(snapshot->revision);
    out.set_floor(snapshot->complete_revision);
    for (const auto& object : snapshot->objects) {
      out.add_objects(boost::json::serialize(object));
    }
  }
}

objects::configuration_snapshot decode(const v1::Configuration& in)
{
  objects::configuration_snapshot out{.revision = in.revision(), .complete_revision = in.floor()};
  for (const auto& object : in.objects()) {
    boost::json::error_code ec;
    auto document = boost::json::parse(object, ec);
    if (!ec) {
      out.objects.push_back(std::move(document));
    }
  }
  return out;
}

void encode(const core::place_note& in, v1::PlaceNote& out)
{
  out.set_key_high(in.key.high);
  out.set_key_low(in.key.low);
  out.set_caller_address(in.caller_address);
  out.set_keep_until_unix_ms(to_unix_ms(in.keep_until));
}

core::place_note decode(const v1::PlaceNote& in)
{
  return {.key = {.high = in.key_high(), .low = in.key_low()},
          .caller_address = in.caller_address(),
          .keep_until = from_unix_ms(in.keep_until_unix_ms())};
}

void encode(const core::peer_response& /*in*/, v1::PlaceNoteReply& /*out*/) {}

core::place_note_reply decode(const v1::PlaceNoteReply& /*in*/)
{
  return {};
}

void encode(const core::peer_response& in, v1::GossipMessage& out)
{
  if (const auto* reply = response_as<membership::gossip_message>(in)) {
    encode(*reply, out);
  }
}

} // namespace wisteriaflow::peer
