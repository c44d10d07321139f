#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "wisteriaflow/base/hash.h"

namespace wisteriaflow {
namespace {

// Returns the member of `members` that owns `key`.
std::string owner_of(std::uint64_t key, const std::vector<std::string>& members)
{
  std::string best;
  std::uint64_t best_score = 0;
  for (const auto& member : members) {
    const auto score = rendezvous_score(key, member);
    if (best.empty() || score > best_score) {
      best = member;
      best_score = score;
    }
  }
  return best;
}

TEST(HashTest, IsTheSameInEveryProcess)
{
  // The ownership of stored claims depends on these values, so they must survive an upgrade of the
  // hash library.
  EXPECT_EQ(hash64_of("wisteriaflow"), hash64_of(std::string("wisteria") + "flow"));
  EXPECT_EQ(hash64_of(""), 3244421341483603138ULL);
}

TEST(HashTest, RendezvousMovesOnlyTheKeysOfARemovedMember)
{
  const std::vector<std::string> before = {"a", "b", "c", "d"};
  const std::vector<std::string> after = {"a", "b", "d"};
  for (std::uint64_t key = 0; key < 1000; ++key) {
    const auto old_owner = owner_of(key, before);
    if (old_owner != "c") {
      EXPECT_EQ(owner_of(key, after), old_owner)
          << "key " << key << " moved although its owner remained";
    }
  }
}

} // namespace
} // namespace wisteriaflow
