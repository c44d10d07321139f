// Claims of idempotency keys at one daemon.
//
// A request that must not run twice claims its key before it is sent to an endpoint. Keys are
// divided into shards, and the owner of a shard, a live daemon, grants claims and stores them. This
// class runs the owners of this daemon's shards and makes the claims of its own requests.

#ifndef WISTERIAFLOW_SRC_CORE_CLAIM_SERVICE_H_
#define WISTERIAFLOW_SRC_CORE_CLAIM_SERVICE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <variant>
#include <vector>

#include "core/core_context.h"
#include "core/fleet.h"
#include "wisteriaflow/claims/claim.h"
#include "wisteriaflow/claims/claim_client.h"
#include "wisteriaflow/claims/claim_shard_owner.h"

namespace wisteriaflow::core::internal {

// Outcome of a claim for the request that made it.
using claim_outcome =
    std::variant<claims::dispatch_claimed, claims::follow_executor, claims::refuse_claim,
                 claims::report_outcome_unknown, claims::report_body_mismatch>;

// Input of claim_service::claim().
struct claim_parameters {
  hash128 key;
  std::uint64_t body_hash = 0;
  wall_time created;
  workspace_id workspace;
  mono_time deadline;
};

class claim_service {
 public:
  using claim_callback = std::function<void(const claim_outcome&)>;

  claim_service(core_context& context, fleet& members);

  // Starts to own shards.
  void start();

  // Acquires or releases shards after the set of live daemons has changed.
  void update_ownership();

  // Releases all shards. Claims that have been received are still answered.
  void release_shards();

  // Returns whether this daemon owns no shard any more.
  [[nodiscard]] bool all_released() const;

  // Handles a peer's claim of a key. This daemon need not own the key's shard.
  void on_peer_claim(peer_reply_number reply, const claims::claim_request& request);

  // Claims a key and returns the nonce of the claim. `done` is called once, possibly before this
  // returns.
  std::uint64_t claim(const claim_parameters& parameters, claim_callback done);

  // Returns whether the claim with this nonce was made here and ended without its request being
  // sent to an endpoint.
  [[nodiscard]] bool was_never_dispatched(std::uint64_t nonce) const;

  // Records that the request that claimed with this nonce ended without being sent to an endpoint.
  void note_not_run(std::uint64_t nonce);

  // Cancels a claim whose request has not been sent to an endpoint.
  void cancel(std::uint64_t nonce);

 private:
  struct pending_claim {
    claims::claim_client client;
    claim_callback done;
    timer_number timer = 0;
  };
  using reply_target =
      std::variant<peer_reply_number, std::uint64_t>; // a peer's call or a local nonce

  void feed_owner(std::uint32_t shard, const claims::owner_event& e);
  void perform(std::uint32_t shard, const claims::store_call& a);
  void perform(std::uint32_t shard, const claims::send_reply& a);
  void on_store_answer(std::uint32_t shard, std::uint64_t id,
                       const claims::store_operation& operation, const store_answer& answer);

  void feed_client(std::uint64_t nonce, const claims::claim_client_event& e);
  void perform(std::uint64_t nonce, const claims::send_claim& a);
  void perform(std::uint64_t nonce, const claims::query_executor& a);
  void finish(std::uint64_t nonce, const claim_outcome& outcome);

  core_context& context_;
  fleet& fleet_;
  std::vector<claims::claim_shard_owner> owners_;
  std::vector<timer_number> owner_timers_;
  std::map<std::uint64_t, reply_target> replies_;         // by the token passed to the owner
  std::map<std::uint64_t, pending_claim> pending_claims_; // by nonce
  std::map<std::uint64_t, mono_time> not_run_;            // nonces, until their keys expire
  std::uint64_t last_token_ = 0;
  bool started_ = false;
  bool leaving_ = false;
};

} // namespace wisteriaflow::core::internal

#endif // WISTERIAFLOW_SRC_CORE_CLAIM_SERVICE_H_
