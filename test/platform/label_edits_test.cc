#include <gtest/gtest.h>

#include "wisteriaflow/platform/errors.h"
#include "wisteriaflow/platform/label_edits.h"

namespace wisteriaflow::platform {
namespace {

const objects::label_set base{{"tier", "gold"}, {"zone", "a"}};

TEST(LabelEditsTest, ParsesSettingAndRemoving)
{
  EXPECT_EQ(parse_label_edit("tier=gold"), (label_edit{"tier", "gold"}));
  EXPECT_EQ(parse_label_edit("tier="), (label_edit{"tier", ""}));
  EXPECT_EQ(parse_label_edit("tier-"), (label_edit{"tier", std::nullopt}));
}

TEST(LabelEditsTest, RejectsMalformedEdits)
{
  for (const auto* text : {"", "-", "tier", "=gold", "tier=a b", "ti er-"}) {
    EXPECT_THROW((void)parse_label_edit(text), invalid_input_error) << text;
  }
}

TEST(LabelEditsTest, AppliesEditsInTheirOrder)
{
  const auto edited = apply_edits(base, {{"tier", std::nullopt}, {"new", "1"}, {"new", "2"}});
  EXPECT_EQ(edited, (objects::label_set{{"zone", "a"}, {"new", "2"}}));
}

TEST(LabelEditsTest, EditsOfDifferentKeysDoNotConflict)
{
  EXPECT_FALSE(find_conflict(base, base.with("zone", "b"), {{"tier", "silver"}}));
}

TEST(LabelEditsTest, EditsOfOneKeyConflictUnlessTheyAgree)
{
  const auto found = base.with("tier", "silver");
  const auto conflict = find_conflict(base, found, {{"tier", "bronze"}});
  EXPECT_EQ(conflict, (label_conflict{"tier", "gold", "silver", "bronze"}));
  EXPECT_FALSE(find_conflict(base, found, {{"tier", "silver"}}));
}

TEST(LabelEditsTest, ARemovalByAnotherConflicts)
{
  EXPECT_TRUE(find_conflict(base, base.without("tier"), {{"tier", "bronze"}}));
}

} // namespace
} // namespace wisteriaflow::platform
