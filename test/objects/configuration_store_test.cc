#include <algorithm>
#include <map>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "objects/test_documents.h"
#include "wisteriaflow/objects/configuration_store.h"

namespace wisteriaflow::objects {
namespace {

boost::json::value workspace_document(std::string_view name, std::uint64_t revision,
                                      double weight = 1)
{
  return document("Workspace", name, revision,
                  R"({"share_weight":)" + std::to_string(weight) + "}");
}

// The revision of the active version of a workspace; 0 if there is none.
std::uint64_t active_revision(const configuration_store& store, const std::string& name)
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
  store_.on_put(workspace_document("w", 5));
  EXPECT_TRUE(store_.on_put(workspace_document("w", 5)).empty());
  EXPECT_TRUE(store_.on_put(workspace_document("w", 4)).empty());
  EXPECT_EQ(active_revision(store_, "w"), 5U);
  EXPECT_EQ(store_.on_put(workspace_document("w", 6)).size(), 1U);
  EXPECT_EQ(active_revision(store_, "w"), 6U);
}

TEST_F(ConfigurationStoreTest, AStaleListNeitherRestoresNorDeletesObjects)
{
  store_.on_list(10, {workspace_document("kept", 9)});
  EXPECT_TRUE(store_.on_list(8, {workspace_document("deleted", 7)}).empty());
  EXPECT_EQ(active_revision(store_, "kept"), 9U);
  EXPECT_EQ(active_revision(store_, "deleted"), 0U);
}

TEST_F(ConfigurationStoreTest, AListOlderThanAWatchedChangeDoesNotUndoIt)
{
  store_.on_list(3, {workspace_document("w", 3)});
  store_.on_put(workspace_document("w", 9));
  store_.on_put(workspace_document("new", 10));
  store_.on_list(7, {workspace_document("w", 6)});
  EXPECT_EQ(active_revision(store_, "w"), 9U);
  EXPECT_EQ(active_revision(store_, "new"), 10U);
}

TEST_F(ConfigurationStoreTest, AListAfterAWatchGapDeletesAbsentObjects)
{
  store_.on_list(3, {workspace_document("w", 3)});
  const auto changes = store_.on_list(9, {});
  ASSERT_EQ(changes.size(), 1U);
  EXPECT_EQ(changes[0].kind, change_kind::deleted);
  EXPECT_EQ(active_revision(store_, "w"), 0U);
}

TEST_F(ConfigurationStoreTest, ALatePutDoesNotUndoADeletion)
{
  store_.on_put(workspace_document("w", 3));
  store_.on_deleted("w", 5);
  store_.on_put(workspace_document("w", 4));
  EXPECT_EQ(active_revision(store_, "w"), 0U);
  store_.on_list(8, {});
  store_.on_put(workspace_document("w", 4));
  EXPECT_EQ(active_revision(store_, "w"), 0U) << "after the tombstone was dropped";
  store_.on_put(workspace_document("w", 9));
  EXPECT_EQ(active_revision(store_, "w"), 9U);
}

TEST_F(ConfigurationStoreTest, ADeletionReceivedBeforeAnOlderPutIsKept)
{
  store_.on_deleted("w", 5);
  store_.on_put(workspace_document("w", 4));
  EXPECT_EQ(active_revision(store_, "w"), 0U);
}

TEST_F(ConfigurationStoreTest, AnInvalidVersionLeavesTheLastValidOneActive)
{
  store_.on_put(workspace_document("w", 3));
  const auto changes = store_.on_put(workspace_document("w", 4, -1));
  ASSERT_EQ(changes.size(), 1U);
  EXPECT_EQ(changes[0].kind, change_kind::rejected);
  EXPECT_EQ(active_revision(store_, "w"), 3U);
  ASSERT_EQ(store_.rejected().size(), 1U);
  EXPECT_EQ(store_.rejected()[0].revision, 4U);
  EXPECT_EQ(store_.rejected()[0].active_revision, 3U);
  store_.on_put(workspace_document("w", 5));
  EXPECT_EQ(active_revision(store_, "w"), 5U);
  EXPECT_TRUE(store_.rejected().empty());
}

TEST_F(ConfigurationStoreTest, AnObjectBecomesActiveOnceItsReferencesExist)
{
  store_.on_put(document("Pool", "p", 1, R"({"model":"m"})"));
  EXPECT_EQ(store_.rejected().size(), 1U);
  store_.on_put(document("ModelVersion", "m-1", 2, R"({"model":"m","version":"1"})"));
  EXPECT_NE(store_.current()->find_pool("p"), nullptr);
  EXPECT_TRUE(store_.rejected().empty());
}

TEST_F(ConfigurationStoreTest, UnsupportedVersionsLeaveTheActiveObjectsUnchanged)
{
  store_.on_put(workspace_document("w", 1));
  store_.on_put(document("Teapot", "t", 2));
  store_.on_put(document("Workspace", "w", 3, R"({"schema":99})"));
  EXPECT_EQ(active_revision(store_, "w"), 1U);
  EXPECT_EQ(store_.current()->unsupported().size(), 2U);
}

TEST_F(ConfigurationStoreTest, IsNotReadyBelowTheRevisionOfAPeer)
{
  store_.on_peer_revision(9);
  store_.on_list(8, {workspace_document("w", 3)});
  EXPECT_EQ(store_.readiness(), configuration_readiness::catching_up);
  store_.on_list(9, {workspace_document("w", 9)});
  EXPECT_EQ(store_.readiness(), configuration_readiness::ready);
}

TEST_F(ConfigurationStoreTest, IsNotReadyByAListAloneUntilPeersAreUnreachable)
{
  store_.on_list(8, {workspace_document("w", 3)});
  EXPECT_EQ(store_.readiness(), configuration_readiness::required_revision_unknown);
  store_.on_peers_unreachable();
  EXPECT_EQ(store_.readiness(), configuration_readiness::ready);
}

TEST_F(ConfigurationStoreTest, UnreachablePeersWithoutAListLeaveTheRequiredRevisionUnknown)
{
  store_.on_peers_unreachable();
  EXPECT_EQ(store_.readiness(), configuration_readiness::required_revision_unknown);
}

TEST_F(ConfigurationStoreTest, ANewDaemonCopiesTheConfigurationOfAPeer)
{
  store_.on_list(3, {workspace_document("w", 2), workspace_document("gone", 3)});
  store_.on_put(workspace_document("w", 4, -1));
  store_.on_deleted("gone", 5);
  configuration_store new_store;
  new_store.on_peer_snapshot(store_.snapshot());
  EXPECT_EQ(new_store.readiness(), configuration_readiness::ready);
  EXPECT_EQ(*new_store.current(), *store_.current());
  EXPECT_EQ(new_store.rejected(), store_.rejected());
  new_store.on_list(4, {workspace_document("w", 4, -1), workspace_document("gone", 3)});
  EXPECT_EQ(active_revision(new_store, "gone"), 0U) << "a stale list undid a deletion";
}

TEST_F(ConfigurationStoreTest, ANewerPeerSnapshotDeletesAbsentObjects)
{
  store_.on_list(3, {workspace_document("w", 3)});
  configuration_store peer;
  peer.on_list(9, {});
  store_.on_peer_snapshot(peer.snapshot());
  EXPECT_EQ(active_revision(store_, "w"), 0U);
}

TEST_F(ConfigurationStoreTest, TakesTheLastValidVersionFromAPeer)
{
  store_.on_put(workspace_document("w", 2));
  store_.on_put(workspace_document("w", 4, -1));
  configuration_store new_store;
  new_store.on_list(4, {workspace_document("w", 4, -1)});
  EXPECT_EQ(active_revision(new_store, "w"), 0U);
  new_store.on_peer_snapshot(store_.snapshot());
  EXPECT_EQ(active_revision(new_store, "w"), 2U);
}

// One write to the simulated object store of the property test.
struct store_write {
  std::string name;
  bool deletes = false;
};

// All writes to the simulated object store; the revision of a write is its position, from 1.
class write_history {
 public:
  explicit write_history(const std::vector<store_write>& writes) : writes_(writes) {}

