#include <string>

#include <gtest/gtest.h>

#include "wisteriaflow/core/metrics.h"

namespace wisteriaflow::core {
namespace {

TEST(MetricsTest, RendersACounterWithItsLabels)
{
  metrics m;
  m.count("requests_total", {{"outcome", "answered"}}, 2);
  const auto text = m.render();
  const std::string expected = "wisteriaflow_requests_total{outcome=\"answered\"} 2\n";
  EXPECT_NE(text.find(expected), std::string::npos) << text;
}

TEST(MetricsTest, EscapesLabelValues)
{
  metrics m;
  m.set("up", 1, {{"name", "a\"b"}});
  EXPECT_NE(m.render().find(R"(name="a\"b")"), std::string::npos) << m.render();
}

TEST(MetricsTest, HistogramBucketsAreCumulative)
{
  metrics m;
  m.observe("first_token_seconds", 1e-9);
  m.observe("first_token_seconds", 0.5);
  m.observe("first_token_seconds", 1e9);
  const auto text = m.render();
  EXPECT_NE(text.find("first_token_seconds_bucket{le=\"+Inf\"} 3\n"), std::string::npos) << text;
  EXPECT_NE(text.find("first_token_seconds_bucket{le=\"100\"} 2\n"), std::string::npos) << text;
}

TEST(MetricsTest, BoundsTheNumberOfSeries)
{
  metrics m;
  for (std::size_t i = 0; i < metrics::series_limit + 3; ++i) {
    m.count("requests_total", {{"workspace", std::to_string(i)}});
  }
  EXPECT_NE(m.render().find("series_dropped_total 3\n"), std::string::npos) << m.render();
}

} // namespace
} // namespace wisteriaflow::core
