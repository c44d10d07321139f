#include <string>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "wisteriaflow/base/deflate.h"

namespace wisteriaflow {
namespace {

constexpr std::size_t limit = std::size_t{1} << 20U;

RC_GTEST_PROP(DeflatePropertyTest, InflateRestoresTheText, (const std::string& text))
{
  RC_ASSERT(inflate(deflate(text), limit) == text);
}

RC_GTEST_PROP(DeflatePropertyTest, AnyBytesAreInflatedOrRejected, (const std::string& bytes))
{
  try {
    static_cast<void>(inflate(bytes, limit));
  } catch (const deflate_error&) {
    RC_TAG("rejected");
  }
}

TEST(DeflateTest, RestoresALongText)
{
  std::string text;
  for (int i = 0; i < 20'000; ++i) {
    text += std::to_string(i * i);
  }
  EXPECT_EQ(inflate(deflate(text), limit), text);
}

TEST(DeflateTest, CompressesRepetitiveText)
{
  EXPECT_LT(deflate(std::string(4'000, 'x')).size(), 100U);
}

TEST(DeflateTest, RejectsATextOverTheLimit)
{
  EXPECT_THROW(static_cast<void>(inflate(deflate(std::string(4'000, 'x')), 3'999)), deflate_error);
}

TEST(DeflateTest, RejectsTruncatedInput)
{
  const auto compressed = deflate("a text of some length");
  EXPECT_THROW(static_cast<void>(inflate(compressed.substr(0, compressed.size() - 3), limit)),
               deflate_error);
}

} // namespace
} // namespace wisteriaflow
