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

// The message with which `text` is rejected.
std::string fault_of(const std::string& text)
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
  const ini_values wanted = {{{.section = "a", .key = "x"}, "1"},
                             {{.section = "b", .key = "x"}, "2"}};
  EXPECT_EQ(read("[a]\nx = 1\n[b]\nx = 2\n"), wanted);
}

TEST(IniFileTest, RejectsALineThatIsNoKeyWithTheLinesNumber)
{
  EXPECT_EQ(fault_of("[a]\nnothing\n").find("file.ini: line 2: "), 0U);
}

TEST(IniFileTest, RejectsAKeyOutsideAnySection)
{
  EXPECT_NE(fault_of("x = 1\n").find("key 'x' = '1'"), std::string::npos);
}

} // namespace
} // namespace wisteriaflow
