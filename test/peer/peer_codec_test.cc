#include <string>

#include <gtest/gtest.h>

#include "peer/peer_codec.h"

namespace wisteriaflow::peer {
namespace {

// Encodes `in`, serializes and parses the message, and decodes it.
template <typename Wire, typename T> auto round_trip(const T& in)
{
  Wire sent;
  encode(in, sent);
  Wire received;
  received.ParseFromString(sent.SerializeAsString());
  return decode(received);
}

TEST(PeerCodecTest, KeepsAClaimRequest)
{
  const claims::claim_request in{.shard = 3,
                                 .key = {.high = 1, .low = 2},
                                 .body_hash = 4,
                                 .created = from_unix_ms(5),
                                 .executor = daemon_id("d1"),
                                 .nonce = 6,
                                 .replaces_nonce = 7,
                                 .workspace = workspace_id("w")};
  EXPECT_EQ(round_trip<v1::ClaimRequest>(in), in);
}

TEST(PeerCodecTest, KeepsAClaimReply)
{
  const claims::claim_reply in{.result = claims::claim_result::duplicate,
                               .executor = daemon_id("d1"),
                               .nonce = 9,
                               .owner = daemon_id("d2"),
                               .key_free = true};
  EXPECT_EQ(round_trip<v1::ClaimReply>(core::peer_response(in)), in);
}

TEST(PeerCodecTest, AnUnknownClaimResultGrantsNothing)
{
  v1::ClaimReply wire;
  wire.set_result(static_cast<v1::ClaimResult>(99));
  EXPECT_EQ(decode(wire).result, claims::claim_result::not_owner);
}

TEST(PeerCodecTest, AnUnknownRequestStateIsAnUnknownOutcome)
{
  v1::RequestStatus wire;
  wire.set_state(static_cast<v1::RequestState>(99));
  EXPECT_EQ(decode(wire).state, core::request_state::outcome_unknown);
}

TEST(PeerCodecTest, AnUnknownMemberStateIsLeaving)
{
  v1::GossipMessage wire;
  wire.add_members()->set_state(static_cast<v1::MemberState>(99));
  EXPECT_EQ(decode(wire).members.front().state, membership::member_state::leaving);
}

TEST(PeerCodecTest, AResponseOfAnotherTypeReadsAsARefusal)
{
  v1::HandOverReply wire;
  encode(core::peer_response(claims::claim_reply{}), wire);
  EXPECT_FALSE(decode(wire).accepted);
}

TEST(PeerCodecTest, KeepsAHandedOverRequest)
{
  core::handed_over_request in;
  in.from = daemon_id("d1");
  in.request_id = "d1-1-1";
  in.workspace = workspace_id("w");
  in.key = "k";
  in.body_hash = {.high = 1, .low = 2};
  in.message = {.method = "POST",
                .target = "/v1/completions",
                .fields = {{.name = "A", .value = "b"}},
                .body = std::string("\0x", 2)};
  in.deadline = from_unix_ms(10);
  in.state.attempt = 2;
  in.state.tokens = {"one ", "two "};
  in.state.dispatched = true;
  in.state.claim_nonce = 11;
  in.state.transfer = requests::kv_transfer{.handle = "h", .from = endpoint_id("e"), .tokens = 12};
  in.keep_until = from_unix_ms(13);
  EXPECT_EQ(round_trip<v1::HandedOverRequest>(in), in);
}

TEST(PeerCodecTest, KeepsAGossipMessage)
{
  membership::gossip_message in;
  in.from = daemon_id("d1");
  in.kind = membership::gossip_kind::urgent;
  in.configuration_revision = 1;
  in.configuration_floor = 2;
  membership::member m;
  m.key = {.kind = membership::member_kind::endpoint, .id = "e"};
  m.state = membership::member_state::leaving;
  m.reclaim_at = from_unix_ms(3);
  m.attributes_revision = 4;
  m.attributes.labels = {{"a", "b"}};
  in.members.push_back(m);
  in.heartbeats.push_back({.hash = 5, .counter = 6});
  in.usage.push_back({.workspace = workspace_id("w"), .daemon = daemon_id("d"), .sequence = 7});
  in.loads.push_back({.endpoint = endpoint_id("e"), .running = 8});
  in.view_version = 9;
  in.view_hash = 10;
  in.view_buckets = {11, 12};
  in.seen_version = 13;
  in.covered_version = 14;
  EXPECT_EQ(round_trip<v1::GossipMessage>(in), in);
}

} // namespace
} // namespace wisteriaflow::peer
