// Claims that wait for their entry to become durable: those gathered for the next update, and the
// batch of the update that is under way.

#ifndef WISTERIAFLOW_CLAIMS_PENDING_CLAIMS_H_
#define WISTERIAFLOW_CLAIMS_PENDING_CLAIMS_H_

#include <algorithm>
#include <cstdint>
#include <utility>
#include <vector>

#include "wisteriaflow/claims/claim.h"
#include "wisteriaflow/claims/owner_events.h"

namespace wisteriaflow::claims::internal {

// A claim on its way, and everyone who has asked for it.
struct pending_claim {
  claim_entry entry;
  std::vector<std::uint64_t> tokens;
};

class pending_claims {
 public:
  [[nodiscard]] std::size_t size() const { return gathered_.size() + batch_.size(); }
  [[nodiscard]] bool has_gathered() const { return !gathered_.empty(); }
  [[nodiscard]] const std::vector<pending_claim>& batch() const { return batch_; }

  void gather(pending_claim claim) { gathered_.push_back(std::move(claim)); }

  // Makes what was gathered the batch; the former batch must have been taken.
  void start_batch() { batch_ = std::exchange(gathered_, {}); }

  [[nodiscard]] std::vector<pending_claim> take_batch() { return std::exchange(batch_, {}); }
  // Who waits for the batch; its entries stay.
  [[nodiscard]] std::vector<std::uint64_t> take_batch_tokens()
  {
    std::vector<std::uint64_t> out;
    for (auto& claim : batch_) {
      out.insert(out.end(), claim.tokens.begin(), claim.tokens.end());
      claim.tokens.clear();
    }
    return out;
  }

  [[nodiscard]] std::vector<pending_claim> take_gathered() { return std::exchange(gathered_, {}); }

  // The claim of `key` that is on its way, or null.
  [[nodiscard]] pending_claim* find(const hash128& key)
  {
    const auto same_key = [&](const pending_claim& claim) { return claim.entry.key == key; };
    for (auto* claims : {&gathered_, &batch_}) {
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
  std::vector<pending_claim> gathered_;
  std::vector<pending_claim> batch_;
};

} // namespace wisteriaflow::claims::internal

#endif // WISTERIAFLOW_CLAIMS_PENDING_CLAIMS_H_
