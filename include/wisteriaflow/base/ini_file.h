// Reads INI files into a map from section and key to value, and formats error messages about the
// settings in them.
//
//   const auto values = read_ini(in, "daemon.ini");
//   const auto it = values.find({"daemon", "id"});

#ifndef WISTERIAFLOW_BASE_INI_FILE_H_
#define WISTERIAFLOW_BASE_INI_FILE_H_

#include <compare>
#include <istream>
#include <map>
#include <string>

#include "wisteriaflow/base/errors.h"

namespace wisteriaflow {

// Thrown for malformed INI syntax and for a key outside any section. The message contains the file
// and the line or the key.
class ini_error : public error {
 public:
  using error::error;
};

// A key of an INI file together with its section.
struct ini_key {
  std::string section;
  std::string key;

  friend auto operator<=>(const ini_key&,
                          const ini_key&) = default; // NOLINT(modernize-use-nullptr)
};

using ini_values = std::map<ini_key, std::string>;

// Reads the values of a file; error messages call the file `name`. Throws ini_error.
[[nodiscard]] ini_values read_ini(std::istream& in, const std::string& name);

// Returns an error message with the file, section, key and value, and the `problem` with the value.
[[nodiscard]] std::string ini_error_message(const std::string& file, const ini_key& key,
                                            const std::string& value, const std::string& problem);

} // namespace wisteriaflow

#endif // WISTERIAFLOW_BASE_INI_FILE_H_
