// Decodes the metadata, which all kinds have in common.

#include "objects/metadata_codec.h"

#include <algorithm>
#include <charconv>

#include "objects/field_reader.h"
#include "wisteriaflow/objects/codec.h"

namespace wisteriaflow::objects {
namespace {

constexpr std::size_t max_name_length = 253;

bool is_object_name(std::string_view text)
{
  const auto is_alphanumeric = [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9');
  };
  const auto is_name_character = [&](char c) { return is_alphanumeric(c) || c == '-' || c == '.'; };
  return !text.empty() && text.size() <= max_name_length && is_alphanumeric(text.front()) &&
         is_alphanumeric(text.back()) && std::all_of(text.begin(), text.end(), is_name_character);
}

std::optional<std::uint64_t> parse_revision(std::string_view text)
{
  std::uint64_t revision = 0;
  const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), revision);
  if (ec != std::errc{} || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return revision;
}

std::uint64_t read_revision(internal::field_reader& fields)
{
  const auto revision = parse_revision(fields.string_or("resourceVersion", "0"));
  if (!revision) {
    fields.reject("resourceVersion", "a decimal number as a string");
  }
  return *revision;
}

const boost::json::value* find_field(const boost::json::value* document, std::string_view key)
{
  const auto* object = document == nullptr ? nullptr : document->if_object();
  return object == nullptr ? nullptr : object->if_contains(key);
}

std::string string_or_empty(const boost::json::value* value)
{
  return value != nullptr && value->is_string() ? std::string(value->get_string()) : "";
}

label_set read_labels(internal::field_reader& fields)
{
  auto labels = fields.nested("labels");
  std::vector<label_set::entry> entries;
  for (const auto& key : labels.keys()) {
    entries.emplace_back(key, labels.string_or(key, ""));
  }
  try {
    return label_set(std::move(entries));
  } catch (const label_error& e) {
    fields.reject("labels", e.what());
  }
}

std::map<std::string, std::string> read_annotations(internal::field_reader& fields)
{
  auto annotations = fields.nested("annotations");
  std::map<std::string, std::string> result;
  for (const auto& key : annotations.keys()) {
    result.emplace(key, annotations.string_or(key, ""));
  }
  return result;
}

} // namespace

namespace internal {

std::string read_kind(const boost::json::value& document)
{
  auto kind = string_or_empty(find_field(&document, "kind"));
  return kind.empty() ? "(no kind)" : kind;
}

std::optional<document_identity> identity_of(const boost::json::value& document)
{
  const auto* metadata = find_field(&document, "metadata");
  auto name = string_or_empty(find_field(metadata, "name"));
  const auto revision = parse_revision(string_or_empty(find_field(metadata, "resourceVersion")));
  if (name.empty() || !revision) {
    return std::nullopt;
  }
  return document_identity{.name = std::move(name), .revision = *revision};
}

} // namespace internal

object_metadata decode_metadata(const boost::json::value& document)
{
  internal::object_id id{.kind = internal::read_kind(document), .name = "(no name)"};
  internal::field_reader root(id, "document", document);
  id.name = root.nested("metadata").string_or("name", id.name);
  const auto* value = root.find("metadata");
  if (value == nullptr) {
    root.reject("metadata", "an object with a name");
  }
  internal::field_reader fields(id, "metadata", *value);
  const auto name = fields.required_string("name");
  if (!is_object_name(name)) {
    fields.reject("name", "lower-case letters, digits, '-' and '.', beginning and ending with a "
                          "letter or digit");
  }
  return {.name = name,
          .labels = read_labels(fields),
          .annotations = read_annotations(fields),
          .revision = read_revision(fields)};
}

} // namespace wisteriaflow::objects
