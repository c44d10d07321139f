#include <sstream>

#include <gtest/gtest.h>

#include "wisteriaflow/base/ini_file.h"

namespace wisteriaflow {
namespace {

ini_values read(const std::string& text)
{
  std::istringstream in(text);
  return read_ini(in, "file.ini");
}

// Returns the error message for `text`, or an empty string if it is valid.
std::string error_message_of(const std::string& text)
{
  try {
    static_cast<void>(read(text));
  } catch (const ini_error& e) {
    return e.what();
  }
  return "";
}

TEST(IniFileTest, FindsValuesBySectionAndKey)
{
  const ini_values expected = {{{.section = "a", .key = "x"}, "1"},
                               {{.section = "b", .key = "x"}, "2"}};
  EXPECT_EQ(read("[a]\nx = 1\n[b]\nx = 2\n"), expected);
}

TEST(IniFileTest, ReportsTheNumberOfALineWithoutAKey)
{
  EXPECT_EQ(error_message_of("[a]\nnothing\n").find("file.ini: line 2: "), 0U);
}

TEST(IniFileTest, RejectsAKeyOutsideAnySection)
{
  EXPECT_NE(error_message_of("x = 1\n").find("key 'x' = '1'"), std::string::npos);
}

} // namespace
} // namespace wisteriaflow
