// Test fixture with a fake object API and clients of it.

#ifndef WISTERIAFLOW_TEST_PLATFORM_OPERATOR_FIXTURE_H_
#define WISTERIAFLOW_TEST_PLATFORM_OPERATOR_FIXTURE_H_

#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include <boost/json/parse.hpp>
#include <gtest/gtest.h>

#include "fakes/fake_object_api.h"
#include "fakes/run.h"
#include "wisteriaflow/platform/object_api.h"
#include "wisteriaflow/platform/operator_commands.h"

namespace wisteriaflow::platform {

class object_api_fixture : public testing::Test {
 protected:
  // Runs the event loop until `task` ends, and returns its result.
  template <typename result> result await(boost::asio::awaitable<result> task)
  {
    std::optional<result> out;
    fakes::run(context_, store_result(std::move(task), out));
    return std::move(*out);
  }

  void await(boost::asio::awaitable<void> task) { fakes::run(context_, std::move(task)); }

  void set_faults(std::string_view changes)
  {
    fake_.set_faults(boost::json::parse({changes.data(), changes.size()}));
  }

  [[nodiscard]] operator_commands commands_of(std::string who)
  {
    return {
        api_,
        {.author = {.name = std::move(who), .cause = "test"}, .deadline = fakes::far_deadline()}};
  }

  // Creates a workspace directly in the object API and returns its version.
  std::uint64_t given_workspace(const std::string& name, std::string_view labels = "{}")
  {
    auto document = make_document("Workspace", name, boost::json::object{});
    document.at("metadata").as_object()["labels"] =
        boost::json::parse({labels.data(), labels.size()});
    return await(api_.create("declarations", document, fakes::far_deadline())).version;
  }

  stored_object stored(const std::string& name)
  {
    return await(api_.get("declarations", name, fakes::far_deadline()));
  }

  boost::asio::io_context context_;
  fakes::fake_object_api fake_{context_};
  http::client client_{context_};
  object_api api_{client_, fake_.address()};

 private:
  template <typename result>
  static boost::asio::awaitable<void> store_result(boost::asio::awaitable<result> task,
                                                   std::optional<result>& out)
  {
    out = co_await std::move(task);
  }
};

} // namespace wisteriaflow::platform

#endif // WISTERIAFLOW_TEST_PLATFORM_OPERATOR_FIXTURE_H_
