// Builds the JSON documents that the tests of this package use.

#ifndef WISTERIAFLOW_TEST_OBJECTS_TEST_DOCUMENTS_H_
#define WISTERIAFLOW_TEST_OBJECTS_TEST_DOCUMENTS_H_

#include <cstdint>
#include <string>
#include <string_view>

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

namespace wisteriaflow::objects {

// A document of the object API. `spec` and `labels` are JSON texts.
inline boost::json::value document(std::string_view kind, std::string_view name,
                                   std::uint64_t revision, std::string_view spec = "{}",
                                   std::string_view labels = "{}")
{
  return {{"apiVersion", "wisteriaflow.dev/v1"},
          {"kind", kind},
          {"metadata",
           {{"name", name},
            {"resourceVersion", std::to_string(revision)},
            {"labels", boost::json::parse({labels.data(), labels.size()})}}},
          {"spec", boost::json::parse({spec.data(), spec.size()})}};
}

} // namespace wisteriaflow::objects

#endif // WISTERIAFLOW_TEST_OBJECTS_TEST_DOCUMENTS_H_
