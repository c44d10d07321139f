#include <gtest/gtest.h>

#include "wisteriaflow/http/errors.h"
#include "wisteriaflow/http/message.h"

namespace wisteriaflow::http {
namespace {

TEST(MessageTest, FindsAHeaderIgnoringCase)
{
  const headers fields = {{"Request-Id", "a"}, {"request-id", "b"}};
  EXPECT_EQ(find_header(fields, "REQUEST-ID"), "a");
  EXPECT_EQ(find_header(fields, "Other", "none"), "none");
}

TEST(MessageTest, SplitsAndDecodesATarget)
{
  const target_parts expected = {.path = "/v1/x", .query = {{"a b", "c&d"}, {"e", ""}}};
  EXPECT_EQ(parse_target("/v1/x?a+b=c%26d&e"), expected);
}

TEST(MessageTest, KeepsAMalformedEscape)
{
  EXPECT_EQ(parse_target("/x?a=%zz%4").query.at(0).value, "%zz%4");
}

TEST(MessageTest, ParsesAnAddressThatItFormatted)
{
  const socket_address address = {.host = "127.0.0.1", .port = 8080};
  EXPECT_EQ(parse_socket_address(to_string(address)), address);
}

TEST(MessageTest, RejectsAnAddressWithoutIpNumberAndPort)
{
  for (const auto* text : {"localhost:80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:65536"}) {
    EXPECT_THROW((void)parse_socket_address(text), http_error) << text;
  }
}

} // namespace
} // namespace wisteriaflow::http
