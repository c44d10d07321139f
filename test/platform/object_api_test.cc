#include <vector>

#include "platform/operator_fixture.h"
#include "wisteriaflow/platform/errors.h"
#include "wisteriaflow/platform/object_api.h"

namespace wisteriaflow::platform {
namespace {

class object_api_test : public object_api_fixture {};
using ObjectApiTest = object_api_test; // NOLINT(readability-identifier-naming)

TEST_F(ObjectApiTest, ListsWhatWasCreated)
{
  const auto version = given_workspace("w");
  const auto listed = await(api_.list("declarations", fakes::far_deadline()));
  ASSERT_EQ(listed.items.size(), 1U);
  EXPECT_EQ(listed.items[0].name, "w");
  EXPECT_EQ(listed.items[0].version, version);
  EXPECT_EQ(listed.version, version);
}

TEST_F(ObjectApiTest, ReplacesOnlyTheVersionNamed)
{
  given_workspace("w");
  const auto first = stored("w");
  await(api_.replace("declarations", first.document, fakes::far_deadline()));
  EXPECT_THROW(await(api_.replace("declarations", first.document, fakes::far_deadline())),
               conflict_error);
}

TEST_F(ObjectApiTest, DistinguishesATakenNameFromAMissingOne)
{
  given_workspace("w");
  EXPECT_THROW(given_workspace("w"), conflict_error);
  EXPECT_THROW(stored("none"), not_found_error);
}

TEST_F(ObjectApiTest, DeletesOnlyTheVersionNamedAndSucceedsIfGone)
{
  const auto version = given_workspace("w");
  EXPECT_THROW(await(api_.remove("declarations", "w", fakes::far_deadline(), version + 1)),
               conflict_error);
  await(api_.remove("declarations", "w", fakes::far_deadline(), version));
  await(api_.remove("declarations", "w", fakes::far_deadline(), version));
  EXPECT_THROW(stored("w"), not_found_error);
}

TEST_F(ObjectApiTest, AnOutageIsUnavailable)
{
  set_faults(R"({"outage":"refuse"})");
  EXPECT_THROW(stored("w"), platform_unavailable);
  fake_.close();
  EXPECT_THROW(stored("w"), platform_unavailable);
}

TEST_F(ObjectApiTest, ALostAnswerIsUnavailableThoughTheWriteTookEffect)
{
  set_faults(R"({"lose_answers":1})");
  EXPECT_THROW(given_workspace("w"), platform_unavailable);
  EXPECT_EQ(stored("w").name, "w");
}

TEST_F(ObjectApiTest, AWatchShowsChangesInOrderAndEndsWithABookmark)
{
  const auto first = given_workspace("a");
  const auto second = given_workspace("b");
  await(api_.remove("declarations", "a", fakes::far_deadline()));
  std::vector<watch_event> events;
  const auto deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds(1500);
  await(api_.watch("declarations", first, deadline,
                   [&](watch_event e) { events.push_back(std::move(e)); }));
  ASSERT_EQ(events.size(), 3U);
  EXPECT_EQ(events[0].kind, watch_event_kind::added);
  EXPECT_EQ(events[0].object.version, second);
  EXPECT_EQ(events[1].kind, watch_event_kind::deleted);
  EXPECT_EQ(events[1].object.name, "a");
  EXPECT_EQ(events[1].object.version, second + 1);
  EXPECT_EQ(events[2].kind, watch_event_kind::bookmark);
  EXPECT_EQ(events[2].object.version, second + 1);
}

TEST_F(ObjectApiTest, AWatchFromACompactedVersionHasExpired)
{
  given_workspace("a");
  fake_.forget_history();
  EXPECT_THROW(await(api_.watch("declarations", 0, fakes::far_deadline(), [](watch_event) {})),
               watch_expired_error);
}

} // namespace
} // namespace wisteriaflow::platform
