#include <string>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "json_items.h"

namespace wisteriaflow::adapter {
namespace {

using items = std::vector<std::string_view>;

TEST(JsonItemsTest, FindsItemsOfEveryKind)
{
  const auto found =
      find_items(R"({"at":1,"items":[ {"a":[1,2]}, "x,]", 3 ],"more":false})", "items");
  ASSERT_TRUE(found);
  EXPECT_EQ(found->items, (items{R"({"a":[1,2]})", R"("x,]")", "3 "}));
  EXPECT_EQ(found->before, R"({"at":1,"items":)");
  EXPECT_EQ(found->after, R"(,"more":false})");
}

TEST(JsonItemsTest, FindsMalformedItems)
{
  const auto found = find_items(R"({"items":[{"a":1},{nonsense "}" +},{"b":2}]})", "items");
  ASSERT_TRUE(found);
  EXPECT_EQ(found->items, (items{R"({"a":1})", R"({nonsense "}" +})", R"({"b":2})"}));
}

TEST(JsonItemsTest, FindsNoneInAnEmptyArray)
{
  EXPECT_TRUE(find_items(R"({"items":[]})", "items")->items.empty());
}

TEST(JsonItemsTest, SkipsAnInnerArrayOfTheSameKey)
{
  const auto found = find_items(R"({"x":{"items":[1]},"items":[2]})", "items");
  ASSERT_TRUE(found);
  EXPECT_EQ(found->items, items{"2"});
}

TEST(JsonItemsTest, FindsNothingWhereBracketsDoNotMatch)
{
  EXPECT_FALSE(find_items(R"({"items":[{"a":1})", "items"));
  EXPECT_FALSE(find_items(R"({"items":["a)", "items"));
  EXPECT_FALSE(find_items("", "items"));
}

RC_GTEST_PROP(JsonItemsPropertyTest, AnyTextIsReadOrRejected, (const std::string& text))
{
  static_cast<void>(find_items(text, "items"));
  static_cast<void>(find_items("{\"items\":[" + text, "items"));
}

} // namespace
} // namespace wisteriaflow::adapter
