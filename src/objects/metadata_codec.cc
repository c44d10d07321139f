// Reads the part of a document that all kinds share.

#include "objects/metadata_codec.h"

#include <algorithm>
#include <charconv>

#include "objects/field_reader.h"
#include "wisteriaflow/objects/codec.h"

namespace wisteriaflow::objects {
namespace {

constexpr std::size_t name_limit = 253;

bool is_object_name(std::string_view text)
{
  const auto is_end = [](char c) { return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9'); };
  const auto is_inner = [&](char c) { return is_end(c) || c == '-' || c == '.'; };
  return !text.empty() && text.size() <= name_limit && is_end(text.front()) &&
         is_end(text.back()) && std::all_of(text.begin(), text.end(), is_inner);
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

std::string string_in(const boost::json::value* value)
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
  std::map<std::string, std::string> read;
  for (const auto& key : annotations.keys()) {
    read.emplace(key, annotations.string_or(key, ""));
  }
  return read;
}

} // namespace

namespace internal {

std::string kind_in(const boost::json::value& document)
{
  auto kind = string_in(find_field(&document, "kind"));
  return kind.empty() ? "(no kind)" : kind;
}

std::optional<document_identity> identity_of(const boost::json::value& document)
{
  const auto* metadata = find_field(&document, "metadata");
  auto name = string_in(find_field(metadata, "name"));
  const auto revision = parse_revision(string_in(find_field(metadata, "resourceVersion")));
  if (name.empty() || !revision) {
    return std::nullopt;
  }
  return document_identity{.name = std::move(name), .revision = *revision};
}

} // namespace internal

object_metadata decode_metadata(const boost::json::value& document)
{
  internal::owner whose{.kind = internal::kind_in(document), .name = "(no name)"};
  internal::field_reader top(whose, "document", document);
  whose.name = top.nested("metadata").string_or("name", whose.name);
  const auto* value = top.find("metadata");
  if (value == nullptr) {
    top.reject("metadata", "an object with a name");
  }
  internal::field_reader fields(whose, "metadata", *value);
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
