#include <gtest/gtest.h>

#include "relay/event_log.h"

namespace wisteriaflow::relay {
namespace {

TEST(EventLogTest, AFloodOfOneKindDoesNotHideAnother)
{
  std::vector<daemon::log_line> lines;
  event_log log([&](daemon::log_line line) { lines.push_back(std::move(line)); });
  for (int i = 0; i < 10'000; ++i) {
    log.write(daemon::log_level::info, "flood", {});
  }
  log.write(daemon::log_level::warn, "other", {{"k", "v"}});
  EXPECT_LE(lines.size(), 3 * event_log::lines_of_a_kind + 1);
  EXPECT_EQ(lines.back().message, "other");
}

} // namespace
} // namespace wisteriaflow::relay
