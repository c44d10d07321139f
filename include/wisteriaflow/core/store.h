// What the core asks of the platform's object API, and what it is told.

#ifndef WISTERIAFLOW_CORE_STORE_H_
#define WISTERIAFLOW_CORE_STORE_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include <boost/json/value.hpp>

#include "wisteriaflow/base/time.h"

namespace wisteriaflow::core {

// Number that ties an answer to its call.
using store_call_number = std::uint64_t;

struct store_list {
  std::string plural;
};

struct store_get {
  std::string plural;
  std::string name;
};

// Creates `document` if its name is free.
struct store_create {
  std::string plural;
  boost::json::value document;
};

// Replaces the object if its version is the one in `document`.
struct store_replace {
  std::string plural;
  boost::json::value document;
};

struct store_remove {
  std::string plural;
  std::string name;
};

using store_operation =
    std::variant<store_list, store_get, store_create, store_replace, store_remove>;

// How a call ended. After `unavailable` a write may have taken effect; after `not_sent` it surely
// has not and will not.
enum class store_status { ok, conflict, not_found, rejected, not_sent, unavailable };

// One object as the store holds it.
struct store_object {
  std::string name;
  std::uint64_t version = 0;
  boost::json::value document;
};

// Tells the core how a call ended.
struct store_answer {
  store_call_number call = 0;
  store_status status = store_status::unavailable;
  std::vector<store_object> objects; // one for get, create and replace
  std::uint64_t list_version = 0;
};

} // namespace wisteriaflow::core

#endif // WISTERIAFLOW_CORE_STORE_H_
