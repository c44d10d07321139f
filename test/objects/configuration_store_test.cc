#include <algorithm>
#include <map>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "objects/documents.h"
#include "wisteriaflow/objects/configuration_store.h"

namespace wisteriaflow::objects {
namespace {

boost::json::value weighted(std::string_view name, std::uint64_t revision, double weight = 1)
{
  return document("Workspace", name, revision,
                  R"({"share_weight":)" + std::to_string(weight) + "}");
}

std::uint64_t in_force(const configuration_store& store, const std::string& name)
{
  const auto* found = store.current()->find_workspace(workspace_id(name));
  return found == nullptr ? 0 : found->metadata.revision;
}

class configuration_store_test : public testing::Test {
 protected:
  configuration_store store_;
};
using ConfigurationStoreTest = configuration_store_test; // NOLINT(readability-identifier-naming)

TEST_F(ConfigurationStoreTest, AppliesOnlyAHigherRevisionOfAnObject)
{
  store_.on_put(weighted("w", 5));
  EXPECT_TRUE(store_.on_put(weighted("w", 5)).empty());
  EXPECT_TRUE(store_.on_put(weighted("w", 4)).empty());
  EXPECT_EQ(in_force(store_, "w"), 5U);
  EXPECT_EQ(store_.on_put(weighted("w", 6)).size(), 1U);
  EXPECT_EQ(in_force(store_, "w"), 6U);
}

TEST_F(ConfigurationStoreTest, AStaleListNeitherBringsBackNorDeletes)
{
  store_.on_list(10, {weighted("kept", 9)});
  EXPECT_TRUE(store_.on_list(8, {weighted("deleted", 7)}).empty());
  EXPECT_EQ(in_force(store_, "kept"), 9U);
  EXPECT_EQ(in_force(store_, "deleted"), 0U);
}

TEST_F(ConfigurationStoreTest, AListOlderThanAWatchedChangeLeavesItInForce)
{
  store_.on_list(3, {weighted("w", 3)});
  store_.on_put(weighted("w", 9));
  store_.on_put(weighted("new", 10));
  store_.on_list(7, {weighted("w", 6)});
  EXPECT_EQ(in_force(store_, "w"), 9U);
  EXPECT_EQ(in_force(store_, "new"), 10U);
}

TEST_F(ConfigurationStoreTest, AListAfterAWatchGapDeletesWhatIsGone)
{
  store_.on_list(3, {weighted("w", 3)});
  const auto made = store_.on_list(9, {});
  ASSERT_EQ(made.size(), 1U);
  EXPECT_EQ(made[0].kind, change_kind::deleted);
  EXPECT_EQ(in_force(store_, "w"), 0U);
}

TEST_F(ConfigurationStoreTest, ALatePutDoesNotUndoADeletion)
{
  store_.on_put(weighted("w", 3));
  store_.on_deleted("w", 5);
  store_.on_put(weighted("w", 4));
  EXPECT_EQ(in_force(store_, "w"), 0U);
  store_.on_list(8, {});
  store_.on_put(weighted("w", 4));
  EXPECT_EQ(in_force(store_, "w"), 0U) << "after the tombstone was dropped";
  store_.on_put(weighted("w", 9));
  EXPECT_EQ(in_force(store_, "w"), 9U);
}

TEST_F(ConfigurationStoreTest, ADeletionSeenBeforeItsObjectHolds)
{
  store_.on_deleted("w", 5);
  store_.on_put(weighted("w", 4));
  EXPECT_EQ(in_force(store_, "w"), 0U);
}

TEST_F(ConfigurationStoreTest, AnInvalidVersionLeavesTheLastValidOneInForce)
{
  store_.on_put(weighted("w", 3));
  const auto made = store_.on_put(weighted("w", 4, -1));
  ASSERT_EQ(made.size(), 1U);
  EXPECT_EQ(made[0].kind, change_kind::rejected);
  EXPECT_EQ(in_force(store_, "w"), 3U);
  ASSERT_EQ(store_.rejected().size(), 1U);
  EXPECT_EQ(store_.rejected()[0].revision, 4U);
  EXPECT_EQ(store_.rejected()[0].in_force_revision, 3U);
  store_.on_put(weighted("w", 5));
  EXPECT_EQ(in_force(store_, "w"), 5U);
  EXPECT_TRUE(store_.rejected().empty());
}

TEST_F(ConfigurationStoreTest, AnObjectComesIntoForceWithWhatItRefersTo)
{
  store_.on_put(document("Pool", "p", 1, R"({"model":"m"})"));
  EXPECT_EQ(store_.rejected().size(), 1U);
  store_.on_put(document("ModelVersion", "m-1", 2, R"({"model":"m","version":"1"})"));
  EXPECT_NE(store_.current()->find_pool("p"), nullptr);
  EXPECT_TRUE(store_.rejected().empty());
}

TEST_F(ConfigurationStoreTest, WhatIsNotUnderstoodLeavesTheRestInForce)
{
  store_.on_put(weighted("w", 1));
  store_.on_put(document("Teapot", "t", 2));
  store_.on_put(document("Workspace", "w", 3, R"({"schema":99})"));
  EXPECT_EQ(in_force(store_, "w"), 1U);
  EXPECT_EQ(store_.current()->not_understood().size(), 2U);
}

TEST_F(ConfigurationStoreTest, MayNotServeBelowAPeersRevision)
{
  store_.on_peer_revision(9);
  store_.on_list(8, {weighted("w", 3)});
  EXPECT_EQ(store_.readiness(), configuration_readiness::catching_up);
  store_.on_list(9, {weighted("w", 9)});
  EXPECT_EQ(store_.readiness(), configuration_readiness::ready);
}

TEST_F(ConfigurationStoreTest, MayNotServeByTheStoreAloneWhilePeersMayAnswer)
{
  store_.on_list(8, {weighted("w", 3)});
  EXPECT_EQ(store_.readiness(), configuration_readiness::floor_unknown);
  store_.on_peers_silent();
  EXPECT_EQ(store_.readiness(), configuration_readiness::ready);
}

TEST_F(ConfigurationStoreTest, SilentPeersWithoutAListNameNoFloor)
{
  store_.on_peers_silent();
  EXPECT_EQ(store_.readiness(), configuration_readiness::floor_unknown);
}

TEST_F(ConfigurationStoreTest, ANewDaemonTakesEverythingFromAPeer)
{
  store_.on_list(3, {weighted("w", 2), weighted("gone", 3)});
  store_.on_put(weighted("w", 4, -1));
  store_.on_deleted("gone", 5);
  configuration_store fresh;
  fresh.on_peer_snapshot(store_.snapshot());
  EXPECT_EQ(fresh.readiness(), configuration_readiness::ready);
  EXPECT_EQ(*fresh.current(), *store_.current());
  EXPECT_EQ(fresh.rejected(), store_.rejected());
  fresh.on_list(4, {weighted("w", 4, -1), weighted("gone", 3)});
  EXPECT_EQ(in_force(fresh, "gone"), 0U) << "a stale list undid a deletion";
}

TEST_F(ConfigurationStoreTest, ANewerPeerSnapshotDeletesWhatIsGone)
{
  store_.on_list(3, {weighted("w", 3)});
  configuration_store peer;
  peer.on_list(9, {});
  store_.on_peer_snapshot(peer.snapshot());
  EXPECT_EQ(in_force(store_, "w"), 0U);
}

TEST_F(ConfigurationStoreTest, ALastValidVersionIsTakenFromAPeer)
{
  store_.on_put(weighted("w", 2));
  store_.on_put(weighted("w", 4, -1));
  configuration_store fresh;
  fresh.on_list(4, {weighted("w", 4, -1)});
  EXPECT_EQ(in_force(fresh, "w"), 0U);
  fresh.on_peer_snapshot(store_.snapshot());
  EXPECT_EQ(in_force(fresh, "w"), 2U);
}

// The object store's history for the property: each step is one write to one of few names.
struct history_step {
  std::string name;
  bool deletes = false;
};

class history {
 public:
  explicit history(const std::vector<history_step>& steps) : steps_(steps) {}

