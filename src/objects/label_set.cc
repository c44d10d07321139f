#include "wisteriaflow/objects/label_set.h"

#include <algorithm>

#include "wisteriaflow/objects/errors.h"

namespace wisteriaflow::objects {
namespace {

constexpr std::size_t max_name_length = 63;
constexpr std::size_t max_prefix_length = 253;

bool is_alphanumeric(char c)
{
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
}

bool is_name_character(char c)
{
  return is_alphanumeric(c) || c == '-' || c == '_' || c == '.';
}

bool is_name(std::string_view text)
{
  return !text.empty() && text.size() <= max_name_length && is_alphanumeric(text.front()) &&
         is_alphanumeric(text.back()) && std::all_of(text.begin(), text.end(), is_name_character);
}

bool is_prefix(std::string_view text)
{
  const auto is_dns_character = [](char c) {
    return is_name_character(c) && c != '_' && (c < 'A' || c > 'Z');
  };
  return !text.empty() && text.size() <= max_prefix_length && is_alphanumeric(text.front()) &&
         is_alphanumeric(text.back()) && std::all_of(text.begin(), text.end(), is_dns_character);
}

void validate_label(std::string_view key, std::string_view value)
{
  if (!is_label_key(key)) {
    throw label_error("label key \"" + std::string(key) +
                      "\": allowed are up to 63 letters, digits, '-', '_' and '.', beginning and "
                      "ending with a letter or digit, after an optional prefix and '/'");
  }
  if (!is_label_value(value)) {
    throw label_error("label " + std::string(key) + ", value \"" + std::string(value) +
                      "\": allowed are up to 63 letters, digits, '-', '_' and '.', beginning and "
                      "ending with a letter or digit");
  }
}

std::string_view trim(std::string_view text)
{
  const auto first = text.find_first_not_of(" \t");
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

bool key_less(const label_set::entry& a, std::string_view key)
{
  return a.first < key;
}

} // namespace

bool is_label_key(std::string_view text)
{
  const auto slash = text.find('/');
  if (slash == std::string_view::npos) {
    return is_name(text);
  }
  return is_prefix(text.substr(0, slash)) && is_name(text.substr(slash + 1));
}

bool is_label_value(std::string_view text)
{
  return text.empty() || is_name(text);
}

label_set::label_set(std::vector<entry> entries) : entries_(std::move(entries))
{
  for (const auto& [key, value] : entries_) {
    validate_label(key, value);
  }
  std::sort(entries_.begin(), entries_.end());
  const auto same_key = [](const entry& a, const entry& b) { return a.first == b.first; };
  const auto duplicate = std::adjacent_find(entries_.begin(), entries_.end(), same_key);
  if (duplicate != entries_.end()) {
    throw label_error("label key \"" + duplicate->first + "\" stands twice");
  }
}

label_set::label_set(std::initializer_list<entry> entries) : label_set(std::vector<entry>(entries))
{
}

std::optional<std::string_view> label_set::find(std::string_view key) const
{
  const auto it = std::lower_bound(entries_.begin(), entries_.end(), key, key_less);
  if (it == entries_.end() || it->first != key) {
    return std::nullopt;
  }
  return it->second;
}

label_set label_set::with(std::string_view key, std::string_view value) const
{
  validate_label(key, value);
  label_set changed = without(key);
  const auto it = std::lower_bound(changed.entries_.begin(), changed.entries_.end(), key, key_less);
  changed.entries_.emplace(it, key, value);
  return changed;
}

label_set label_set::without(std::string_view key) const
{
  label_set changed = *this;
  std::erase_if(changed.entries_, [&](const entry& e) { return e.first == key; });
  return changed;
}

label_set parse_label_set(std::string_view text)
{
  std::vector<label_set::entry> entries;
  while (!trim(text).empty()) {
    const auto comma = std::min(text.find(','), text.size());
    const auto pair = trim(text.substr(0, comma));
    const auto equals = pair.find('=');
    if (equals == std::string_view::npos) {
      throw label_error("label \"" + std::string(pair) + "\": expected key=value");
    }
    entries.emplace_back(trim(pair.substr(0, equals)), trim(pair.substr(equals + 1)));
    text.remove_prefix(std::min(comma + 1, text.size()));
  }
  return label_set(std::move(entries));
}

std::string to_string(const label_set& labels)
{
  std::string text;
  for (const auto& [key, value] : labels) {
    text += text.empty() ? "" : ",";
    text += key;
    text += '=';
    text += value;
  }
  return text;
}

} // namespace wisteriaflow::objects
