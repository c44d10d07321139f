#include "wisteriaflow/daemon/log.h"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/jsonlayout.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/mdc.h>

namespace wisteriaflow::daemon {
namespace {

log4cxx::LevelPtr level_of(log_level level)
{
  switch (level) {
  case log_level::trace:
    return log4cxx::Level::getTrace();
  case log_level::debug:
    return log4cxx::Level::getDebug();
  case log_level::info:
    return log4cxx::Level::getInfo();
  case log_level::warn:
    return log4cxx::Level::getWarn();
  case log_level::error:
    return log4cxx::Level::getError();
  }
  return log4cxx::Level::getInfo();
}

} // namespace

void configure_logging(const std::string& level)
{
  const auto layout = std::make_shared<log4cxx::JSONLayout>();
  const auto appender = std::make_shared<log4cxx::ConsoleAppender>(layout);
  const auto root = log4cxx::Logger::getRootLogger();
  root->removeAllAppenders();
  root->addAppender(appender);
  root->setLevel(log4cxx::Level::toLevel(level, log4cxx::Level::getInfo()));
}

void write_log(const log_line& line)
{
  // JSONLayout prints the mapped diagnostic context (MDC) as fields of the JSON object.
  for (const auto& [name, value] : line.fields) {
    log4cxx::MDC::put(name, value);
  }
  const auto logger = log4cxx::Logger::getLogger("wisteriaflow");
  logger->log(level_of(line.level), line.message);
  log4cxx::MDC::clear();
}

} // namespace wisteriaflow::daemon
