#include "wisteriaflow/base/ini_file.h"

#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>

namespace wisteriaflow {

ini_values read_ini(std::istream& in, const std::string& name)
{
  boost::property_tree::ptree tree;
  try {
    boost::property_tree::read_ini(in, tree);
  } catch (const boost::property_tree::ini_parser_error& e) {
    throw ini_error(name + ": line " + std::to_string(e.line()) + ": " + e.message());
  }
  ini_values values;
  for (const auto& [section, keys] : tree) {
    if (keys.empty()) {
      throw ini_error(
          ini_error_message(name, {.key = section}, keys.data(),
                            "is outside any section; keys must follow a [section] line"));
    }
    for (const auto& [key, value] : keys) {
      values[{.section = section, .key = key}] = value.data();
    }
  }
  return values;
}

std::string ini_error_message(const std::string& file, const ini_key& key, const std::string& value,
                              const std::string& problem)
{
  return file + ": section [" + key.section + "], key '" + key.key + "' = '" + value +
         "': " + problem;
}

} // namespace wisteriaflow
