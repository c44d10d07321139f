#include "wisteriaflow/objects/selector.h"

#include <algorithm>

#include "wisteriaflow/objects/errors.h"

namespace wisteriaflow::objects {
namespace {

// Recursive descent parser of selectors. `position_` is the start of the next token.
class selector_parser {
 public:
  explicit selector_parser(std::string_view text) : text_(text) {}

  selector parse()
  {
    std::vector<requirement> requirements;
    skip_spaces();
    if (at_end()) {
      return selector{};
    }
    requirements.push_back(parse_requirement());
    while (!at_end()) {
      expect(',', "',' or the end");
      requirements.push_back(parse_requirement());
    }
    return selector(std::move(requirements));
  }

 private:
  requirement parse_requirement()
  {
    if (accept("!")) {
      return {.key = parse_key(), .op = selector_operator::does_not_exist};
    }
    std::string key = parse_key();
    if (accept("!=")) {
      return {std::move(key), selector_operator::not_in, {parse_value()}};
    }
    if (accept("==") || accept("=")) {
      return {std::move(key), selector_operator::in, {parse_value()}};
    }
    if (at_end() || text_[position_] == ',') {
      return {.key = std::move(key), .op = selector_operator::exists};
    }
    return parse_set_requirement(std::move(key));
  }

  requirement parse_set_requirement(std::string key)
  {
    const auto begin = position_;
    const auto word = read_word();
    if (word != "in" && word != "notin") {
      fail(begin, "'=', '==', '!=', 'in', 'notin', ',' or the end");
    }
    const auto op = word == "in" ? selector_operator::in : selector_operator::not_in;
    return {std::move(key), op, parse_values()};
  }

  std::vector<std::string> parse_values()
  {
    expect('(', "'('");
    std::vector<std::string> values;
    values.push_back(parse_value());
    while (accept(",")) {
      values.push_back(parse_value());
    }
    expect(')', "',' or ')'");
    return values;
  }

  std::string parse_key()
  {
    const auto begin = position_;
    const auto word = read_word();
    if (!is_label_key(word)) {
      fail(begin, "a label key");
    }
    return std::string(word);
  }

  std::string parse_value()
  {
    const auto begin = position_;
    const auto word = read_word();
    if (!is_label_value(word)) {
      fail(begin, "a label value");
    }
    return std::string(word);
  }

  std::string_view read_word()
  {
    const auto begin = position_;
    const auto end = std::min(text_.find_first_of(" \t,=!()", begin), text_.size());
    position_ = end;
    skip_spaces();
    return text_.substr(begin, end - begin);
  }

  bool accept(std::string_view token)
  {
    if (!text_.substr(position_).starts_with(token)) {
      return false;
    }
    position_ += token.size();
    skip_spaces();
    return true;
  }

  void expect(char token, const std::string& description)
  {
    if (!accept({&token, 1})) {
      fail(position_, description);
    }
  }

  void skip_spaces()
  {
    position_ = std::min(text_.find_first_not_of(" \t", position_), text_.size());
  }

  [[nodiscard]] bool at_end() const { return position_ == text_.size(); }

  [[noreturn]] void fail(std::size_t position, const std::string& expected) const
  {
    throw selector_parse_error(std::string(text_), position, expected);
  }

  std::string_view text_;
  std::size_t position_ = 0;
};

std::string join(const std::vector<std::string>& values)
{
  std::string text = values.front();
  for (std::size_t i = 1; i < values.size(); ++i) {
    text += "," + values[i];
  }
  return text;
}

std::string to_string(const requirement& condition)
{
  const bool single = condition.values.size() == 1;
  switch (condition.op) {
  case selector_operator::in:
    return single ? condition.key + "=" + condition.values[0]
                  : condition.key + " in (" + join(condition.values) + ")";
  case selector_operator::not_in:
    return single ? condition.key + "!=" + condition.values[0]
                  : condition.key + " notin (" + join(condition.values) + ")";
  case selector_operator::exists:
    return condition.key;
  case selector_operator::does_not_exist:
    return "!" + condition.key;
  }
  return {};
}

} // namespace

bool matches(const requirement& condition, const label_set& labels)
{
  const auto value = labels.find(condition.key);
  const auto is_listed = [&] {
    return value && std::binary_search(condition.values.begin(), condition.values.end(), *value);
  };
  switch (condition.op) {
  case selector_operator::in:
    return is_listed();
  case selector_operator::not_in:
    return !is_listed();
  case selector_operator::exists:
    return value.has_value();
  case selector_operator::does_not_exist:
    return !value.has_value();
  }
  return false;
}

selector::selector(std::vector<requirement> requirements) : requirements_(std::move(requirements))
{
  for (auto& condition : requirements_) {
    std::sort(condition.values.begin(), condition.values.end());
    const auto repeats = std::unique(condition.values.begin(), condition.values.end());
    condition.values.erase(repeats, condition.values.end());
  }
}

bool selector::matches(const label_set& labels) const
{
  const auto is_satisfied = [&](const requirement& condition) {
    return objects::matches(condition, labels);
  };
  return std::all_of(requirements_.begin(), requirements_.end(), is_satisfied);
}

selector parse_selector(std::string_view text)
{
  return selector_parser(text).parse();
}

std::string to_string(const selector& source)
{
  std::string text;
  for (const auto& condition : source.requirements()) {
    text += (text.empty() ? "" : ", ") + to_string(condition);
  }
  return text;
}

} // namespace wisteriaflow::objects
