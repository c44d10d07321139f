// Claims at one daemon: the shards it owns, and the askers of its own requests.

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
#include "wisteriaflow/claims/claim_asker.h"
#include "wisteriaflow/claims/claim_shard_owner.h"

namespace wisteriaflow::core::internal {

// How a claim ended for the request that asked.
using claim_outcome =
    std::variant<claims::dispatch_claimed, claims::follow_executor, claims::refuse_claim,
                 claims::report_outcome_unknown, claims::report_body_mismatch>;

// What is to be claimed.
struct claim_wish {
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

  // Owns shards from now on.
  void start();

  // The live daemons may have changed.
  void update_ownership();

  // Gives up all shards; claims that came in are finished.
  void leave();

  // Whether no shard is owned any more.
  [[nodiscard]] bool released() const;

  // A peer asks to claim a key of a shard that may be owned here.
  void on_claim_asked(peer_reply_number reply, const claims::claim_request& request);

  // Claims a key. `done` is called once, perhaps before this returns. Returns the claim's nonce.
  std::uint64_t claim(const claim_wish& wish, claim_callback done);

  // Whether the claim with this nonce was made here and given up undispatched.
  [[nodiscard]] bool never_ran(std::uint64_t nonce) const;

  // The request that claimed with this nonce has ended without being sent anywhere.
  void note_not_run(std::uint64_t nonce);

  // Gives a claim up that has not been dispatched.
  void cancel(std::uint64_t nonce);

 private:
  struct asking {
    claims::claim_client asker;
    claim_callback done;
    timer_number timer = 0;
  };
  using reply_target = std::variant<peer_reply_number, std::uint64_t>; // a peer, or an own nonce

  void feed_owner(std::uint32_t shard, const claims::owner_event& e);
  void act(std::uint32_t shard, const claims::store_call& a);
  void act(std::uint32_t shard, const claims::send_reply& a);
  void answer_owner(std::uint32_t shard, std::uint64_t id, const claims::store_operation& operation,
                    const store_answer& answer);

  void feed_asker(std::uint64_t nonce, const claims::claim_client_event& e);
  void act(std::uint64_t nonce, const claims::send_claim& a);
  void act(std::uint64_t nonce, const claims::query_executor& a);
  void finish(std::uint64_t nonce, const claim_outcome& outcome);

  core_context& context_;
  fleet& fleet_;
  std::vector<claims::claim_shard_owner> owners_;
  std::vector<timer_number> owner_timers_;
  std::map<std::uint64_t, reply_target> replies_; // by the owner's token
  std::map<std::uint64_t, asking> askings_;       // by nonce
  std::map<std::uint64_t, mono_time> not_run_;    // nonces given up, until their keys are too old
  std::uint64_t last_token_ = 0;
  bool started_ = false;
  bool leaving_ = false;
};

} // namespace wisteriaflow::core::internal

#endif // WISTERIAFLOW_SRC_CORE_CLAIM_SERVICE_H_
