#include "platform/operator_input.h"

#include <algorithm>
#include <cctype>
#include <utility>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/stream_parser.hpp>

#include "wisteriaflow/objects/audit_record.h"
#include "wisteriaflow/objects/codec.h"
#include "wisteriaflow/objects/fleet_configuration.h"
#include "wisteriaflow/platform/errors.h"
#include "wisteriaflow/platform/operator_commands.h"

namespace wisteriaflow::platform {
namespace {

namespace json = boost::json;

// Appends a document, or each document of an array or a List, to `documents`.
void collect(json::value parsed, std::vector<json::value>& documents)
{
  auto* array = parsed.if_array();
  if (parsed.is_object() && parsed.get_object().if_contains("items") != nullptr) {
    array = parsed.get_object()["items"].if_array();
  }
  if (array == nullptr) {
    documents.push_back(std::move(parsed));
    return;
  }
  for (auto& item : *array) {
    documents.push_back(std::move(item));
  }
}

bool is_blank(std::string_view text)
{
  return text.find_first_not_of(" \t\r\n") == std::string_view::npos;
}

// Parses the first JSON value of `text` and removes it from `text`. `position` is the offset of
// `text` in the complete input, for the error message.
json::value parse_next_value(std::string_view& text, std::size_t position)
{
  json::stream_parser parser;
  json::error_code ec;
  const auto n = parser.write_some(text.data(), text.size(), ec);
  if (!ec && !parser.done()) {
    parser.finish(ec);
  }
  if (ec) {
    throw invalid_input_error("not JSON, at byte " + std::to_string(position + n) + ": " +
                              ec.message());
  }
  text.remove_prefix(n);
  return parser.release();
}

// Converts to lower case and removes '_', '-' and a plural's 's'.
std::string normalize_kind(std::string_view text)
{
  std::string normalized;
  for (const char c : text) {
    if (c != '_' && c != '-') {
      normalized += static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    }
  }
  if (normalized.ends_with('s')) {
    normalized.pop_back();
  }
  return normalized;
}

std::string describe(const std::vector<objects::field_violation>& faults)
{
  std::string text;
  for (const auto& fault : faults) {
    text += text.empty() ? "" : "\n";
    text += to_string(fault);
  }
  return text;
}

} // namespace

std::vector<json::value> parse_documents(std::string_view text)
{
  std::vector<json::value> documents;
  const auto total_size = text.size();
  while (!is_blank(text)) {
    collect(parse_next_value(text, total_size - text.size()), documents);
  }
  if (documents.empty()) {
    throw invalid_input_error("no objects: expected a JSON object, an array of them, or a List");
  }
  return documents;
}

void validate_documents(const std::vector<json::value>& documents)
{
  for (const auto& document : documents) {
    (void)internal::require_declared(document);
  }
  const auto faults = internal::violations_of(documents);
  if (!faults.empty()) {
    throw invalid_input_error(describe(faults));
  }
}

std::string canonical_kind(std::string_view text)
{
  std::string allowed;
  for (const auto kind : objects::known_kinds()) {
    if (normalize_kind(kind) == normalize_kind(text)) {
      return std::string(kind);
    }
    allowed += allowed.empty() ? "" : ", ";
    allowed += kind;
  }
  throw invalid_input_error("unknown kind \"" + std::string(text) + "\"; allowed: " + allowed);
}

namespace internal {

std::vector<objects::field_violation> violations_of(const std::vector<json::value>& documents)
{
  try {
    (void)objects::make_fleet_configuration(0, documents);
  } catch (const objects::configuration_error& e) {
    return e.violations();
  }
  return {};
}

void require_no_new_faults(const std::vector<json::value>& before,
                           const std::vector<json::value>& after)
{
  const auto existing = violations_of(before);
  auto faults = violations_of(after);
  std::erase_if(faults, [&](const auto& fault) {
    return std::find(existing.begin(), existing.end(), fault) != existing.end();
  });
  if (!faults.empty()) {
    throw invalid_input_error(describe(faults));
  }
}

objects::declared_object require_declared(const json::value& document)
{
  objects::decoded_object decoded;
  try {
    decoded = objects::decode_object(document);
  } catch (const objects::objects_error& e) {
    throw invalid_input_error(e.what());
  }
  if (const auto* unknown = std::get_if<objects::unsupported_object>(&decoded)) {
    throw invalid_input_error(unknown->kind + " " + unknown->metadata.name + ": " +
                              unknown->reason);
  }
  return std::get<objects::declared_object>(std::move(decoded));
}

std::string kind_of(const json::value& document)
{
  const auto* kind = document.as_object().if_contains("kind");
  return kind != nullptr && kind->is_string() ? std::string(kind->get_string()) : "";
}

std::string name_of(const json::value& document)
{
  return std::string(document.at("metadata").at("name").as_string());
}

objects::label_set labels_of(const json::value& document)
{
  try {
    return objects::decode_metadata(document).labels;
  } catch (const objects::objects_error& e) {
    throw invalid_input_error(e.what());
  }
}

std::vector<label_edit> edits_of(const json::value& document)
{
  std::vector<label_edit> edits;
  for (const auto& [key, value] : labels_of(document)) {
    edits.push_back({.key = key, .value = value});
  }
  return edits;
}

void set_labels(json::value& document, const objects::label_set& labels)
{
  json::object encoded;
  for (const auto& [key, value] : labels) {
    encoded[key] = value;
  }
  document.at("metadata").as_object()["labels"] = std::move(encoded);
}

json::value merge(const json::value& wanted, const json::value& existing)
{
  auto merged = existing;
  const auto* spec = wanted.as_object().if_contains("spec");
  merged.as_object()["kind"] = kind_of(wanted);
  merged.as_object()["spec"] = spec == nullptr ? json::value(json::object{}) : *spec;
  set_labels(merged, apply_edits(labels_of(existing), edits_of(wanted)));
  for (const auto& [key, value] : objects::decode_metadata(wanted).annotations) {
    set_annotation(merged, key, value);
  }
  return merged;
}

bool is_equivalent(const json::value& a, const json::value& b)
{
  const auto normalized = [](const json::value& document) {
    auto metadata = objects::decode_metadata(document);
    metadata.revision = 0;
    for (const auto key : {objects::changed_by_annotation, objects::cause_annotation,
                           objects::write_id_annotation}) {
      metadata.annotations.erase(std::string(key));
    }
    return metadata;
  };
  return kind_of(a) == kind_of(b) && has_same_spec(a, b) && normalized(a) == normalized(b);
}

bool has_same_spec(const json::value& a, const json::value& b)
{
  const json::value empty = json::object{};
  const auto* spec_a = a.as_object().if_contains("spec");
  const auto* spec_b = b.as_object().if_contains("spec");
  return (spec_a == nullptr ? empty : *spec_a) == (spec_b == nullptr ? empty : *spec_b);
}

} // namespace internal
} // namespace wisteriaflow::platform
