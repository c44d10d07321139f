#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "wisteriaflow/base/hash.h"

namespace wisteriaflow {
namespace {

// The member of `members` that owns `key`.
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
  // Ownership of stored claims depends on it, so a change of library must not change it.
  EXPECT_EQ(hash64_of("wisteriaflow"), hash64_of(std::string("wisteria") + "flow"));
  EXPECT_EQ(hash64_of(""), 3244421341483603138ULL);
}

TEST(HashTest, RendezvousMovesOnlyTheKeysOfALostMember)
{
  const std::vector<std::string> before = {"a", "b", "c", "d"};
  const std::vector<std::string> after = {"a", "b", "d"};
  for (std::uint64_t key = 0; key < 1000; ++key) {
    const auto was = owner_of(key, before);
    if (was != "c") {
      EXPECT_EQ(owner_of(key, after), was) << "key " << key << " moved without need";
    }
  }
}

} // namespace
} // namespace wisteriaflow
