// Converts peer messages between plain structs and protobuf.

#ifndef WISTERIAFLOW_SRC_PEER_PEER_CODEC_H_
#define WISTERIAFLOW_SRC_PEER_PEER_CODEC_H_

#include "peer.pb.h"
#include "wisteriaflow/core/peer_messages.h"

namespace wisteriaflow::peer {

// Requests. Unknown enumerators, for example from a newer daemon, are decoded as the safest value.
void encode(const membership::gossip_message& in, v1::GossipMessage& out);
void encode(const claims::claim_request& in, v1::ClaimRequest& out);
void encode(const core::request_query& in, v1::RequestQuery& out);
void encode(const core::handed_over_request& in, v1::HandedOverRequest& out);
void encode(const core::configuration_query& in, v1::ConfigurationQuery& out);
void encode(const core::place_note& in, v1::PlaceNote& out);

// Responses. A response of another type than `out` leaves `out` empty, which decodes as a refusal.
void encode(const core::peer_response& in, v1::GossipMessage& out);
void encode(const core::peer_response& in, v1::ClaimReply& out);
void encode(const core::peer_response& in, v1::RequestStatus& out);
void encode(const core::peer_response& in, v1::HandOverReply& out);
void encode(const core::peer_response& in, v1::Configuration& out);
void encode(const core::peer_response& in, v1::PlaceNoteReply& out);

[[nodiscard]] membership::gossip_message decode(const v1::GossipMessage& in);
[[nodiscard]] claims::claim_request decode(const v1::ClaimRequest& in);
[[nodiscard]] core::request_query decode(const v1::RequestQuery& in);
[[nodiscard]] core::handed_over_request decode(const v1::HandedOverRequest& in);
[[nodiscard]] core::configuration_query decode(const v1::ConfigurationQuery& in);
[[nodiscard]] core::place_note decode(const v1::PlaceNote& in);

[[nodiscard]] claims::claim_reply decode(const v1::ClaimReply& in);
[[nodiscard]] core::request_status decode(const v1::RequestStatus& in);
[[nodiscard]] core::hand_over_reply decode(const v1::HandOverReply& in);
[[nodiscard]] objects::configuration_snapshot decode(const v1::Configuration& in);
[[nodiscard]] core::place_note_reply decode(const v1::PlaceNoteReply& in);

} // namespace wisteriaflow::peer

#endif // WISTERIAFLOW_SRC_PEER_PEER_CODEC_H_
