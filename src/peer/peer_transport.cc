#include "wisteriaflow/peer/peer_transport.h"

#include <chrono>
#include <condition_variable>
#include <list>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <thread>
#include <utility>

#include <grpcpp/grpcpp.h>
#include <grpcpp/resource_quota.h>

#include "peer.grpc.pb.h"
#include "peer/peer_codec.h"
#include "wisteriaflow/daemon/bounded_ring.h"

namespace wisteriaflow::peer {
namespace {

constexpr int thread_limit = 6; // of gRPC's own threads; its default grows with the number of cores

using deadline_clock = std::chrono::system_clock;

// gRPC deadlines use the wall clock; the core's use the monotonic clock.
deadline_clock::time_point to_grpc(mono_time deadline)
{
  const auto left = deadline - std::chrono::steady_clock::now();
  return deadline_clock::now() + std::chrono::duration_cast<deadline_clock::duration>(left);
}

// The calling peer then tries another daemon.
grpc::Status stopping_status()
{
  return {grpc::StatusCode::UNAVAILABLE, "stopping"};
}

// A peer's call that waits for the core's reply.
struct pending_call {
  grpc::ServerUnaryReactor* reactor = nullptr;
  std::function<void(const core::peer_response&)> write_response; // writes the gRPC response
};

// The calls that wait for a reply, shared by gRPC's threads and the thread of peer_transport.
class pending_calls {
 public:
  // Returns nothing once closed, because the call would never be finished.
  std::optional<core::peer_reply_number> add(pending_call call)
  {
    const std::scoped_lock lock(mutex_);
    if (closed_) {
      return std::nullopt;
    }
    calls_.emplace(++last_, std::move(call));
    return last_;
  }

  // Removes and returns a call; its reactor is null if there is no such call.
  pending_call take(core::peer_reply_number reply)
  {
    const std::scoped_lock lock(mutex_);
    const auto it = calls_.find(reply);
    if (it == calls_.end()) {
      return {};
    }
    auto call = std::move(it->second);
    calls_.erase(it);
    return call;
  }

  // Rejects further calls and returns the pending ones. gRPC's shutdown waits for every call
  // without a time limit, so a call that was added later would keep the process from ending.
  std::map<core::peer_reply_number, pending_call> close()
  {
    const std::scoped_lock lock(mutex_);
    closed_ = true;
    return std::exchange(calls_, {});
  }

 private:
  std::mutex mutex_;
  std::map<core::peer_reply_number, pending_call> calls_;
  core::peer_reply_number last_ = 0;
  bool closed_ = false;
};

// Turns each call into an event for the core.
class service final : public v1::Peer::CallbackService {
 public:
  service(std::shared_ptr<daemon::event_ring> core, pending_calls& waiting)
      : core_(std::move(core)), pending_(waiting)
  {
  }

  grpc::ServerUnaryReactor* Gossip(grpc::CallbackServerContext* context,
                                   const v1::GossipMessage* in, v1::GossipMessage* out) override
  {
    return forward_to_core(context, *in, out);
  }
  grpc::ServerUnaryReactor* Claim(grpc::CallbackServerContext* context, const v1::ClaimRequest* in,
                                  v1::ClaimReply* out) override
  {
    return forward_to_core(context, *in, out);
  }
  grpc::ServerUnaryReactor* QueryRequest(grpc::CallbackServerContext* context,
                                         const v1::RequestQuery* in,
                                         v1::RequestStatus* out) override
  {
    return forward_to_core(context, *in, out);
  }
  grpc::ServerUnaryReactor* HandOver(grpc::CallbackServerContext* context,
                                     const v1::HandedOverRequest* in,
                                     v1::HandOverReply* out) override
  {
    return forward_to_core(context, *in, out);
  }
  grpc::ServerUnaryReactor* GetConfiguration(grpc::CallbackServerContext* context,
                                             const v1::ConfigurationQuery* in,
                                             v1::Configuration* out) override
  {
    return forward_to_core(context, *in, out);
  }
  grpc::ServerUnaryReactor* NotePlace(grpc::CallbackServerContext* context, const v1::PlaceNote* in,
                                      v1::PlaceNoteReply* out) override
  {
    return forward_to_core(context, *in, out);
  }

 private:
  template <typename In, typename Out>
  grpc::ServerUnaryReactor* forward_to_core(grpc::CallbackServerContext* context, const In& in,
                                            Out* out)
  {
    auto* reactor = context->DefaultReactor();
    const auto write_response = [out](const core::peer_response& response) {
      encode(response, *out);
    };
    const auto reply = pending_.add({.reactor = reactor, .write_response = write_response});
    if (!reply) {
      reactor->Finish(stopping_status());
      return reactor;
    }
    core::event received = core::peer_request_received{
        .reply = *reply, .message = decode(in), .bytes = in.ByteSizeLong()};
    if (!core_->try_push(std::move(received)) && pending_.take(*reply).reactor != nullptr) {
      reactor->Finish({grpc::StatusCode::RESOURCE_EXHAUSTED, "the core's ring is full"});
    }
    return reactor;
  }

