#include <gtest/gtest.h>

#include "wisteriaflow/gateway/store_revision.h"

namespace wisteriaflow::gateway {
namespace {

TEST(StoreRevisionTest, ALaterEraIsNewerWhateverTheNumber)
{
  EXPECT_GT(store_revision(2, 83), store_revision(1, 110));
  EXPECT_GT(store_revision(1, 1), store_revision(110));
}

TEST(StoreRevisionTest, NumbersOrderRevisionsOfOneEra)
{
  EXPECT_LT(store_revision(2, 83), store_revision(2, 84));
  EXPECT_EQ(store_revision(2, 84).before(), store_revision(2, 83));
}

TEST(StoreRevisionTest, PackedRevisionsHaveTheSameOrder)
{
  EXPECT_GT(store_revision(2, 83).packed(), store_revision(1, 110).packed());
  EXPECT_EQ(store_revision::from_packed(store_revision(2, 83).packed()), store_revision(2, 83));
}

TEST(StoreRevisionTest, ARevisionWithoutAnEraIsPackedAsItsNumber)
{
  EXPECT_EQ(store_revision(110).packed(), 110U);
}

TEST(StoreRevisionTest, IsFormattedWithItsEra)
{
  EXPECT_EQ(to_string(store_revision(2, 83)), "2.83");
  EXPECT_EQ(to_string(store_revision(83)), "83");
}

} // namespace
} // namespace wisteriaflow::gateway
