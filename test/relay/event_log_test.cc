#include <gtest/gtest.h>

#include "relay/event_log.h"

namespace wisteriaflow::relay {
namespace {

TEST(EventLogTest, AFloodOfOneKindDoesNotHideAnother)
{
  std::vector<daemon::log_line> lines;
  event_log log([&](daemon::log_line line) {
    lines.push_back(std::move(line));
    return true;
  });
  for (int i = 0; i < 10'000; ++i) {
    log.write(daemon::log_level::info, "flood", {});
  }
  log.write(daemon::log_level::warn, "other", {{"k", "v"}});
  EXPECT_LE(lines.size(), 3 * event_log::lines_of_a_kind + 1);
  EXPECT_EQ(lines.back().message, "other");
}

TEST(EventLogTest, TheNextLineTellsWhatTheOutputDropped)
{
  std::vector<daemon::log_line> lines;
  bool takes = false;
  event_log log([&](daemon::log_line line) {
    lines.push_back(std::move(line));
    return takes;
  });
  log.write(daemon::log_level::info, "kind", {});
  log.write(daemon::log_level::info, "kind", {});
  takes = true;
  log.write(daemon::log_level::info, "kind", {});
  EXPECT_EQ(log.left_out(), 2U);
  const log_fields told = {{"lines_left_out", "2"}};
  EXPECT_EQ(lines.back().fields, told);
}

} // namespace
} // namespace wisteriaflow::relay
