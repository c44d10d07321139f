// Hexadecimal text of 64-bit numbers: 16 lower-case digits, so that equal numbers have equal texts.

#ifndef WISTERIAFLOW_BASE_HEX_H_
#define WISTERIAFLOW_BASE_HEX_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace wisteriaflow {

inline constexpr std::size_t hex_digits = 16;

// Returns the 16 digits of `value`.
[[nodiscard]] std::string to_hex(std::uint64_t value);

// Parses the output of to_hex(); nothing if `digits` has another form.
[[nodiscard]] std::optional<std::uint64_t> parse_hex(std::string_view digits);

} // namespace wisteriaflow

#endif // WISTERIAFLOW_BASE_HEX_H_
