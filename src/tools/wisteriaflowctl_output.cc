#include "tools/wisteriaflowctl_output.h"

#include <algorithm>
#include <iomanip>
#include <iostream>
#include <utility>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "wisteriaflow/objects/audit_record.h"
#include "wisteriaflow/objects/codec.h"

namespace wisteriaflow::tools {
namespace {

namespace json = boost::json;

using row = std::vector<std::string>;

void print_json(const json::value& value)
{
  std::cout << json::serialize(value) << '\n';
}

// Prints rows in columns; the first row holds the headings.
void print_table(const std::vector<row>& rows)
{
  std::vector<std::size_t> widths;
  for (const auto& r : rows) {
    widths.resize(std::max(widths.size(), r.size()));
    for (std::size_t i = 0; i < r.size(); ++i) {
      widths[i] = std::max(widths[i], r[i].size());
    }
  }
  constexpr std::size_t gap = 2;
  for (const auto& r : rows) {
    for (std::size_t i = 0; i + 1 < r.size(); ++i) {
      std::cout << std::left << std::setw(static_cast<int>(widths[i] + gap)) << r[i];
    }
    std::cout << (r.empty() ? "" : r.back()) << '\n';
  }
}

std::string text_of(const json::value& value)
{
  return value.is_string() ? std::string(value.get_string()) : json::serialize(value);
}

json::object encode(const platform::changed_object& change)
{
  return {{"kind", change.kind},
          {"name", change.name},
          {"revision", change.revision},
          {"result", to_string(change.result)}};
}

row object_row(const json::value& document)
{
  const auto* kind = document.as_object().if_contains("kind");
  const auto kind_text = kind == nullptr ? "" : text_of(*kind);
  try {
    const auto metadata = objects::decode_metadata(document);
    const auto changed_by = metadata.annotations.find(std::string(objects::changed_by_annotation));
    return {kind_text, metadata.name, std::to_string(metadata.revision),
            changed_by == metadata.annotations.end() ? "" : changed_by->second,
            to_string(metadata.labels)};
  } catch (const objects::objects_error& e) {
    return {kind_text, "(unreadable)", "", "", e.what()};
  }
}

bool is_table(const json::value& value)
{
  const auto is_object = [](const json::value& v) { return v.is_object(); };
  return value.is_array() && !value.get_array().empty() &&
         std::all_of(value.get_array().begin(), value.get_array().end(), is_object);
}

// Prints a table with one column for each field that any item has, in the order of first
// appearance.
void print_items(const json::array& items)
{
  row headings;
  for (const auto& item : items) {
    for (const auto& field : item.get_object()) {
      const std::string key(field.key());
      if (std::find(headings.begin(), headings.end(), key) == headings.end()) {
        headings.push_back(key);
      }
    }
  }
  std::vector<row> rows{headings};
  for (const auto& item : items) {
    row cells;
    for (const auto& key : headings) {
      const auto* value = item.get_object().if_contains(key);
      cells.push_back(value == nullptr ? "" : text_of(*value));
    }
    rows.push_back(std::move(cells));
  }
  print_table(rows);
}

void print_fields(const json::object& fields)
{
  std::vector<row> rows;
  for (const auto& field : fields) {
    if (!is_table(field.value())) {
      rows.push_back({std::string(field.key()), text_of(field.value())});
    }
  }
  print_table(rows);
  for (const auto& field : fields) {
    if (is_table(field.value())) {
      std::cout << '\n' << field.key() << ":\n";
      print_items(field.value().get_array());
    }
  }
}

} // namespace

void print_objects(output_format format, const std::vector<json::value>& documents)
{
  if (format == output_format::json) {
    print_json({{"kind", "List"}, {"items", json::array(documents.begin(), documents.end())}});
    return;
  }
  std::vector<row> rows{{"KIND", "NAME", "REVISION", "CHANGED-BY", "LABELS"}};
  for (const auto& document : documents) {
    rows.push_back(object_row(document));
  }
  print_table(rows);
}

void print_changes(output_format format, const std::vector<platform::changed_object>& changes)
{
  if (format == output_format::json) {
    json::array encoded;
    for (const auto& change : changes) {
      encoded.push_back(encode(change));
    }
    print_json({{"changes", std::move(encoded)}});
    return;
  }
  std::vector<row> rows{{"KIND", "NAME", "REVISION", "RESULT"}};
  for (const auto& change : changes) {
    rows.push_back({change.kind, change.name, std::to_string(change.revision),
                    std::string(to_string(change.result))});
  }
  print_table(rows);
}

void print_audit_trail(output_format format, const platform::audit_trail& trail)
{
  if (format == output_format::json) {
    json::array records;
    for (const auto& record : trail.records) {
      records.push_back(encode_audit_record(record).at("spec"));
    }
    print_json({{"records", std::move(records)},
                {"unreadable", json::array(trail.unreadable.begin(), trail.unreadable.end())}});
    return;
  }
  std::vector<row> rows{{"WHEN", "WHO", "CHANGE", "OBJECT", "REVISIONS", "CAUSE", "DETAIL"}};
  for (const auto& r : trail.records) {
    rows.push_back({objects::to_rfc3339(r.when), r.who, std::string(to_string(r.change)),
                    r.object_kind + "/" + r.object_name,
                    std::to_string(r.old_revision) + "->" + std::to_string(r.new_revision), r.cause,
                    r.detail});
  }
  print_table(rows);
}

void print_answer(output_format format, const json::value& answer)
{
  if (format == output_format::json || !answer.is_object()) {
    print_json(answer);
    return;
  }
  print_fields(answer.get_object());
}

} // namespace wisteriaflow::tools
