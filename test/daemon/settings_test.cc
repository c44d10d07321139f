#include <sstream>
#include <string>

#include <gtest/gtest.h>

#include "wisteriaflow/daemon/settings.h"

namespace wisteriaflow::daemon {
namespace {

constexpr const char* minimal = "[daemon]\nid=d1\navailability_zone=a\n"
                                "[platform]\nobject_api=127.0.0.1:1\ninstance_list=127.0.0.1:2\n";

settings parse(const std::string& text)
{
  std::istringstream in(text);
  return parse_settings(in, "test.ini");
}

// Returns the message of the error that parsing `text` throws; empty if it succeeds.
std::string error_of(const std::string& text)
{
  try {
    parse(text);
    return {};
  } catch (const settings_error& e) {
    return e.what();
  }
}

TEST(SettingsTest, FillsInDefaults)
{
  EXPECT_EQ(parse(minimal).claim_shards, 32);
}

TEST(SettingsTest, ErrorNamesFileSectionKeyValueAndRange)
{
  const auto message = error_of(std::string(minimal) + "[claims]\nshards=0\n");
  EXPECT_EQ(
      message,
      "test.ini: section [claims], key 'shards' = '0': allowed: a whole number from 1 to 999");
}

TEST(SettingsTest, RejectsAnUnknownKey)
{
  const auto message = error_of(std::string(minimal) + "[claims]\nshard=4\n");
  EXPECT_NE(message.find("key 'shard' = '4': unknown key"), std::string::npos) << message;
}

TEST(SettingsTest, RejectsAMissingRequiredKey)
{
  const auto message = error_of("[daemon]\nid=d1\n");
  EXPECT_NE(message.find("key 'availability_zone' = ''"), std::string::npos) << message;
}

TEST(SettingsTest, RejectsATrailingUnit)
{
  const auto message = error_of(std::string(minimal) + "[drain]\ngrace_ms=20s\n");
  EXPECT_NE(message.find("key 'grace_ms' = '20s'"), std::string::npos) << message;
}

TEST(SettingsTest, RejectsAHostName)
{
  const auto message = error_of(std::string(minimal) + "[callers]\nlisten=localhost:80\n");
  EXPECT_NE(message.find("an IP number and port"), std::string::npos) << message;
}

TEST(SettingsTest, ChecksConsistencyBetweenKeys)
{
  const auto message = error_of(std::string(minimal) + "[gossip]\ngone_after_ms=500\n");
  EXPECT_NE(message.find("more than suspect_after_ms"), std::string::npos) << message;
}

TEST(SettingsTest, CapacityNeedsACloudApi)
{
  const auto message = error_of(std::string(minimal) + "[capacity]\nenabled=true\n");
  EXPECT_NE(message.find("cloud_api set in section [platform]"), std::string::npos) << message;
}

TEST(SettingsTest, ALeaseIsRenewedWellWithinItsDuration)
{
  const auto message = error_of(std::string(minimal) +
                                "[capacity]\nlease_duration_ms=1000\nlease_renew_period_ms=600\n");
  EXPECT_NE(message.find("at most half of lease_duration_ms"), std::string::npos) << message;
}

} // namespace
} // namespace wisteriaflow::daemon
