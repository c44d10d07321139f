#include <gtest/gtest.h>

#include "wisteriaflow/objects/errors.h"
#include "wisteriaflow/objects/selector.h"

namespace wisteriaflow::objects {
namespace {

const label_set labels{{"tier", "gold"}, {"zone", "a"}, {"door", ""}};

struct match_case {
  std::string text;
  bool expected;
};

class selector_match_test : public testing::TestWithParam<match_case> {};
using SelectorMatchTest = selector_match_test; // NOLINT(readability-identifier-naming)

TEST_P(SelectorMatchTest, MatchesLikeKubernetes)
{
  const auto& [text, expected] = GetParam();
  EXPECT_EQ(parse_selector(text).matches(labels), expected) << text << " on " << to_string(labels);
}

INSTANTIATE_TEST_SUITE_P(
    Operators, SelectorMatchTest,
    testing::Values(match_case{"", true}, match_case{"tier=gold", true},
                    match_case{"tier == gold", true}, match_case{"tier!=gold", false},
                    match_case{"absent!=gold", true}, match_case{"zone in (b, a)", true},
                    match_case{"zone in (b)", false}, match_case{"zone notin (b,c)", true},
                    match_case{"zone notin (a)", false}, match_case{"absent notin (a)", true},
                    match_case{"door", true}, match_case{"!door", false},
                    match_case{"!absent", true}, match_case{"door=", true},
                    match_case{"door in (,x)", true},
                    match_case{"tier=gold, zone in (a,b), !absent", true},
                    match_case{"tier=gold, zone=b", false}));

struct malformed_case {
  std::string text;
  std::size_t position;
};

class selector_error_test : public testing::TestWithParam<malformed_case> {};
using SelectorErrorTest = selector_error_test; // NOLINT(readability-identifier-naming)

TEST_P(SelectorErrorTest, ReportsTextAndPosition)
{
  const auto& [text, position] = GetParam();
  try {
    (void)parse_selector(text);
    FAIL() << "accepted " << text;
  } catch (const selector_parse_error& e) {
    EXPECT_EQ(e.text(), text);
    EXPECT_EQ(e.position(), position) << e.what();
  }
}

INSTANTIATE_TEST_SUITE_P(Malformed, SelectorErrorTest,
                         testing::Values(malformed_case{"a=b,", 4}, malformed_case{"=b", 0},
                                         malformed_case{"a in x", 5}, malformed_case{"a in (x", 7},
                                         malformed_case{"a like (x)", 2},
                                         malformed_case{"a=b c", 4}, malformed_case{"a=-b", 2},
                                         malformed_case{"!", 1}, malformed_case{",a", 0}));

TEST(SelectorTest, CanonicalTextParsesToTheSameSelector)
{
  const auto parsed = parse_selector("a==b,c!=d,e in (y,x,x),f notin (z,w),g,!h,k in (,v)");
  EXPECT_EQ(to_string(parsed), "a=b, c!=d, e in (x,y), f notin (w,z), g, !h, k in (,v)");
  EXPECT_EQ(parse_selector(to_string(parsed)), parsed);
}

TEST(LabelSetTest, RejectsADuplicateKey)
{
  EXPECT_THROW(parse_label_set("a=1,a=2"), label_error);
}

TEST(LabelSetTest, RejectsMalformedKeysAndValues)
{
  EXPECT_THROW(parse_label_set("-a=1"), label_error);
  EXPECT_THROW(parse_label_set("a=b c"), label_error);
  EXPECT_THROW(parse_label_set("a"), label_error);
  EXPECT_THROW(parse_label_set(std::string(64, 'k') + "=v"), label_error);
}

TEST(LabelSetTest, EqualityIgnoresTheOrderOfEntries)
{
  EXPECT_EQ(parse_label_set(" b=2 , a=1 "), (label_set{{"a", "1"}, {"b", "2"}}));
}

TEST(LabelSetTest, WithAndWithoutReturnNewSets)
{
  const label_set before{{"a", "1"}};
  EXPECT_EQ(before.with("a", "2").with("b", "3"), (label_set{{"a", "2"}, {"b", "3"}}));
  EXPECT_TRUE(before.without("a").empty());
  EXPECT_EQ(before, (label_set{{"a", "1"}}));
}

} // namespace
} // namespace wisteriaflow::objects
