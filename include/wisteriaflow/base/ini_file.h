// Reads INI files into values by section and key, and words the errors of the settings read from
// them.
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

// A file that is not INI, or a key outside any section. The text names file, line or key.
class ini_error : public error {
 public:
  using error::error;
};

// A key of an INI file.
struct ini_key {
  std::string section;
  std::string key;

  friend auto operator<=>(const ini_key&,
                          const ini_key&) = default; // NOLINT(modernize-use-nullptr)
};

using ini_values = std::map<ini_key, std::string>;

// The values of a file; `name` is its name in errors. Throws ini_error.
[[nodiscard]] ini_values read_ini(std::istream& in, const std::string& name);

// The text of an error: file, section, key, value and what is wrong with it.
[[nodiscard]] std::string ini_fault(const std::string& file, const ini_key& where,
                                    const std::string& value, const std::string& problem);

} // namespace wisteriaflow

#endif // WISTERIAFLOW_BASE_INI_FILE_H_