  std::shared_ptr<daemon::event_ring> core_;
  pending_calls& pending_;
};

// The calls to other daemons whose callback has not finished.
class outgoing_calls {
 public:
  void add(std::shared_ptr<grpc::ClientContext> context)
  {
    const std::scoped_lock lock(mutex_);
    contexts_.insert(std::move(context));
    ++unfinished_;
  }

  // The last step of the callback. `context` must be its last reference to the call.
  void finish(std::shared_ptr<grpc::ClientContext> context)
  {
    {
      const std::scoped_lock lock(mutex_);
      contexts_.erase(context);
    }
    // Not under the lock, since gRPC may run other callbacks in here.
    context.reset();
    const std::scoped_lock lock(mutex_);
    --unfinished_;
    all_finished_.notify_all();
  }

  // Cancels all calls and waits for their callbacks, which follow at once. Otherwise a callback
  // could drop the last reference to a channel. gRPC 1.51 then frees the queue that the callback's
  // own thread reads, and the process aborts at exit.
  void cancel_all()
  {
    for (const auto& each : contexts()) {
      each->TryCancel();
    }
    std::unique_lock lock(mutex_);
    all_finished_.wait(lock, [this] { return unfinished_ == 0; });
  }

 private:
  std::set<std::shared_ptr<grpc::ClientContext>> contexts()
  {
    const std::scoped_lock lock(mutex_);
    return contexts_;
  }

  std::mutex mutex_;
  std::condition_variable all_finished_;
  std::set<std::shared_ptr<grpc::ClientContext>> contexts_;
  int unfinished_ = 0;
};

// Channels to other daemons. The least recently used one is closed first.
class channel_cache {
 public:
  explicit channel_cache(std::size_t limit) : limit_(limit) {}

  std::shared_ptr<v1::Peer::Stub> stub_for(const std::string& address)
  {
    const auto it = by_address_.find(address);
    if (it != by_address_.end()) {
      order_.splice(order_.begin(), order_, it->second);
      return it->second->second;
    }
    if (order_.size() >= limit_) {
      by_address_.erase(order_.back().first);
      order_.pop_back();
    }
    order_.emplace_front(address, make_stub(address));
    by_address_[address] = order_.begin();
    return order_.front().second;
  }

 private:
  using entry = std::pair<std::string, std::shared_ptr<v1::Peer::Stub>>;

  static std::shared_ptr<v1::Peer::Stub> make_stub(const std::string& address)
  {
    constexpr int reconnect_ms = 1'000;
    grpc::ChannelArguments arguments;
    // gRPC's default backoff grows to minutes, which would delay calls to a peer that is available
    // again.
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, reconnect_ms);
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, reconnect_ms / 10);
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    const auto channel =
        grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), arguments);
    return v1::Peer::NewStub(channel);
  }

  std::size_t limit_;
  std::list<entry> order_; // most recently used first
  std::map<std::string, std::list<entry>::iterator> by_address_;
};

} // namespace

class peer_transport::implementation {
 public:
  implementation(peer_transport_options options, std::shared_ptr<daemon::event_ring> core)
      : options_(std::move(options)), core_(std::move(core)), service_(core_, pending_),
        channels_(options_.channel_limit),
        ring_(
            std::make_shared<daemon::bounded_ring<core::peer_action>>(daemon::action_ring_capacity))
  {
    grpc::ServerBuilder builder;
    grpc::ResourceQuota quota("peers");
    quota.SetMaxThreads(thread_limit);
    builder.SetResourceQuota(quota);
    builder.SetMaxReceiveMessageSize(static_cast<int>(options_.message_limit));
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    int port = 0;
    builder.AddListeningPort(to_string(options_.listen), grpc::InsecureServerCredentials(), &port);
    builder.RegisterService(&service_);
    server_ = builder.BuildAndStart();
    if (!server_ || port == 0) {
      throw peer_error("cannot listen on " + to_string(options_.listen));
    }
    address_ = {.host = options_.listen.host, .port = static_cast<std::uint16_t>(port)};
  }

  ~implementation() { stop(); }
  implementation(const implementation&) = delete;
  implementation& operator=(const implementation&) = delete;

  void start()
  {
    thread_ = std::thread([this] { run(); });
  }

  void stop()
  {
    ring_->close();
    if (thread_.joinable()) {
      thread_.join();
    }
    if (!server_) {
      return;
    }
    outgoing_.cancel_all();
    for (auto& [reply, call] : pending_.close()) {
      call.reactor->Finish(stopping_status());
    }
    server_->Shutdown(deadline_clock::now());
    server_.reset();
  }

  [[nodiscard]] const http::socket_address& address() const { return address_; }
  [[nodiscard]] auto ring() const { return ring_; }

