// What an endpoint says of itself in the head of an answer, and what of it can be believed.
//
//   const auto terms = believed(head.statement);
//   if (terms.request_rate) { ... }
//   for (const auto& text : terms.rejected) { ... log it ... }

#ifndef WISTERIAFLOW_GATEWAY_ENDPOINT_STATEMENT_H_
#define WISTERIAFLOW_GATEWAY_ENDPOINT_STATEMENT_H_

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace wisteriaflow::gateway {

// A value with the text that it was read from.
template <typename value_type> struct stated {
  std::string text;
  std::optional<value_type> value; // nothing if the text cannot be read

  friend bool operator==(const stated&, const stated&) = default;
};

// As the answer has it. Fields that are absent say nothing.
struct endpoint_statement {
  std::optional<stated<bool>> leaving;
  std::optional<stated<double>> request_rate; // requests/s, of the whole fleet
  std::optional<stated<double>> pause;        // seconds without a request of this daemon

  friend bool operator==(const endpoint_statement&, const endpoint_statement&) = default;
};

// The terms on which an endpoint takes requests, as far as they can be believed.
struct endpoint_terms {
  bool leaving = false;
  std::optional<double> request_rate; // requests/s, of the whole fleet
  std::optional<std::chrono::milliseconds> pause;
  std::vector<std::string> rejected; // what is not believed, for the log

  friend bool operator==(const endpoint_terms&, const endpoint_terms&) = default;
};

[[nodiscard]] endpoint_terms believed(const endpoint_statement& statement);

// Whether a rate, in requests/s, is one that an endpoint may mean.
[[nodiscard]] bool is_credible_rate(double rate);

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_ENDPOINT_STATEMENT_H_
