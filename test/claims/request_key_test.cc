#include <gtest/gtest.h>

#include "wisteriaflow/claims/errors.h"
#include "wisteriaflow/claims/request_key.h"

namespace wisteriaflow::claims {
namespace {

// The example UUID for version 7 in RFC 9562.
constexpr auto example = "017F22E2-79B0-7CC3-98C4-DC0C0C07398F";
const wall_time example_time = from_unix_ms(0x017F22E279B0);

TEST(RequestKeyTest, CarriesItsCreationTime)
{
  EXPECT_EQ(request_key::parse(example, example_time).created(), example_time);
}

TEST(RequestKeyTest, IsTheSameInBothCases)
{
  const auto lower = "017f22e2-79b0-7cc3-98c4-dc0c0c07398f";
  EXPECT_EQ(request_key::parse(example, example_time), request_key::parse(lower, example_time));
}

TEST(RequestKeyTest, DiffersBetweenWorkspaces)
{
  const auto key = request_key::parse(example, example_time);
  EXPECT_NE(key.hash_for(workspace_id("a")), key.hash_for(workspace_id("b")));
}

TEST(RequestKeyTest, RefusesOtherVersionsAndForms)
{
  for (const auto* text :
       {"", "017f22e2-79b0-4cc3-98c4-dc0c0c07398f", "017f22e2-79b0-7cc3-18c4-dc0c0c07398f",
        "017f22e279b07cc398c4dc0c0c07398f----", "017f22e2-79b0-7cc3-98c4-dc0c0c07398g"}) {
    EXPECT_THROW((void)request_key::parse(text, example_time), invalid_key_error) << text;
  }
}

TEST(RequestKeyTest, RefusesAKeyFromTheFuture)
{
  const auto now = example_time - max_key_lead;
  EXPECT_NO_THROW((void)request_key::parse(example, now));
  EXPECT_THROW((void)request_key::parse(example, now - std::chrono::milliseconds{1}),
               invalid_key_error);
}

} // namespace
} // namespace wisteriaflow::claims
