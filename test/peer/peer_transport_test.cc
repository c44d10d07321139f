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
#include "wisteriaflow/peer/peer_transport.h"

namespace wisteriaflow::peer {
namespace {

constexpr int concurrent_calls = 200;
constexpr std::chrono::milliseconds call_deadline{200};
constexpr int rounds = 20;
// Far longer than a stop takes; reached only by a stop that hangs.
constexpr std::chrono::seconds hang_timeout{20};

// A call from a peer. Its state lives until gRPC has called back.
struct pending_call {
  grpc::ClientContext context;
  v1::GossipMessage request;
  v1::GossipMessage reply;
};

// Peers that call one address without pause: `concurrent_calls` calls are open at any time, and
// each is followed by the next as soon as it ends. Their calls end when the peer_transport ends,
// which then refuses connections.
class busy_peers {
 public:
  explicit busy_peers(const std::string& address)
      : stub_(v1::Peer::NewStub(grpc::CreateChannel(address, grpc::InsecureChannelCredentials())))
  {
    for (int i = 0; i < concurrent_calls; ++i) {
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
                             // The channel must not be closed by its own callback.
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

// Stops `transport` on a separate thread, so that a stop that hangs fails the test instead of the
// whole run.
bool stops_in_time(const std::shared_ptr<peer_transport>& transport)
{
  std::promise<void> done;
  auto stopped = done.get_future();
  std::thread([transport, done = std::move(done)]() mutable {
    transport->stop();
    done.set_value();
  }).detach();
  return stopped.wait_for(hang_timeout) == std::future_status::ready;
}

std::shared_ptr<peer_transport>
start_peer_transport(const std::shared_ptr<daemon::event_ring>& events)
{
  const peer_transport_options options{.listen = {.host = "127.0.0.1", .port = 0}};
  auto transport = std::make_shared<peer_transport>(options, events);
  transport->start();
  return transport;
}

std::shared_ptr<daemon::event_ring> make_event_ring()
{
  return std::make_shared<daemon::event_ring>(daemon::event_ring_capacity);
}

TEST(PeerTransportTest, StopsWhileItsOwnCallsWait)
{
  for (int round = 0; round < rounds; ++round) {
    const auto events = make_event_ring();
    const auto unresponsive = start_peer_transport(events);
    auto caller = start_peer_transport(make_event_ring());
    caller->ring()->try_push(core::send_to_peer{
        .to = unresponsive->address(),
        .message = membership::gossip_message(),
        .deadline = std::chrono::steady_clock::now() + hang_timeout,
    });
    events->wait_pop_all(std::chrono::steady_clock::now() + hang_timeout);
    ASSERT_TRUE(stops_in_time(caller)) << "hangs in round " << round;
    caller.reset();
    ASSERT_TRUE(stops_in_time(unresponsive)) << "hangs in round " << round;
  }
}

TEST(PeerTransportTest, StopsWhilePeersGoOnCalling)
{
  for (int round = 0; round < rounds; ++round) {
    const auto events = make_event_ring();
    const auto transport = start_peer_transport(events);
    const busy_peers peers(to_string(transport->address()));
    events->wait_pop_all(std::chrono::steady_clock::now() + hang_timeout);
    ASSERT_TRUE(stops_in_time(transport)) << "hangs in round " << round;
  }
}

} // namespace
} // namespace wisteriaflow::peer
