// Operations on the platform's object API (the store) and their results.
//
// Objects are JSON documents, identified by the plural of their kind and their name. Each object
// has a version, and writes can be conditional on it.

#ifndef WISTERIAFLOW_CORE_STORE_H_
#define WISTERIAFLOW_CORE_STORE_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include <boost/json/value.hpp>

#include "wisteriaflow/base/time.h"

namespace wisteriaflow::core {

// Matches a store_answer with its call_store.
using store_call_number = std::uint64_t;

struct store_list {
  std::string plural;
};

struct store_get {
  std::string plural;
  std::string name;
};

// Creates an object. Fails with `conflict` if the name exists.
struct store_create {
  std::string plural;
  boost::json::value document;
};

// Replaces an object. Fails with `conflict` if its version is not the one in `document`.
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

// Result of a call. After `unavailable`, a write may have taken effect or may still do so. After
// `not_sent`, it has not and will not.
enum class store_status { ok, conflict, not_found, rejected, not_sent, unavailable };

// An object as stored.
struct store_object {
  std::string name;
  std::uint64_t version = 0;
  boost::json::value document;
};

// The event that ends a call_store.
struct store_answer {
  store_call_number call = 0;
  store_status status = store_status::unavailable;
  std::vector<store_object> objects; // one for get, create and replace
  std::uint64_t list_version = 0;
};

} // namespace wisteriaflow::core

#endif // WISTERIAFLOW_CORE_STORE_H_
