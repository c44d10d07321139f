#include <sstream>

#include <gtest/gtest.h>

#include "wisteriaflow/relay/settings.h"

namespace wisteriaflow::relay {
namespace {

using namespace std::chrono_literals;

const std::string sample = R"([daemon]
id = front-1
availability_zone = z-a
[listen]
callers = 10.0.0.1:1
addresses = 10.0.0.1:2
readiness = 10.0.0.1:3
peers = 10.0.0.1:4
[peers]
seeds = 10.0.0.2:4,10.0.0.3:4
[store]
address = 10.9.0.1:80
[retries]
ratio = 0.2
[drain]
grace_s = 8
)";

settings parse(const std::string& text)
{
  std::istringstream in(text);
  return parse_settings(in, "file.ini");
}

// The error message with which `text` is rejected; empty if it is accepted.
std::string fault_of(const std::string& text)
{
  try {
    static_cast<void>(parse(text));
  } catch (const settings_error& e) {
    return e.what();
  }
  return "";
}

std::string with(const std::string& line, const std::string& instead)
{
  auto text = sample;
  return text.replace(text.find(line), line.size(), instead);
}

TEST(GatewaySettingsTest, ReadsAFile)
{
  const auto s = parse(sample);
  EXPECT_EQ(s.id.value(), "front-1");
  EXPECT_EQ(s.peers.port, 4);
  EXPECT_EQ(s.seeds.size(), 2U);
  EXPECT_EQ(s.retry_ratio, 0.2);
  EXPECT_EQ(s.drain_grace, 8s);
}

TEST(GatewaySettingsTest, HasDefaultsForMissingKeys)
{
  const auto s = parse(sample);
  EXPECT_FALSE(s.cloud);
  EXPECT_EQ(s.usage_window, 5s);
}

TEST(GatewaySettingsTest, ReportsAnInvalidAddress)
{
  EXPECT_EQ(fault_of(with("10.0.0.1:1", "here")),
            "file.ini: section [listen], key 'callers' = 'here': allowed: IP:port");
}

TEST(GatewaySettingsTest, ReportsAMissingKey)
{
  EXPECT_EQ(fault_of(with("id = front-1", "")),
            "file.ini: section [daemon], key 'id' = '': allowed: a name");
}

TEST(GatewaySettingsTest, ReportsAnInvalidNumber)
{
  EXPECT_EQ(fault_of(with("ratio = 0.2", "ratio = -1")),
            "file.ini: section [retries], key 'ratio' = '-1': allowed: a number, 0 or more");
}

TEST(GatewaySettingsTest, RejectsAnUnknownKey)
{
  const auto fault = fault_of(with("grace_s = 8", "grace = 8"));
  EXPECT_EQ(fault, "file.ini: section [drain], key 'grace' = '8': unknown key; "
                   "docs/REFERENCE.md lists them");
}

TEST(GatewaySettingsTest, RejectsAnUnknownLogLevel)
{
  const auto fault = fault_of(with("id = front-1", "id = front-1\nlog_level = loud"));
  EXPECT_NE(fault.find("key 'log_level' = 'loud': allowed: "), std::string::npos) << fault;
}

} // namespace
} // namespace wisteriaflow::relay
