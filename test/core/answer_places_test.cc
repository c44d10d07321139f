#include <gtest/gtest.h>

#include "core/answer_places.h"

namespace wisteriaflow::core::internal {
namespace {

using namespace std::chrono_literals;

class AnswerPlacesTest : public testing::Test {
 protected:
  static daemon_core_options options()
  {
    daemon_core_options out;
    out.self = daemon_id("d0");
    out.caller_address = {.host = "10.0.0.1", .port = 80};
    out.peer_address = {.host = "10.0.1.1", .port = 90};
    out.answer_retention = 60s;
    return out;
  }

  // A peer says hello, and is live from then on; callers reach it at `address`.
  void meet(const std::string& id, const std::string& host,
            const std::string& address = "10.0.0.2:80")
  {
    membership::member m;
    m.key = {.kind = membership::member_kind::daemon, .id = id};
    m.incarnation = 1;
    m.attributes_revision = 1;
    m.attributes.peer_address = host + ":90";
    m.attributes.address = address;
    m.attributes.role = "daemon";
    (void)fleet_.on_gossip({.from = daemon_id(id), .members = {m}});
    (void)context_.take_actions();
  }

  // The place notes sent since the last call.
  std::vector<place_note> notes()
  {
    std::vector<place_note> out;
    for (const auto& a : context_.take_actions()) {
      const auto* to_peer = std::get_if<peer_action>(&a);
      const auto* sent = to_peer == nullptr ? nullptr : std::get_if<send_to_peer>(to_peer);
      if (sent != nullptr && std::holds_alternative<place_note>(sent->message)) {
        out.push_back(std::get<place_note>(sent->message));
      }
    }
    return out;
  }

  void pass(std::chrono::milliseconds time)
  {
    const auto then = context_.now();
    context_.set_now({.mono = then.mono + time, .wall = then.wall + time});
  }

  place_note note_of(std::string address)
  {
    return {.key = place_key_of(key_),
            .caller_address = std::move(address),
            .keep_until = context_.now().wall + 60s};
  }

  static fleet_listener silent()
  {
    return {.endpoint_leaving = [](const endpoint_id&, std::optional<wall_time>) {},
            .daemons_changed = [] {},
            .self_leaving = [](std::optional<wall_time>) {},
            .configuration_heard = [](const membership::gossiper::known_configuration&) {}};
  }

  const std::string own_ = "10.0.0.1:80";
  const requests::answer_key key_{.workspace = workspace_id("hotel"), .key = "k"};
  core_context context_{options(), {mono_time{1h}, from_unix_ms(1'800'000'000'000)}};
  fleet fleet_{context_, silent()};
  answer_places places_{context_, fleet_};
};

TEST_F(AnswerPlacesTest, KeepsTheLastPlaceThatItWasTold)
{
  places_.on_note(note_of("10.0.0.2:80"));
  places_.on_note(note_of("10.0.0.3:80"));
  EXPECT_EQ(places_.kept_place(place_key_of(key_)), "10.0.0.3:80");
}

TEST_F(AnswerPlacesTest, TellsTheSameKeyOfTwoWorkspacesApart)
{
  const requests::answer_key other{.workspace = workspace_id("bank"), .key = "k"};
  EXPECT_NE(place_key_of(key_), place_key_of(other));
}

TEST_F(AnswerPlacesTest, ForgetsAPlaceAfterItsDeadline)
{
  places_.on_note(note_of("10.0.0.2:80"));
  pass(61s);
  const requests::answer_key other{.workspace = workspace_id("hotel"), .key = "other"};
  places_.on_note({.key = place_key_of(other), .keep_until = context_.now().wall + 1s});
  EXPECT_EQ(places_.kept_place(place_key_of(key_)), "");
}

TEST_F(AnswerPlacesTest, KeepsAPlaceThatWasToldAgainUntilItsLaterDeadline)
{
  places_.on_note(note_of("10.0.0.2:80"));
  pass(40s);
  places_.on_note(note_of("10.0.0.2:80"));
  pass(40s);
  const requests::answer_key other{.workspace = workspace_id("hotel"), .key = "other"};
  places_.on_note({.key = place_key_of(other), .keep_until = context_.now().wall + 1s});
  EXPECT_EQ(places_.kept_place(place_key_of(key_)), "10.0.0.2:80");
}

TEST_F(AnswerPlacesTest, FindsAPlaceKeptHereAtOnce)
{
  meet("d1", "10.0.1.2");
  places_.on_note(note_of("10.0.0.2:80"));
  std::string found;
  places_.find(key_, [&](const std::string& address) { found = address; });
  EXPECT_EQ(found, "10.0.0.2:80");
}

TEST_F(AnswerPlacesTest, NeverSendsACallerToADaemonThatIsUnknown)
{
  places_.on_note(note_of("10.0.0.2:80"));
  std::string found = "not called";
  places_.find(key_, [&](const std::string& address) { found = address; });
  EXPECT_EQ(found, "");
}

TEST_F(AnswerPlacesTest, FindsNothingWithoutPeers)
{
  std::string found = "not called";
  places_.find(key_, [&](const std::string& address) { found = address; });
  EXPECT_EQ(found, "");
}

TEST_F(AnswerPlacesTest, NeverSendsACallerBackToItself)
{
  places_.on_note(note_of(own_));
  std::string found = "not called";
  places_.find(key_, [&](const std::string& address) { found = address; });
  EXPECT_EQ(found, "");
}

TEST_F(AnswerPlacesTest, AsksAKeeperAndTakesItsWord)
{
  meet("d1", "10.0.1.2");
  std::string found;
  places_.find(key_, [&](const std::string& address) { found = address; });
  for (const auto& a : context_.take_actions()) {
    const peer_response reply = request_status{request_state::in_flight, "10.0.0.2:80"};
    context_.on_peer_answer(std::get<send_to_peer>(std::get<peer_action>(a)).call, &reply);
  }
  EXPECT_EQ(found, "10.0.0.2:80");
}

TEST_F(AnswerPlacesTest, TellsAKeeperThatComesLater)
{
  places_.announce(key_, own_);
  ASSERT_TRUE(notes().empty());
  meet("d1", "10.0.1.2");
  places_.on_daemons_changed();
  const auto told = notes();
  ASSERT_EQ(told.size(), 1U);
  EXPECT_EQ(told.front().caller_address, own_);
}

TEST_F(AnswerPlacesTest, TellsNoKeeperTwice)
{
  meet("d1", "10.0.1.2");
  places_.announce(key_, own_);
  ASSERT_EQ(notes().size(), 1U);
  places_.on_daemons_changed();
  EXPECT_TRUE(notes().empty());
}

TEST_F(AnswerPlacesTest, TellsNoMoreOfAnAnswerThatWasHandedOver)
{
  places_.announce(key_, own_);
  places_.announce(key_, "10.0.0.2:80");
  meet("d1", "10.0.1.2");
  places_.on_daemons_changed();
  EXPECT_TRUE(notes().empty());
}

} // namespace
} // namespace wisteriaflow::core::internal
