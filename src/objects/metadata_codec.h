// What the codecs of all kinds share.

#ifndef WISTERIAFLOW_SRC_OBJECTS_METADATA_CODEC_H_
#define WISTERIAFLOW_SRC_OBJECTS_METADATA_CODEC_H_

#include <cstdint>
#include <optional>
#include <string>

#include <boost/json/value.hpp>

namespace wisteriaflow::objects::internal {

// The document's kind, or "(no kind)".
[[nodiscard]] std::string kind_in(const boost::json::value& document);

// Which version of which object a document is.
struct document_identity {
  std::string name;
  std::uint64_t revision = 0;
};

// The identity of a document whose other parts may be malformed; nothing if it has none.
[[nodiscard]] std::optional<document_identity> identity_of(const boost::json::value& document);

} // namespace wisteriaflow::objects::internal

#endif // WISTERIAFLOW_SRC_OBJECTS_METADATA_CODEC_H_
