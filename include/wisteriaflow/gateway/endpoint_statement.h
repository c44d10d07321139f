// What an endpoint states about itself in the head of an answer, and its validation.
//
//   const auto terms = validated_terms(head.statement);
//   if (terms.request_rate) { ... }
//   for (const auto& text : terms.rejected) { ... log it ... }

#ifndef WISTERIAFLOW_GATEWAY_ENDPOINT_STATEMENT_H_
#define WISTERIAFLOW_GATEWAY_ENDPOINT_STATEMENT_H_

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace wisteriaflow::gateway {

// A parsed value with the text that it was read from.
template <typename value_type> struct parsed_value {
  std::string text;
  std::optional<value_type> value; // nothing if the text is not valid

  friend bool operator==(const parsed_value&, const parsed_value&) = default;
};

// The fields as found in the answer; absent fields state nothing.
struct endpoint_statement {
  std::optional<parsed_value<bool>> leaving;
  std::optional<parsed_value<double>> request_rate; // requests/s from the whole fleet
  std::optional<parsed_value<double>> pause; // seconds in which this daemon must not send a request
  std::optional<parsed_value<double>> rejection_limit; // rejections/s that the endpoint survives

  friend bool operator==(const endpoint_statement&, const endpoint_statement&) = default;
};

// The terms on which an endpoint accepts requests, restricted to valid values.
struct endpoint_terms {
  bool leaving = false;
  std::optional<double> request_rate; // requests/s from the whole fleet
  std::optional<std::chrono::milliseconds> pause;
  std::optional<double> rejection_limit; // rejections/s that the endpoint survives
  std::vector<std::string> rejected;     // text of the invalid fields, for the log

  friend bool operator==(const endpoint_terms&, const endpoint_terms&) = default;
};

// Returns the valid values of `statement`; the text of the invalid ones is in `rejected`.
[[nodiscard]] endpoint_terms validated_terms(const endpoint_statement& statement);

// Whether `rate`, in requests/s, is in the valid range.
[[nodiscard]] bool is_valid_rate(double rate);

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_ENDPOINT_STATEMENT_H_
