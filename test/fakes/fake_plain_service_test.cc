#include <boost/json/parse.hpp>
#include <gtest/gtest.h>

#include "fakes/fake_plain_service.h"
#include "fakes/run.h"
#include "wisteriaflow/http/errors.h"

namespace wisteriaflow::fakes {
namespace {

class FakePlainServiceTest : public testing::Test {
 protected:
  http::response confirm(const std::string& key)
  {
    return fakes::call(context_, client_, service_.address(),
                       {.method = "POST",
                        .target = "/confirm",
                        .fields = {{"Idempotency-Key", key}},
                        .body = "room 4"});
  }

  boost::asio::io_context context_;
  fake_plain_service service_{context_};
  http::client client_{context_};
};

TEST_F(FakePlainServiceTest, EchoesTheCall)
{
  const boost::json::value expected = {
      {"path", "/confirm"}, {"method", "POST"}, {"body", "room 4"}};
  EXPECT_EQ(boost::json::parse(confirm("k").body), expected);
}

TEST_F(FakePlainServiceTest, CountsRunsByKey)
{
  confirm("k");
  confirm("k");
  confirm("l");
  EXPECT_EQ(service_.runs().at("k"), 2);
  EXPECT_EQ(service_.runs().at("l"), 1);
}

TEST_F(FakePlainServiceTest, CountsARunWhoseAnswerIsLost)
{
  service_.set({{"lose_answers", 1}});
  EXPECT_THROW(confirm("k"), http::broken_exchange_error);
  EXPECT_EQ(service_.runs().at("k"), 1);
}

} // namespace
} // namespace wisteriaflow::fakes
