#include <gtest/gtest.h>

#include "wisteriaflow/gateway/recorded_versions.h"

namespace wisteriaflow::gateway {
namespace {

const service_version first{.service = "chat", .version = "v1"};
const service_version second{.service = "chat", .version = "v2"};
const service_version unstated{.service = "chat", .version = ""};

TEST(RecordedVersionsTest, AVersionIsMissingUntilItIsAdded)
{
  recorded_versions recorded;
  recorded.add(first);
  EXPECT_EQ(recorded.missing({first, second}), service_version_set{second});
  recorded.add(service_version_set{second});
  EXPECT_TRUE(recorded.missing({first, second}).empty());
}

TEST(RecordedVersionsTest, AnUnstatedVersionIsOneLikeAnyOther)
{
  recorded_versions recorded;
  recorded.add(first);
  EXPECT_EQ(recorded.missing({unstated, first}), service_version_set{unstated});
}

TEST(RecordedVersionsTest, AVersionThatIsNotRetainedIsMissingAgain)
{
  recorded_versions recorded;
  recorded.add(service_version_set{first, second});
  recorded.retain({second});
  EXPECT_FALSE(recorded.contains(first));
  EXPECT_EQ(recorded.all(), service_version_set{second});
}

} // namespace
} // namespace wisteriaflow::gateway
