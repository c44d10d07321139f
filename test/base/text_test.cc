#include <gtest/gtest.h>

#include "wisteriaflow/base/text.h"

namespace wisteriaflow {
namespace {

TEST(TextTest, SplitsTrimsAndOmitsEmptyParts)
{
  const std::vector<std::string_view> parts = {"a", "b c"};
  EXPECT_EQ(split(" a ,, b c,", ','), parts);
}

TEST(TextTest, ComparesIgnoringCase)
{
  EXPECT_TRUE(equals_ignoring_case("Keep-Alive", "keep-alive"));
  EXPECT_FALSE(equals_ignoring_case("Keep", "Keep-Alive"));
}

TEST(TextTest, RejectsANumberWithTrailingCharacters)
{
  EXPECT_EQ(parse_number<int>("12"), 12);
  EXPECT_EQ(parse_number<int>("12x"), std::nullopt);
  EXPECT_EQ(parse_number<int>(""), std::nullopt);
}

} // namespace
} // namespace wisteriaflow