 private:
  void run()
  {
    while (!ring_->closed()) {
      for (auto& a : ring_->wait_pop_all(mono_time::max())) {
        std::visit([this](auto& one) { execute(one); }, a);
      }
    }
  }

  void execute(core::reply_to_peer& a)
  {
    auto call = pending_.take(a.reply);
    if (call.reactor == nullptr) {
      return; // failed already
    }
    call.write_response(a.message);
    call.reactor->Finish(grpc::Status::OK);
  }

  void execute(core::send_to_peer& a)
  {
    const auto stub = channels_.stub_for(to_string(a.to));
    std::visit([&](const auto& message) { send(a, message, stub); }, a.message);
  }

  void send(const core::send_to_peer& a, const membership::gossip_message& message,
            const std::shared_ptr<v1::Peer::Stub>& stub)
  {
    call<v1::GossipMessage, v1::GossipMessage>(
        a, message, stub, [](auto* s, auto... arguments) { s->async()->Gossip(arguments...); });
  }
  void send(const core::send_to_peer& a, const claims::claim_request& message,
            const std::shared_ptr<v1::Peer::Stub>& stub)
  {
    call<v1::ClaimRequest, v1::ClaimReply>(
        a, message, stub, [](auto* s, auto... arguments) { s->async()->Claim(arguments...); });
  }
  void send(const core::send_to_peer& a, const core::request_query& message,
            const std::shared_ptr<v1::Peer::Stub>& stub)
  {
    call<v1::RequestQuery, v1::RequestStatus>(a, message, stub, [](auto* s, auto... arguments) {
      s->async()->QueryRequest(arguments...);
    });
  }
  void send(const core::send_to_peer& a, const core::handed_over_request& message,
            const std::shared_ptr<v1::Peer::Stub>& stub)
  {
    call<v1::HandedOverRequest, v1::HandOverReply>(
        a, message, stub, [](auto* s, auto... arguments) { s->async()->HandOver(arguments...); });
  }
  void send(const core::send_to_peer& a, const core::configuration_query& message,
            const std::shared_ptr<v1::Peer::Stub>& stub)
  {
    call<v1::ConfigurationQuery, v1::Configuration>(
        a, message, stub,
        [](auto* s, auto... arguments) { s->async()->GetConfiguration(arguments...); });
  }
  void send(const core::send_to_peer& a, const core::place_note& message,
            const std::shared_ptr<v1::Peer::Stub>& stub)
  {
    call<v1::PlaceNote, v1::PlaceNoteReply>(
        a, message, stub, [](auto* s, auto... arguments) { s->async()->NotePlace(arguments...); });
  }

  // Sends one call; its answer becomes an event for the core. The state lives until gRPC's
  // callback.
  template <typename Request, typename Reply, typename Message, typename Invoke>
  void call(const core::send_to_peer& a, const Message& message,
            const std::shared_ptr<v1::Peer::Stub>& stub, Invoke invoke)
  {
    struct call_state {
      std::shared_ptr<v1::Peer::Stub> stub; // keeps the channel open
      grpc::ClientContext context;
      Request request;
      Reply reply;
    };
    auto state = std::make_shared<call_state>();
    state->stub = stub;
    state->context.set_deadline(to_grpc(a.deadline));
    encode(message, state->request);
    outgoing_.add({state, &state->context});
    auto done = [this, state, number = a.call](const grpc::Status& status) mutable {
      core::event e = core::peer_call_failed{.call = number};
      if (status.ok()) {
        e = core::peer_response_received{
            .call = number, .message = decode(state->reply), .bytes = state->reply.ByteSizeLong()};
      }
      // If the ring is full the answer is lost, which the core handles anyway: its own deadline for
      // the call passes.
      core_->try_push(std::move(e));
      auto* context = &state->context;
      outgoing_.finish({std::move(state), context});
    };
    auto* sent = state.get();
    state.reset();
    invoke(sent->stub.get(), &sent->context, &sent->request, &sent->reply,
           std::function<void(grpc::Status)>(std::move(done)));
  }

  peer_transport_options options_;
  std::shared_ptr<daemon::event_ring> core_;
  pending_calls pending_;
  service service_;
  channel_cache channels_;
  outgoing_calls outgoing_;
  std::shared_ptr<daemon::bounded_ring<core::peer_action>> ring_;
  std::unique_ptr<grpc::Server> server_;
  http::socket_address address_;
  std::thread thread_;
};

peer_transport::peer_transport(peer_transport_options options,
                               std::shared_ptr<daemon::event_ring> core)
    : implementation_(std::make_unique<implementation>(std::move(options), std::move(core)))
{
}

peer_transport::~peer_transport() = default;

void peer_transport::start()
{
  implementation_->start();
}

void peer_transport::stop()
{
  implementation_->stop();
}

http::socket_address peer_transport::address() const
{
  return implementation_->address();
}

std::shared_ptr<daemon::bounded_ring<core::peer_action>> peer_transport::ring() const
{
  return implementation_->ring();
}

} // namespace wisteriaflow::peer
