#include <gtest/gtest.h>

#include "wisteriaflow/gateway/request_content.h"

namespace wisteriaflow::gateway {
namespace {

const workspace_id hotel("hotel");

http::request request(const std::string& body, const std::string& target = "/draft/1?x=2",
                      const std::string& id = "r1")
{
  return {.method = "POST",
          .target = target,
          .fields = {{"Host", "shop.example"}, {"Request-Id", id}},
          .body = body};
}

TEST(RequestContentTest, IsTheSameUnderAnotherRequestId)
{
  EXPECT_EQ(content_of(hotel, request("a", "/draft/1", "r1")),
            content_of(hotel, request("a", "/draft/1", "r2")));
}

TEST(RequestContentTest, DiffersByBody)
{
  EXPECT_NE(content_of(hotel, request("a")), content_of(hotel, request("b")));
}

TEST(RequestContentTest, DiffersByPathAndQuery)
{
  EXPECT_NE(content_of(hotel, request("a", "/draft/1")), content_of(hotel, request("a", "/draft")));
  EXPECT_NE(content_of(hotel, request("a", "/draft?x=1")),
            content_of(hotel, request("a", "/draft?x=2")));
}

TEST(RequestContentTest, DiffersByWorkspace)
{
  EXPECT_NE(content_of(hotel, request("a")), content_of(workspace_id("bank"), request("a")));
}

TEST(RequestContentTest, DiffersByMethod)
{
  auto other = request("a");
  other.method = "PUT";
  EXPECT_NE(content_of(hotel, request("a")), content_of(hotel, other));
}

TEST(RequestContentTest, TreatsHostsThatDifferByCaseAsEqual)
{
  auto other = request("a");
  other.fields.at(0).value = "Shop.Example";
  EXPECT_EQ(content_of(hotel, request("a")), content_of(hotel, other));
}

TEST(RequestContentTest, DistinguishesPartsWithEqualConcatenation)
{
  auto one = request("a", "/b");
  one.method = "GET";
  auto other = request("a", "b");
  other.method = "GET/";
  EXPECT_NE(content_of(hotel, one), content_of(hotel, other));
}

TEST(RequestContentTest, IsParsedFromItsText)
{
  const auto content = content_of(hotel, request("a"));
  EXPECT_EQ(parse_content_id(to_string(content)), content);
}

TEST(RequestContentTest, IsNotParsedFromOtherText)
{
  EXPECT_EQ(parse_content_id(""), std::nullopt);
  EXPECT_EQ(parse_content_id(std::string(32, 'g')), std::nullopt);
  EXPECT_EQ(parse_content_id(std::string(31, 'a')), std::nullopt);
}

} // namespace
} // namespace wisteriaflow::gateway
