#include "platform/operator_fixture.h"
#include "wisteriaflow/platform/retrying_object_client.h"

namespace wisteriaflow::platform {
namespace {

class retrying_object_client_test : public object_api_fixture {
 protected:
  retrying_object_client client_under_test_{api_, "declarations"};
};
using RetryingObjectClientTest =
    retrying_object_client_test; // NOLINT(readability-identifier-naming)

TEST_F(RetryingObjectClientTest, AnUnansweredReplacementSucceedsOnce)
{
  const auto version = given_workspace("w");
  const auto document = stored("w").document;
  set_faults(R"({"lose_answers":1})");
  EXPECT_EQ(await(client_under_test_.replace(document, fakes::far_deadline())).version,
            version + 1);
  EXPECT_EQ(fake_.version(), version + 1);
}

TEST_F(RetryingObjectClientTest, AnUnansweredReplacementDuringStaleReadsSucceedsOnce)
{
  const auto version = given_workspace("w");
  const auto document = stored("w").document;
  set_faults(R"({"lose_answers":1,"stale_for_ms":200})");
  EXPECT_EQ(await(client_under_test_.replace(document, fakes::far_deadline())).version,
            version + 1);
  EXPECT_EQ(fake_.version(), version + 1);
}

TEST_F(RetryingObjectClientTest, AReplacementOfAnOldVersionIsAConflict)
{
  given_workspace("w");
  const auto document = stored("w").document;
  await(client_under_test_.replace(document, fakes::far_deadline()));
  EXPECT_THROW(await(client_under_test_.replace(document, fakes::far_deadline())), conflict_error);
}

TEST_F(RetryingObjectClientTest, AnUnansweredCreationDuringStaleReadsSucceedsOnce)
{
  set_faults(R"({"lose_answers":1,"stale_for_ms":200})");
  const auto document = make_document("Workspace", "w", boost::json::object{});
  EXPECT_EQ(await(client_under_test_.create(document, fakes::far_deadline())).version, 1U);
  EXPECT_EQ(fake_.version(), 1U);
}

TEST_F(RetryingObjectClientTest, ACreationOfATakenNameIsAConflict)
{
  given_workspace("w");
  const auto document = make_document("Workspace", "w", boost::json::object{});
  EXPECT_THROW(await(client_under_test_.create(document, fakes::far_deadline())), conflict_error);
}

TEST_F(RetryingObjectClientTest, AnUnansweredDeletionSucceeds)
{
  const auto version = given_workspace("w");
  set_faults(R"({"lose_answers":1})");
  await(client_under_test_.remove("w", version, fakes::far_deadline()));
  EXPECT_THROW(stored("w"), not_found_error);
}

} // namespace
} // namespace wisteriaflow::platform
