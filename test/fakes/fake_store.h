// The platform's store as far as the gateway uses it: objects by kind and name at one revision
// counter, lists, watches that return at once, conditional writes.

#ifndef WISTERIAFLOW_TEST_FAKES_FAKE_STORE_H_
#define WISTERIAFLOW_TEST_FAKES_FAKE_STORE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json/value.hpp>

#include "fakes/fake_server.h"

namespace wisteriaflow::fakes {

class fake_store final : public fake_server {
 public:
  explicit fake_store(boost::asio::io_context& context)
      : fake_server(context, 0), content_(std::make_shared<content>())
  {
  }

  // Another way to the content of `same`, which can be away by itself: the platform's store may
  // turn some daemons away and serve the others.
  fake_store(boost::asio::io_context& context, const fake_store& same)
      : fake_server(context, 0), content_(same.content_)
  {
  }

  // Writes an object as the operator or an endpoint does.
  void put(const std::string& kind, const std::string& name, boost::json::value spec);
  void erase(const std::string& kind, const std::string& name);

  // The object's status; null if there is none.
  [[nodiscard]] boost::json::value status(const std::string& kind, const std::string& name) const;

  // The object's content; null if there is none.
  [[nodiscard]] boost::json::value get(const std::string& kind, const std::string& name) const;

  // While set, every call is answered 503.
  bool away = false;
  // Objects in one page of a list, and changes in one answer to a watch.
  std::size_t page_size = 1'000;
  // Lists that may be stale tell what is there now, whatever changes afterwards.
  void freeze_stale_lists();
  // The next calls for lists that are answered 429, and those that were answered.
  std::vector<bool> refused_lists; // by call; true: refused
  std::size_t lists = 0;

 private:
  struct object {
    std::uint64_t revision = 0;
    boost::json::value spec;
    bool deleted = false;
    std::uint64_t created = 0; // revision
    boost::json::value status = nullptr;
  };

  boost::asio::awaitable<void> serve(fake_request received, http::response_writer& w) override;
  fake_reply answer(const fake_request& received);
  fake_reply list(const std::string& kind, const std::string& after, bool stale);
  fake_reply changes(const std::string& kind, std::uint64_t after);
  fake_reply create(const std::string& kind, const boost::json::value& body);
  fake_reply replace(const std::string& kind, const std::string& name,
                     const boost::json::value& body);
  fake_reply replace_status(const std::string& kind, const std::string& name,
                            const boost::json::value& body);
  static boost::json::value render(const std::string& name, const object& o);

  struct content {
    std::map<std::string, std::map<std::string, object>> kinds;
    std::uint64_t revision = 0;
  };

  std::shared_ptr<content> content_;
  std::optional<content> stale_;
};

} // namespace wisteriaflow::fakes

#endif // WISTERIAFLOW_TEST_FAKES_FAKE_STORE_H_
