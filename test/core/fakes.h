// In-memory fakes of the object API and of an endpoint, for core_fleet.

#ifndef WISTERIAFLOW_TEST_CORE_FAKES_H_
#define WISTERIAFLOW_TEST_CORE_FAKES_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <variant>

#include <boost/json/object.hpp>

#include "wisteriaflow/base/time.h"
#include "wisteriaflow/core/store.h"
#include "wisteriaflow/http/message.h"

namespace wisteriaflow::core {

// A fake object API with versions and conditional writes. With `unconditional_writes`, conditions
// are ignored. This is the negative control, in which a key can run twice.
class memory_store {
 public:
  explicit memory_store(bool unconditional_writes) : unconditional_writes_(unconditional_writes) {}

  [[nodiscard]] store_answer apply(const store_operation& operation)
  {
    return std::visit([this](const auto& o) { return run(o); }, operation);
  }

  [[nodiscard]] std::uint64_t version() const { return version_; }

 private:
  using named_objects = std::map<std::string, store_object>;

  static std::string name_in(const boost::json::value& document)
  {
    return std::string(document.at("metadata").at("name").as_string());
  }

  store_answer run(const store_list& o)
  {
    store_answer out{.status = store_status::ok, .list_version = version_};
    for (const auto& [name, object] : objects_[o.plural]) {
      out.objects.push_back(object);
    }
    return out;
  }

  store_answer run(const store_get& o)
  {
    const auto it = objects_[o.plural].find(o.name);
    if (it == objects_[o.plural].end()) {
      return {.status = store_status::not_found};
    }
    return {.status = store_status::ok, .objects = {it->second}};
  }

  store_answer run(const store_create& o)
  {
    if (!unconditional_writes_ && objects_[o.plural].contains(name_in(o.document))) {
      return {.status = store_status::conflict};
    }
    return put(o.plural, o.document);
  }

  store_answer run(const store_replace& o)
  {
    const auto it = objects_[o.plural].find(name_in(o.document));
    if (it == objects_[o.plural].end()) {
      return {.status = store_status::not_found};
    }
    const auto* expected = o.document.at("metadata").as_object().if_contains("resourceVersion");
    const bool current =
        expected == nullptr || expected->as_string() == std::to_string(it->second.version);
    return current || unconditional_writes_ ? put(o.plural, o.document)
                                            : store_answer{.status = store_status::conflict};
  }

  store_answer run(const store_remove& o)
  {
    const auto erased = objects_[o.plural].erase(o.name);
    version_ += erased;
    return {.status = erased > 0 ? store_status::ok : store_status::not_found};
  }

  store_answer put(const std::string& plural, boost::json::value document)
  {
    const auto name = name_in(document);
    ++version_;
    document.at("metadata").as_object()["resourceVersion"] = std::to_string(version_);
    const store_object object{.name = name, .version = version_, .document = std::move(document)};
    objects_[plural].insert_or_assign(name, object);
    return {.status = store_status::ok, .objects = {object}};
  }

  bool unconditional_writes_;
  std::uint64_t version_ = 0;
  std::map<std::string, named_objects> objects_;
};

// A model engine or an instance of the plain service.
struct fake_endpoint {
  std::string id;
  http::socket_address address;
  bool is_engine = true;
  std::chrono::milliseconds token_interval{30};
  bool alive = true;
  mono_time noticed_at = mono_time::max(); // when its reclaim was announced
  mono_time reclaim_at = mono_time::max();
  mono_time listed_until = mono_time::max(); // later than the end: the list lags
  std::map<std::string, std::size_t> runs;   // numbers of the requests that run here, by request id
  std::set<std::string> imported;            // ids of requests whose cache was imported
};

// Returns token `i` of the answer to `prompt`, the same at every engine.
inline std::string token_of(const std::string& prompt, std::uint64_t i)
{
  return "<" + prompt.substr(0, prompt.find(',')) + "/" + std::to_string(i) + "> ";
}

} // namespace wisteriaflow::core

#endif // WISTERIAFLOW_TEST_CORE_FAKES_H_
