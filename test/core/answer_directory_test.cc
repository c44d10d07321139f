#include <gtest/gtest.h>

#include "core/answer_directory.h"

namespace wisteriaflow::core::internal {
namespace {

using namespace std::chrono_literals;

class AnswerDirectoryTest : public testing::Test {
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

  // Makes a peer live by a gossip message from it. Callers reach it at `address`.
  void add_live_peer(const std::string& id, const std::string& host,
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

  // Returns the place notes that were sent since the last call.
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

  void advance(std::chrono::milliseconds time)
  {
    const auto then = context_.now();
    context_.set_now({.mono = then.mono + time, .wall = then.wall + time});
  }

  place_note note_of(std::string address)
  {
    return {.key = directory_key_of(key_),
            .caller_address = std::move(address),
            .keep_until = context_.now().wall + 60s};
  }

  static fleet_listener silent()
  {
    return {.endpoint_leaving = [](const endpoint_id&, std::optional<wall_time>) {},
            .daemons_changed = [] {},
            .self_reclaimed = [](std::optional<wall_time>) {},
            .peer_configuration_received = [](const membership::gossiper::known_configuration&) {}};
  }

  const std::string own_ = "10.0.0.1:80";
  const requests::answer_key key_{.workspace = workspace_id("hotel"), .key = "k"};
  core_context context_{options(), {mono_time{1h}, from_unix_ms(1'800'000'000'000)}};
  fleet fleet_{context_, silent()};
  answer_directory directory_{context_, fleet_};
};

TEST_F(AnswerDirectoryTest, StoresTheMostRecentlyPublishedAddress)
{
  directory_.on_note(note_of("10.0.0.2:80"));
  directory_.on_note(note_of("10.0.0.3:80"));
  EXPECT_EQ(directory_.stored_address(directory_key_of(key_)), "10.0.0.3:80");
}

TEST_F(AnswerDirectoryTest, SeparatesEqualKeysOfDifferentWorkspaces)
{
  const requests::answer_key other{.workspace = workspace_id("bank"), .key = "k"};
  EXPECT_NE(directory_key_of(key_), directory_key_of(other));
}

TEST_F(AnswerDirectoryTest, DropsAnAddressAfterItExpires)
{
  directory_.on_note(note_of("10.0.0.2:80"));
  advance(61s);
  const requests::answer_key other{.workspace = workspace_id("hotel"), .key = "other"};
  directory_.on_note({.key = directory_key_of(other), .keep_until = context_.now().wall + 1s});
  EXPECT_EQ(directory_.stored_address(directory_key_of(key_)), "");
}

TEST_F(AnswerDirectoryTest, KeepsARepublishedAddressUntilItsLaterExpiry)
{
  directory_.on_note(note_of("10.0.0.2:80"));
  advance(40s);
  directory_.on_note(note_of("10.0.0.2:80"));
  advance(40s);
  const requests::answer_key other{.workspace = workspace_id("hotel"), .key = "other"};
  directory_.on_note({.key = directory_key_of(other), .keep_until = context_.now().wall + 1s});
  EXPECT_EQ(directory_.stored_address(directory_key_of(key_)), "10.0.0.2:80");
}

TEST_F(AnswerDirectoryTest, FindsALocallyStoredAddressImmediately)
{
  add_live_peer("d1", "10.0.1.2");
  directory_.on_note(note_of("10.0.0.2:80"));
  std::string found;
  directory_.find(key_, [&](const std::string& address) { found = address; });
  EXPECT_EQ(found, "10.0.0.2:80");
}

TEST_F(AnswerDirectoryTest, DoesNotReturnTheAddressOfAnUnknownDaemon)
{
  directory_.on_note(note_of("10.0.0.2:80"));
  std::string found = "not called";
  directory_.find(key_, [&](const std::string& address) { found = address; });
  EXPECT_EQ(found, "");
}

TEST_F(AnswerDirectoryTest, FindsNothingWithoutPeers)
{
  std::string found = "not called";
  directory_.find(key_, [&](const std::string& address) { found = address; });
  EXPECT_EQ(found, "");
}

TEST_F(AnswerDirectoryTest, DoesNotReturnItsOwnAddress)
{
  directory_.on_note(note_of(own_));
  std::string found = "not called";
  directory_.find(key_, [&](const std::string& address) { found = address; });
  EXPECT_EQ(found, "");
}

TEST_F(AnswerDirectoryTest, ReturnsTheAddressThatAReplicaReports)
{
  add_live_peer("d1", "10.0.1.2");
  std::string found;
  directory_.find(key_, [&](const std::string& address) { found = address; });
  for (const auto& a : context_.take_actions()) {
    const peer_response reply = request_status{request_state::in_flight, "10.0.0.2:80"};
    context_.on_peer_answer(std::get<send_to_peer>(std::get<peer_action>(a)).call, &reply);
  }
  EXPECT_EQ(found, "10.0.0.2:80");
}

TEST_F(AnswerDirectoryTest, SendsANoteToAReplicaThatJoinsLater)
{
  directory_.publish(key_, own_);
  ASSERT_TRUE(notes().empty());
  add_live_peer("d1", "10.0.1.2");
  directory_.on_daemons_changed();
  const auto sent = notes();
  ASSERT_EQ(sent.size(), 1U);
  EXPECT_EQ(sent.front().caller_address, own_);
}

TEST_F(AnswerDirectoryTest, SendsEachReplicaOnlyOneNote)
{
  add_live_peer("d1", "10.0.1.2");
  directory_.publish(key_, own_);
  ASSERT_EQ(notes().size(), 1U);
  directory_.on_daemons_changed();
  EXPECT_TRUE(notes().empty());
}

TEST_F(AnswerDirectoryTest, SendsNoNotesForAnAnswerThatWasHandedOver)
{
  directory_.publish(key_, own_);
  directory_.publish(key_, "10.0.0.2:80");
  add_live_peer("d1", "10.0.1.2");
  directory_.on_daemons_changed();
  EXPECT_TRUE(notes().empty());
}

} // namespace
} // namespace wisteriaflow::core::internal
