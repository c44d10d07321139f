#include <gtest/gtest.h>

#include "wisteriaflow/objects/errors.h"
#include "wisteriaflow/objects/selector.h"

namespace wisteriaflow::objects {
namespace {

const label_set guest{{"tier", "gold"}, {"zone", "a"}, {"door", ""}};

struct match_case {
  std::string text;
  bool expected;
};

class selector_match_test : public testing::TestWithParam<match_case> {};
using SelectorMatchTest = selector_match_test; // NOLINT(readability-identifier-naming)

TEST_P(SelectorMatchTest, DecidesAsKubernetesDoes)
{
  const auto& [text, expected] = GetParam();
  EXPECT_EQ(parse_selector(text).matches(guest), expected) << text << " on " << to_string(guest);
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

struct fault_case {
  std::string text;
  std::size_t position;
};

class selector_fault_test : public testing::TestWithParam<fault_case> {};
using SelectorFaultTest = selector_fault_test; // NOLINT(readability-identifier-naming)

TEST_P(SelectorFaultTest, NamesTextAndPosition)
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

INSTANTIATE_TEST_SUITE_P(Malformed, SelectorFaultTest,
                         testing::Values(fault_case{"a=b,", 4}, fault_case{"=b", 0},
                                         fault_case{"a in x", 5}, fault_case{"a in (x", 7},
                                         fault_case{"a like (x)", 2}, fault_case{"a=b c", 4},
                                         fault_case{"a=-b", 2}, fault_case{"!", 1},
                                         fault_case{",a", 0}));

TEST(SelectorTest, CanonicalTextGivesTheSameSelector)
{
  const auto chosen = parse_selector("a==b,c!=d,e in (y,x,x),f notin (z,w),g,!h,k in (,v)");
  EXPECT_EQ(to_string(chosen), "a=b, c!=d, e in (x,y), f notin (w,z), g, !h, k in (,v)");
  EXPECT_EQ(parse_selector(to_string(chosen)), chosen);
}

TEST(LabelSetTest, RefusesAKeyThatStandsTwice)
{
  EXPECT_THROW(parse_label_set("a=1,a=2"), label_error);
}

TEST(LabelSetTest, RefusesMalformedKeysAndValues)
{
  EXPECT_THROW(parse_label_set("-a=1"), label_error);
  EXPECT_THROW(parse_label_set("a=b c"), label_error);
  EXPECT_THROW(parse_label_set("a"), label_error);
  EXPECT_THROW(parse_label_set(std::string(64, 'k') + "=v"), label_error);
}

TEST(LabelSetTest, EqualityIgnoresTheOrderOfWriting)
{
  EXPECT_EQ(parse_label_set(" b=2 , a=1 "), (label_set{{"a", "1"}, {"b", "2"}}));
}

TEST(LabelSetTest, ChangesGiveANewSet)
{
  const label_set before{{"a", "1"}};
  EXPECT_EQ(before.with("a", "2").with("b", "3"), (label_set{{"a", "2"}, {"b", "3"}}));
  EXPECT_TRUE(before.without("a").empty());
  EXPECT_EQ(before, (label_set{{"a", "1"}}));
}

} // namespace
} // namespace wisteriaflow::objects