  [[nodiscard]] std::uint64_t size() const { return writes_.size(); }

  // Sends `store` the change of `revision` as a watch event.
  void send_watch_event(configuration_store& store, std::uint64_t revision) const
  {
    const auto& w = writes_[revision - 1];
    if (w.deletes) {
      store.on_deleted(w.name, revision);
    } else {
      store.on_put(workspace_document(w.name, revision));
    }
  }

  // The revisions of all objects at `revision`, by name.
  [[nodiscard]] std::map<std::string, std::uint64_t> at(std::uint64_t revision) const
  {
    std::map<std::string, std::uint64_t> objects;
    for (std::uint64_t r = 1; r <= revision; ++r) {
      const auto& w = writes_[r - 1];
      objects.erase(w.name);
      if (!w.deletes) {
        objects[w.name] = r;
      }
    }
    return objects;
  }

  void send_list(configuration_store& store, std::uint64_t revision) const
  {
    std::vector<boost::json::value> documents;
    for (const auto& [name, r] : at(revision)) {
      documents.push_back(workspace_document(name, r));
    }
    store.on_list(revision, documents);
  }

 private:
  std::vector<store_write> writes_;
};

std::vector<store_write> arbitrary_writes()
{
  const auto deletes = *rc::gen::container<std::vector<bool>>(rc::gen::arbitrary<bool>());
  std::vector<store_write> writes;
  writes.reserve(deletes.size());
  for (const bool d : deletes) {
    writes.push_back({.name = *rc::gen::element<std::string>("a", "b", "c"), .deletes = d});
  }
  return writes;
}

RC_GTEST_PROP(ConfigurationStorePropertyTest, NeverRevertsAndConvergesToTheLatestList, ())
{
  const write_history history(arbitrary_writes());
  RC_PRE(history.size() > 0U);
  configuration_store store;
  configuration_store peer;
  std::map<std::string, std::uint64_t> highest_seen;
  const auto count = *rc::gen::inRange(0, 40);
  for (int i = 0; i < count; ++i) {
    const auto revision = *rc::gen::inRange<std::uint64_t>(1, history.size() + 1);
    const auto before = store.revision();
    switch (*rc::gen::inRange(0, 4)) {
    case 0:
      history.send_list(store, revision);
      break;
    case 1:
      history.send_watch_event(peer, revision);
      break;
    case 2:
      store.on_peer_snapshot(peer.snapshot());
      break;
    default:
      history.send_watch_event(store, revision);
    }
    RC_ASSERT(store.revision() >= before);
    for (const auto& w : store.current()->workspaces()) {
      auto& seen = highest_seen[w.metadata.name];
      RC_ASSERT(w.metadata.revision >= seen);
      seen = w.metadata.revision;
    }
  }
  history.send_list(store, history.size());
  RC_ASSERT(store.revision() == history.size());
  std::map<std::string, std::uint64_t> final_revisions;
  for (const auto& w : store.current()->workspaces()) {
    final_revisions[w.metadata.name] = w.metadata.revision;
  }
  RC_ASSERT(final_revisions == history.at(history.size()));
}

} // namespace
} // namespace wisteriaflow::objects