  [[nodiscard]] std::uint64_t size() const { return steps_.size(); }

  // Shows `store` the change of `revision`, as a watch would.
  void show(configuration_store& store, std::uint64_t revision) const
  {
    const auto& step = steps_[revision - 1];
    if (step.deletes) {
      store.on_deleted(step.name, revision);
    } else {
      store.on_put(weighted(step.name, revision));
    }
  }

  // All objects as they were at `revision`, by name.
  [[nodiscard]] std::map<std::string, std::uint64_t> at(std::uint64_t revision) const
  {
    std::map<std::string, std::uint64_t> objects;
    for (std::uint64_t r = 1; r <= revision; ++r) {
      const auto& step = steps_[r - 1];
      objects.erase(step.name);
      if (!step.deletes) {
        objects[step.name] = r;
      }
    }
    return objects;
  }

  void list(configuration_store& store, std::uint64_t revision) const
  {
    std::vector<boost::json::value> documents;
    for (const auto& [name, r] : at(revision)) {
      documents.push_back(weighted(name, r));
    }
    store.on_list(revision, documents);
  }

 private:
  std::vector<history_step> steps_;
};

std::vector<history_step> any_steps()
{
  const auto deletes = *rc::gen::container<std::vector<bool>>(rc::gen::arbitrary<bool>());
  std::vector<history_step> steps;
  steps.reserve(deletes.size());
  for (const bool d : deletes) {
    steps.push_back({.name = *rc::gen::element<std::string>("a", "b", "c"), .deletes = d});
  }
  return steps;
}

RC_GTEST_PROP(ConfigurationStorePropertyTest, NeverRevertsAndEndsAtTheNewest, ())
{
  const history past(any_steps());
  RC_PRE(past.size() > 0U);
  configuration_store store;
  configuration_store peer;
  std::map<std::string, std::uint64_t> highest;
  const auto count = *rc::gen::inRange(0, 40);
  for (int i = 0; i < count; ++i) {
    const auto revision = *rc::gen::inRange<std::uint64_t>(1, past.size() + 1);
    const auto before = store.revision();
    switch (*rc::gen::inRange(0, 4)) {
    case 0:
      past.list(store, revision);
      break;
    case 1:
      past.show(peer, revision);
      break;
    case 2:
      store.on_peer_snapshot(peer.snapshot());
      break;
    default:
      past.show(store, revision);
    }
    RC_ASSERT(store.revision() >= before);
    for (const auto& w : store.current()->workspaces()) {
      auto& seen = highest[w.metadata.name];
      RC_ASSERT(w.metadata.revision >= seen);
      seen = w.metadata.revision;
    }
  }
  past.list(store, past.size());
  RC_ASSERT(store.revision() == past.size());
  std::map<std::string, std::uint64_t> ended;
  for (const auto& w : store.current()->workspaces()) {
    ended[w.metadata.name] = w.metadata.revision;
  }
  RC_ASSERT(ended == past.at(past.size()));
}

} // namespace
} // namespace wisteriaflow::objects
