#include <atomic>
#include <chrono>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <utility>

#include <grpcpp/grpcpp.h>
#include <gtest/gtest.h>

#include "peer.grpc.pb.h"
#include "wisteriaflow/peer/peer_side.h"

namespace wisteriaflow::peer {
namespace {

constexpr int calls_waiting = 200;
constexpr std::chrono::milliseconds call_deadline{200};
constexpr int rounds = 20;
// Far above what a stop takes; only a stop that hangs reaches it.
constexpr std::chrono::seconds hang_limit{20};

// A call of a peer. Its state lives until gRPC has called back.
struct pending_call {
  grpc::ClientContext context;
  v1::GossipMessage request;
  v1::GossipMessage reply;
};

// Peers that call one address without pause: each keeps calls waiting and sends the next as soon
// as one ends. They end with the side, which then refuses connections.
class busy_peers {
 public:
  explicit busy_peers(const std::string& address)
      : stub_(v1::Peer::NewStub(grpc::CreateChannel(address, grpc::InsecureChannelCredentials())))
  {
    for (int i = 0; i < calls_waiting; ++i) {
      call();
    }
  }
  ~busy_peers()
  {
    stopping_ = true;
    while (waiting_ > 0) {
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
  }
  busy_peers(const busy_peers&) = delete;
  busy_peers& operator=(const busy_peers&) = delete;

 private:
  void call()
  {
    ++waiting_;
    auto state = std::make_shared<pending_call>();
    state->context.set_deadline(std::chrono::system_clock::now() + call_deadline);
    stub_->async()->Gossip(&state->context, &state->request, &state->reply,
                           [this, state](const grpc::Status&) mutable {
                             // The channel must not be closed by a callback of its own.
                             state.reset();
                             if (!stopping_) {
                               call();
                             }
                             --waiting_;
                           });
  }

  std::unique_ptr<v1::Peer::Stub> stub_;
  std::atomic<bool> stopping_ = false;
  std::atomic<int> waiting_ = 0;
};

// Stops `side` on a thread of its own, so that a stop that hangs fails the test and not the run.
bool stops(const std::shared_ptr<peer_side>& side)
{
  std::promise<void> done;
  auto stopped = done.get_future();
  std::thread([side, done = std::move(done)]() mutable {
    side->stop();
    done.set_value();
  }).detach();
  return stopped.wait_for(hang_limit) == std::future_status::ready;
}

std::shared_ptr<peer_side> make_side(const std::shared_ptr<daemon::event_ring>& events)
{
  const peer_side_options options{.listen = {.host = "127.0.0.1", .port = 0}};
  auto side = std::make_shared<peer_side>(options, events);
  side->start();
  return side;
}

std::shared_ptr<daemon::event_ring> make_events()
{
  return std::make_shared<daemon::event_ring>(daemon::event_ring_capacity);
}

TEST(PeerSideTest, StopsWhileItsOwnCallsWait)
{
  for (int round = 0; round < rounds; ++round) {
    const auto events = make_events();
    const auto silent = make_side(events);
    auto caller = make_side(make_events());
    caller->ring()->try_push(core::send_to_peer{
        .to = silent->address(),
        .message = membership::gossip_message(),
        .deadline = std::chrono::steady_clock::now() + hang_limit,
    });
    events->wait_pop_all(std::chrono::steady_clock::now() + hang_limit);
    ASSERT_TRUE(stops(caller)) << "hangs in round " << round;
    caller.reset();
    ASSERT_TRUE(stops(silent)) << "hangs in round " << round;
  }
}

TEST(PeerSideTest, StopsWhilePeersGoOnCalling)
{
  for (int round = 0; round < rounds; ++round) {
    const auto events = make_events();
    const auto side = make_side(events);
    const busy_peers peers(to_string(side->address()));
    events->wait_pop_all(std::chrono::steady_clock::now() + hang_limit);
    ASSERT_TRUE(stops(side)) << "hangs in round " << round;
  }
}

} // namespace
} // namespace wisteriaflow::peer
