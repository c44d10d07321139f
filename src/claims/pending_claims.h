// Claims that wait until their entry is stored: those queued for the next update, and the batch of
// the update that has been sent.

#ifndef WISTERIAFLOW_CLAIMS_PENDING_CLAIMS_H_
#define WISTERIAFLOW_CLAIMS_PENDING_CLAIMS_H_

#include <algorithm>
#include <cstdint>
#include <utility>
#include <vector>

#include "wisteriaflow/claims/claim.h"
#include "wisteriaflow/claims/owner_events.h"

namespace wisteriaflow::claims::internal {

// A pending claim and the tokens of all who wait for its reply.
struct pending_claim {
  claim_entry entry;
  std::vector<std::uint64_t> tokens;
};

class pending_claims {
 public:
  [[nodiscard]] std::size_t size() const { return queued_.size() + batch_.size(); }
  [[nodiscard]] bool has_queued() const { return !queued_.empty(); }
  [[nodiscard]] const std::vector<pending_claim>& batch() const { return batch_; }

  void enqueue(pending_claim claim) { queued_.push_back(std::move(claim)); }

  // Makes the queued claims the batch; the previous batch must have been taken.
  void start_batch() { batch_ = std::exchange(queued_, {}); }

  [[nodiscard]] std::vector<pending_claim> take_batch() { return std::exchange(batch_, {}); }
  // Removes and returns the tokens that wait for the batch; its entries stay.
  [[nodiscard]] std::vector<std::uint64_t> take_batch_tokens()
  {
    std::vector<std::uint64_t> out;
    for (auto& claim : batch_) {
      out.insert(out.end(), claim.tokens.begin(), claim.tokens.end());
      claim.tokens.clear();
    }
    return out;
  }

  [[nodiscard]] std::vector<pending_claim> take_queued() { return std::exchange(queued_, {}); }

  // Returns the pending claim of `key`, or null.
  [[nodiscard]] pending_claim* find(const hash128& key)
  {
    const auto same_key = [&](const pending_claim& claim) { return claim.entry.key == key; };
    for (auto* claims : {&queued_, &batch_}) {
      const auto it = std::find_if(claims->begin(), claims->end(), same_key);
      if (it != claims->end()) {
        return &*it;
      }
    }
    return nullptr;
  }

  [[nodiscard]] std::vector<claim_entry> batch_entries() const
  {
    std::vector<claim_entry> entries;
    entries.reserve(batch_.size());
    for (const auto& claim : batch_) {
      entries.push_back(claim.entry);
    }
    return entries;
  }

 private:
  std::vector<pending_claim> queued_;
  std::vector<pending_claim> batch_;
};

} // namespace wisteriaflow::claims::internal

#endif // WISTERIAFLOW_CLAIMS_PENDING_CLAIMS_H_
