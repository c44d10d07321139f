#include "platform/operator_fixture.h"
#include "wisteriaflow/platform/settled_writes.h"

namespace wisteriaflow::platform {
namespace {

class settled_writes_test : public object_api_fixture {
 protected:
  settled_writes writes_{api_, "declarations"};
};
using SettledWritesTest = settled_writes_test; // NOLINT(readability-identifier-naming)

TEST_F(SettledWritesTest, AReplacementWhoseAnswerIsLostSucceedsOnce)
{
  const auto version = given_workspace("w");
  const auto document = stored("w").document;
  set_faults(R"({"lose_answers":1})");
  EXPECT_EQ(await(writes_.replace(document, fakes::far_deadline())).version, version + 1);
  EXPECT_EQ(fake_.version(), version + 1);
}

TEST_F(SettledWritesTest, AReplacementWhoseAnswerIsLostDuringStaleReadsSucceedsOnce)
{
  const auto version = given_workspace("w");
  const auto document = stored("w").document;
  set_faults(R"({"lose_answers":1,"stale_for_ms":200})");
  EXPECT_EQ(await(writes_.replace(document, fakes::far_deadline())).version, version + 1);
  EXPECT_EQ(fake_.version(), version + 1);
}

TEST_F(SettledWritesTest, AReplacementOfAnOldVersionIsAConflict)
{
  given_workspace("w");
  const auto document = stored("w").document;
  await(writes_.replace(document, fakes::far_deadline()));
  EXPECT_THROW(await(writes_.replace(document, fakes::far_deadline())), conflict_error);
}

TEST_F(SettledWritesTest, ACreationWhoseAnswerIsLostDuringStaleReadsSucceedsOnce)
{
  set_faults(R"({"lose_answers":1,"stale_for_ms":200})");
  const auto document = make_document("Workspace", "w", boost::json::object{});
  EXPECT_EQ(await(writes_.create(document, fakes::far_deadline())).version, 1U);
  EXPECT_EQ(fake_.version(), 1U);
}

TEST_F(SettledWritesTest, ACreationOfATakenNameIsAConflict)
{
  given_workspace("w");
  const auto document = make_document("Workspace", "w", boost::json::object{});
  EXPECT_THROW(await(writes_.create(document, fakes::far_deadline())), conflict_error);
}

TEST_F(SettledWritesTest, ADeletionWhoseAnswerIsLostSucceeds)
{
  const auto version = given_workspace("w");
  set_faults(R"({"lose_answers":1})");
  await(writes_.remove("w", version, fakes::far_deadline()));
  EXPECT_THROW(stored("w"), not_found_error);
}

} // namespace
} // namespace wisteriaflow::platform
