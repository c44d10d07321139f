// Formats and parses RFC 3339 times in UTC with milliseconds.

#include <chrono>
#include <cstdio>

#include "wisteriaflow/objects/audit_record.h"
#include "wisteriaflow/objects/errors.h"

namespace wisteriaflow::objects {
namespace {

// A leap second is number 60.
constexpr int max_second = 60;

// The fields of "2026-12-02T15:04:05.678Z".
struct time_fields {
  int year = 0;
  unsigned month = 0;
  unsigned day = 0;
  int hour = 0;
  int minute = 0;
  int second = 0;
  int millisecond = 0;
};

// 'd' matches a digit, every other character itself.
constexpr std::string_view time_format = "dddd-dd-ddTdd:dd:dd.dddZ";

bool matches_format(std::string_view text)
{
  if (text.size() != time_format.size()) {
    return false;
  }
  for (std::size_t i = 0; i < time_format.size(); ++i) {
    const bool digit = text[i] >= '0' && text[i] <= '9';
    if (time_format[i] == 'd' ? !digit : text[i] != time_format[i]) {
      return false;
    }
  }
  return true;
}

int parse_digits(std::string_view text, std::size_t begin, std::size_t count)
{
  int number = 0;
  for (const char c : text.substr(begin, count)) {
    number = number * 10 + (c - '0');
  }
  return number;
}

time_fields parse_fields(std::string_view text)
{
  return {.year = parse_digits(text, 0, 4),
          .month = static_cast<unsigned>(parse_digits(text, 5, 2)),
          .day = static_cast<unsigned>(parse_digits(text, 8, 2)),
          .hour = parse_digits(text, 11, 2),
          .minute = parse_digits(text, 14, 2),
          .second = parse_digits(text, 17, 2),
          .millisecond = parse_digits(text, 20, 3)};
}

} // namespace

std::string to_rfc3339(wall_time t)
{
  const auto day = std::chrono::floor<std::chrono::days>(t);
  const std::chrono::year_month_day date(day);
  const std::chrono::hh_mm_ss time(t - day);
  constexpr std::size_t buffer_size = 48;
  std::string text(buffer_size, '\0');
  const int size = std::snprintf(
      text.data(), text.size(), "%04d-%02u-%02uT%02d:%02d:%02d.%03dZ",
      static_cast<int>(date.year()), static_cast<unsigned>(date.month()),
      static_cast<unsigned>(date.day()), static_cast<int>(time.hours().count()),
      static_cast<int>(time.minutes().count()), static_cast<int>(time.seconds().count()),
      static_cast<int>(time.subseconds().count()));
  text.resize(static_cast<std::size_t>(size));
  return text;
}

wall_time parse_rfc3339(std::string_view text)
{
  const auto malformed = [&] { return objects_error("not a time: " + std::string(text)); };
  if (!matches_format(text)) {
    throw malformed();
  }
  const auto fields = parse_fields(text);
  const std::chrono::year_month_day date(std::chrono::year(fields.year),
                                         std::chrono::month(fields.month),
                                         std::chrono::day(fields.day));
  if (!date.ok() || fields.hour > 23 || fields.minute > 59 || fields.second > max_second) {
    throw malformed();
  }
  return std::chrono::sys_days(date) + std::chrono::hours(fields.hour) +
         std::chrono::minutes(fields.minute) + std::chrono::seconds(fields.second) +
         std::chrono::milliseconds(fields.millisecond);
}

} // namespace wisteriaflow::objects
