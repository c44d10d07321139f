// Decodes and validates the JSON of declared objects, and encodes it in canonical form.
//
//   const auto decoded = decode_object(document);
//   if (const auto* object = std::get_if<declared_object>(&decoded)) {
//     const auto canonical = encode_object(*object);
//   }

#ifndef WISTERIAFLOW_OBJECTS_CODEC_H_
#define WISTERIAFLOW_OBJECTS_CODEC_H_

#include <string>
#include <variant>

#include <boost/json/value.hpp>

#include "wisteriaflow/objects/declared_object.h"
#include "wisteriaflow/objects/errors.h"

namespace wisteriaflow::objects {

// An object of a kind or schema that this version of the software does not support. Its spec is not
// read, so that such an object never prevents the others from taking effect.
struct unsupported_object {
  object_metadata metadata;
  std::string kind;
  std::string reason;

  friend bool operator==(const unsupported_object&, const unsupported_object&) = default;
};

// The result of decoding a document.
using decoded_object = std::variant<declared_object, unsupported_object>;

// Decodes one object of the declarations resource. Throws invalid_object_error if the metadata are
// invalid, for example without a name, or if the kind and schema are supported and a field of the
// spec is unknown, missing, of the wrong type or out of range.
[[nodiscard]] decoded_object decode_object(const boost::json::value& document);

// The complete document of `object`, with all fields of its spec. Optional fields without a value
// are omitted.
[[nodiscard]] boost::json::value encode_object(const declared_object& object);

// Decodes only the metadata of a document. Throws invalid_object_error if they are invalid.
[[nodiscard]] object_metadata decode_metadata(const boost::json::value& document);

} // namespace wisteriaflow::objects

#endif // WISTERIAFLOW_OBJECTS_CODEC_H_
