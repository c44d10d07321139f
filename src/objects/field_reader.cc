#include "objects/field_reader.h"

#include <algorithm>
#include <sstream>

#include <boost/json/serialize.hpp>

namespace wisteriaflow::objects::internal {
namespace {

const boost::json::value empty_object = boost::json::object{};

// Longer values are truncated in error messages.
constexpr std::size_t max_value_length = 80;

std::string to_message_text(const boost::json::value* value)
{
  if (value == nullptr) {
    return "(absent)";
  }
  std::string text = boost::json::serialize(*value);
  if (text.size() > max_value_length) {
    text = text.substr(0, max_value_length) + "...";
  }
  return text;
}

template <typename number> std::string describe(std::string_view type, allowed_range<number> range)
{
  std::ostringstream text;
  text << type << " from " << range.min << " to " << range.max;
  return text.str();
}

template <typename strings> std::string join(const strings& items)
{
  std::string text;
  for (const auto& item : items) {
    text += text.empty() ? "" : ", ";
    text += item;
  }
  return text;
}

} // namespace

field_reader::field_reader(object_id id, std::string path, const boost::json::value& value)
    : id_(std::move(id)), path_(std::move(path)), fields_(value.if_object())
{
  if (fields_ == nullptr) {
    throw invalid_object_error({.kind = id_.kind,
                                .name = id_.name,
                                .field = path_,
                                .value = to_message_text(&value),
                                .allowed = "an object"});
  }
}

const boost::json::value* field_reader::find(std::string_view key)
{
  read_keys_.emplace_back(key);
  const auto* value = fields_->if_contains(key);
  return value == nullptr || value->is_null() ? nullptr : value;
}

std::string field_reader::required_string(std::string_view key)
{
  const auto* value = find(key);
  if (value == nullptr || !value->is_string() || value->get_string().empty()) {
    reject(key, "a string that is not empty");
  }
  return std::string(value->get_string());
}

std::string field_reader::string_or(std::string_view key, std::string fallback)
{
  const auto* value = find(key);
  if (value == nullptr) {
    return fallback;
  }
  if (!value->is_string()) {
    reject(key, "a string");
  }
  return std::string(value->get_string());
}

std::string field_reader::one_of(std::string_view key, const std::vector<std::string_view>& choices,
                                 std::string_view fallback)
{
  std::string value = string_or(key, std::string(fallback));
  if (std::find(choices.begin(), choices.end(), value) == choices.end()) {
    reject(key, "one of " + join(choices));
  }
  return value;
}

std::optional<double> field_reader::optional_number(std::string_view key,
                                                    allowed_range<double> range)
{
  const auto* value = find(key);
  if (value == nullptr) {
    return std::nullopt;
  }
  if (!value->is_number()) {
    reject(key, describe("a number", range));
  }
  const auto number = value->to_number<double>();
  if (!(number >= range.min && number <= range.max)) {
    reject(key, describe("a number", range));
  }
  return number;
}

double field_reader::number_or(std::string_view key, allowed_range<double> range, double fallback)
{
  return optional_number(key, range).value_or(fallback);
}

std::optional<std::int64_t> field_reader::optional_integer(std::string_view key,
                                                           allowed_range<std::int64_t> range)
{
  const auto* value = find(key);
  if (value == nullptr) {
    return std::nullopt;
  }
  boost::json::error_code ec;
  const auto number = value->is_number() ? value->to_number<std::int64_t>(ec) : 0;
  if (!value->is_number() || ec || number < range.min || number > range.max) {
    reject(key, describe("an integer", range));
  }
  return number;
}

std::int64_t field_reader::integer_or(std::string_view key, allowed_range<std::int64_t> range,
                                      std::int64_t fallback)
{
  return optional_integer(key, range).value_or(fallback);
}

bool field_reader::boolean_or(std::string_view key, bool fallback)
{
  const auto* value = find(key);
  if (value == nullptr) {
    return fallback;
  }
  if (!value->is_bool()) {
    reject(key, "true or false");
  }
  return value->get_bool();
}

selector field_reader::selector_or_all(std::string_view key)
{
  const auto text = string_or(key, "");
  try {
    return parse_selector(text);
  } catch (const selector_parse_error& e) {
    reject(key, e.what());
  }
}

std::vector<std::string> field_reader::strings_or(std::string_view key,
                                                  std::vector<std::string> fallback)
{
  const auto* value = find(key);
  if (value == nullptr) {
    return fallback;
  }
  const auto is_text = [](const auto& v) { return v.is_string() && !v.get_string().empty(); };
  if (!value->is_array() ||
      !std::all_of(value->get_array().begin(), value->get_array().end(), is_text)) {
    reject(key, "an array of strings that are not empty");
  }
  std::vector<std::string> items;
  for (const auto& item : value->get_array()) {
    items.emplace_back(item.get_string());
  }
  return items;
}

field_reader field_reader::nested(std::string_view key)
{
  const auto* value = find(key);
  return {id_, path_ + "." + std::string(key), value == nullptr ? empty_object : *value};
}

std::vector<std::string> field_reader::keys()
{
  std::vector<std::string> keys;
  for (const auto& field : *fields_) {
    keys.emplace_back(field.key());
  }
  read_keys_.insert(read_keys_.end(), keys.begin(), keys.end());
  return keys;
}

void field_reader::reject_unread_fields() const
{
  for (const auto& field : *fields_) {
    const std::string_view key = field.key();
    if (std::find(read_keys_.begin(), read_keys_.end(), key) == read_keys_.end()) {
      reject(key, "only the fields " + join(read_keys_));
    }
  }
}

void field_reader::reject(std::string_view key, std::string allowed) const
{
  throw invalid_object_error({.kind = id_.kind,
                              .name = id_.name,
                              .field = path_ + "." + std::string(key),
                              .value = to_message_text(fields_->if_contains(key)),
                              .allowed = std::move(allowed)});
}

} // namespace wisteriaflow::objects::internal
