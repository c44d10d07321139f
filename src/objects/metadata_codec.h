// Helpers that the codecs of all kinds use to read the kind and metadata of a document.

#ifndef WISTERIAFLOW_SRC_OBJECTS_METADATA_CODEC_H_
#define WISTERIAFLOW_SRC_OBJECTS_METADATA_CODEC_H_

#include <cstdint>
#include <optional>
#include <string>

#include <boost/json/value.hpp>

namespace wisteriaflow::objects::internal {

// The kind of the document, or "(no kind)" if it has none.
[[nodiscard]] std::string read_kind(const boost::json::value& document);

// The name of an object and the revision of one of its versions.
struct document_identity {
  std::string name;
  std::uint64_t revision = 0;
};

// The identity of a document, whose other parts may be malformed. nullopt if the name is missing or
// the revision is missing or malformed.
[[nodiscard]] std::optional<document_identity> identity_of(const boost::json::value& document);

} // namespace wisteriaflow::objects::internal

#endif // WISTERIAFLOW_SRC_OBJECTS_METADATA_CODEC_H_
