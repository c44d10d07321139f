// The JSON of declared objects: validating reader and canonical writer.

#ifndef WISTERIAFLOW_OBJECTS_CODEC_H_
#define WISTERIAFLOW_OBJECTS_CODEC_H_

#include <string>
#include <variant>

#include <boost/json/value.hpp>

#include "wisteriaflow/objects/declared_object.h"
#include "wisteriaflow/objects/errors.h"

namespace wisteriaflow::objects {

// An object of a kind or schema that this version does not know. It is kept, not read, so that it
// never stands in the way of the rest.
struct not_understood_object {
  object_metadata metadata;
  std::string kind;
  std::string reason;

  friend bool operator==(const not_understood_object&, const not_understood_object&) = default;
};

// What a document turned out to be.
using decoded_object = std::variant<declared_object, not_understood_object>;

// Reads one object of the declarations resource. Throws invalid_object_error if the document has
// no name, or is of a known kind and schema and not valid: a field that is unknown, missing, of
// the wrong type or out of range.
[[nodiscard]] decoded_object decode_object(const boost::json::value& document);

// The whole document of `object`, with every field of its spec.
[[nodiscard]] boost::json::value encode_object(const declared_object& object);

// The metadata alone. Throws invalid_object_error.
[[nodiscard]] object_metadata decode_metadata(const boost::json::value& document);

} // namespace wisteriaflow::objects

#endif // WISTERIAFLOW_OBJECTS_CODEC_H_
