// A fake of the part of the platform's store that the gateway uses: objects by kind and name under
// one revision counter, paged lists, conditional writes, and watches that return at once if there
// are changes and otherwise after 20 ms. It can be restored from a copy: revisions then go back and
// are given out again, and a watch from one that the copy does not have is refused.
//
// It reads request targets strictly: names are percent-decoded, "+" in a query is a space, what
// follows a "#" is cut off, and a broken escape is answered 400.
//
//   fake_store store(context);
//   store.put("Service", "echo", {{"timeout_ms", 500}});
//   store.unavailable = true; // every call is answered 503

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

  // A second address of the objects of `same`, with faults of its own: the platform's store may
  // refuse some daemons while it serves the others.
  fake_store(boost::asio::io_context& context, const fake_store& same)
      : fake_server(context, 0), content_(same.content_)
  {
  }

  // Creates or replaces an object without a revision check, as if the operator or an endpoint had
  // written it.
  void put(const std::string& kind, const std::string& name, boost::json::value spec);
  void erase(const std::string& kind, const std::string& name);

  // Returns the status of an object; null without a status or an object.
  [[nodiscard]] boost::json::value status(const std::string& kind, const std::string& name) const;

  // Returns the spec of an object; null without such an object.
  [[nodiscard]] boost::json::value get(const std::string& kind, const std::string& name) const;

  // Time before each answer.
  std::chrono::milliseconds answer_delay{0};
  // While true, every call is answered 503.
  bool unavailable = false;
  // While true, every write is answered 503.
  bool refuses_writes = false;
  // Addresses that callers of this view read for these endpoints in place of the written ones, by
  // entry name: a daemon of its own view has links of its own to the endpoints.
  std::map<std::string, http::socket_address> endpoint_addresses;
  // Maximum number of objects in a page of a list, and of changes in an answer to a watch.
  std::size_t page_size = 1'000;
  // While true, every list begins with the first object, wherever the caller asks it to begin.
  bool ignores_list_position = false;
  // While true, every watch returns all objects of the kind as changes up to the same revision.
  bool repeats_changes = false;
  // Maximum number of objects in a page of a list, if less than `page_size`.
  std::size_t list_page_size = 1'000;
  // Keeps a copy of all objects, and replaces them by it. Objects of the kinds `written_again` are
  // then as before the restore, under new revisions: their writers write them again.
  void back_up() { backup_ = *content_; }
  void restore(const std::vector<std::string>& written_again = {});

  // From now on, lists whose caller accepts stale results show the present objects, whatever
  // changes afterwards.
  void snapshot_for_stale_lists();
  // Which list calls are answered 429, by the number of the call from 0, and the list calls so
  // far, refused ones included.
  std::vector<bool> refused_lists;
  std::size_t list_calls = 0;
  std::size_t watch_calls = 0; // so far

 private:
  struct object {
    std::uint64_t revision = 0;
    boost::json::value spec;
    bool deleted = false;
    std::uint64_t created = 0; // revision of the creation
    boost::json::value status = nullptr;
  };

  boost::asio::awaitable<void> serve(fake_request received, http::response_writer& w) override;
  fake_reply dispatch(const fake_request& received);
  fake_reply list_or_changes(const std::string& kind, const http::headers& query);
  fake_reply list(const std::string& kind, const std::string& after, bool stale);
  fake_reply changes(const std::string& kind, std::uint64_t after);
  fake_reply create(const std::string& kind, const boost::json::value& body);
  fake_reply replace(const std::string& kind, const std::string& name,
                     const boost::json::value& body);
  fake_reply replace_status(const std::string& kind, const std::string& name,
                            const boost::json::value& body);
  [[nodiscard]] boost::json::value render(const std::string& name, const object& o) const;

  struct content {
    std::map<std::string, std::map<std::string, object>> kinds;
    std::uint64_t revision = 0;
    std::uint64_t era = 1; // counts the restores
  };

  std::shared_ptr<content> content_;
  std::optional<content> backup_;
  std::optional<content> stale_snapshot_;
};

} // namespace wisteriaflow::fakes

#endif // WISTERIAFLOW_TEST_FAKES_FAKE_STORE_H_
