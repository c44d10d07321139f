#include "core/fleet.h"

#include <algorithm>
#include <utility>

#include "core/fleet_addresses.h"
#include "core/platform_documents.h"
#include "wisteriaflow/base/hash.h"

namespace wisteriaflow::core::internal {
namespace {

using membership::member;
using membership::member_kind;
using membership::member_state;

constexpr std::string_view registrations = "daemons";
constexpr std::chrono::milliseconds view_tick_period{500};
constexpr std::chrono::milliseconds registration_retry{2'000};
constexpr std::chrono::milliseconds daemons_list_period{60'000};
constexpr std::chrono::milliseconds isolated_list_period{2'000};

membership::view_options view_options_of(const daemon_core_options& o, clock_reading now)
{
  membership::view_options out;
  out.self = o.self;
  out.incarnation = static_cast<std::uint64_t>(to_unix_ms(now.wall));
  out.self_attributes.peer_address = to_string(o.peer_address);
  out.self_attributes.address = to_string(o.caller_address);
  out.self_attributes.zone = o.zone;
  out.self_attributes.role = "daemon";
  out.heartbeat_period = o.suspect_after / 5;
  out.suspected_after = o.suspect_after;
  out.gone_after = o.gone_after;
  return out;
}

membership::gossip_options gossip_options_of(const daemon_core_options& o)
{
  membership::gossip_options out;
  out.period = o.gossip_period;
  out.fanout = o.gossip_fanout;
  out.seed = o.seed;
  out.usage.self = o.self;
  out.usage.zone = o.zone;
  return out;
}

} // namespace

fleet::fleet(core_context& context, fleet_listener listener)
    : context_(context), listener_(std::move(listener)),
      view_(view_options_of(context.options(), context.now()), context.now()),
      gossiper_(gossip_options_of(context.options()), view_, context.now()), endpoints_({}),
      prefixes_({}), configuration_(std::make_shared<objects::fleet_configuration>()),
      started_at_(context.now().mono), update_due_(context.now().mono)
{
}

void fleet::start()
{
  register_self();
  list_daemons();
  for (const auto& seed : context_.options().seeds) {
    send_initial_gossip(seed);
  }
  context_.run_every(view_tick_period, [this] {
    view_.tick(context_.now());
    apply_view_changes();
  });
  context_.run_every(context_.options().load_period, [this] { poll_loads(); });
  gossip_now();
}

void fleet::deregister(std::optional<wall_time> reclaim_at)
{
  if (leaving_) {
    return;
  }
  leaving_ = true;
  view_.mark_leaving(view_.self().key, reclaim_at, context_.now());
  apply_view_changes();
  gossip_now();
  context_.call_store(
      store_remove{.plural = std::string(registrations), .name = context_.options().self.value()},
      [](const store_answer&) {});
}

// Daemons that know no peer yet, or that were separated by a network partition, find each other
// through their registrations in the store.
void fleet::register_self()
{
  if (leaving_) {
    return;
  }
  const auto name = context_.options().self.value();
  const auto write = [this, name](std::uint64_t version) {
    boost::json::object metadata{{"name", name}};
    if (version != 0) {
      metadata["resourceVersion"] = std::to_string(version);
    }
    boost::json::value document = boost::json::object{{"apiVersion", "wisteriaflow.dev/v1"},
                                                      {"kind", "Daemon"},
                                                      {"metadata", metadata},
                                                      {"spec", make_registration(view_.self())}};
    store_operation operation = store_create{std::string(registrations), document};
    if (version != 0) {
      operation = store_replace{std::string(registrations), document};
    }
    context_.call_store(std::move(operation), [this](const store_answer& answer) {
      if (answer.status != store_status::ok) {
        context_.timers().schedule(context_.jittered_time(registration_retry),
                                   [this] { register_self(); });
      }
    });
  };
  context_.call_store(store_get{std::string(registrations), name},
                      [this, write](const store_answer& answer) {
                        if (answer.status == store_status::ok) {
                          write(answer.objects.front().version);
                        } else if (answer.status == store_status::not_found) {
                          write(0);
                        } else {
                          context_.timers().schedule(context_.jittered_time(registration_retry),
                                                     [this] { register_self(); });
                        }
                      });
}

// Lists the registered daemons: frequently while no peer is known, rarely afterwards, to reconnect
// groups of daemons that have removed each other from their views.
void fleet::list_daemons()
{
  context_.call_store(store_list{std::string(registrations)},
                      [this](const store_answer& answer) { on_daemons_listed(answer); });
  const bool lonely = view_.live_daemons().size() < 2;
  const auto period = lonely ? isolated_list_period : daemons_list_period;
  context_.timers().schedule(context_.jittered_time(period) + period / 2,
                             [this] { list_daemons(); });
}

void fleet::on_daemons_listed(const store_answer& answer)
{
  if (answer.status != store_status::ok) {
    return;
  }
  for (const auto& object : answer.objects) {
    const auto registered = read_registration(object.document);
    if (!registered || registered->key == view_.self().key) {
      continue;
    }
    const auto* known = view_.find(registered->key);
    const bool is_new = known == nullptr || known->incarnation < registered->incarnation;
    if (is_new || known->state == member_state::gone) {
      if (const auto to = parse_address(registered->attributes.peer_address)) {
        send_initial_gossip(*to);
      }
    }
    if (!is_new && known->state == member_state::gone) {
      remove_stale_registration(*registered);
    }
  }
}

// Deletes the registration of a daemon that is gone, if this daemon ranks first for it by
// rendezvous hashing. If the daemon was alive after all, peers still know it, and it registers
// again at its next start.
void fleet::remove_stale_registration(const member& registered)
{
  const auto key = hash64_of(registered.key.id);
  std::string best;
  std::uint64_t best_score = 0;
  for (const auto* m : view_.live_daemons()) {
    const auto score = rendezvous_score(key, m->key.id);
    if (best.empty() || score > best_score) {
      best = m->key.id;
      best_score = score;
    }
  }
  if (best == view_.self().key.id) {
    context_.call_store(store_remove{std::string(registrations), registered.key.id},
                        [](const store_answer&) {});
  }
}

// Sends gossip to an address whose daemon may be unknown. The reply contains its view.
void fleet::send_initial_gossip(const http::socket_address& to)
{
  if (to == context_.options().peer_address) {
    return;
  }
  membership::outgoing_gossip hello;
  hello.peer_address = to_string(to);
  hello.message.from = context_.options().self;
  hello.message.members.push_back(view_.self());
  // From the hashes the peer determines which members are unknown here and includes them in its
  // reply.
  hello.message.view_version = view_.version();
  hello.message.view_hash = view_.hash();
  hello.message.view_buckets = {view_.buckets().begin(), view_.buckets().end()};
  hello.message.configuration_revision = configuration_->revision();
  send({std::move(hello)});
}

void fleet::send(std::vector<membership::outgoing_gossip> messages)
{
  for (auto& m : messages) {
    const auto to = parse_address(m.peer_address);
    if (!to) {
      continue;
    }
    context_.counters().count("gossip_messages_total", {{"direction", "sent"}});
    peer_request message = m.message;
    m.message = {};
    context_.call_peer(*to, std::move(message),
                       [this, m](const peer_response* response) { on_gossip_reply(m, response); });
  }
}

void fleet::on_gossip_reply(const membership::outgoing_gossip& sent, const peer_response* response)
{
  const auto* reply =
      response == nullptr ? nullptr : std::get_if<membership::gossip_message>(response);
  if (reply == nullptr) {
    if (!sent.to.empty()) {
      gossiper_.send_failed(sent.to, context_.now());
    }
    return;
  }
  send(gossiper_.receive_reply(*reply, context_.now()));
  forward_configuration_revision(*reply);
  apply_view_changes();
}

membership::gossip_message fleet::on_gossip(const membership::gossip_message& message)
{
  context_.counters().count("gossip_messages_total", {{"direction", "received"}});
  auto response = gossiper_.receive(message, context_.now());
  send(std::move(response.pushes));
  forward_configuration_revision(message);
  apply_view_changes();
  return std::move(response.reply);
}

void fleet::gossip_now()
{
  context_.timers().cancel(gossip_timer_);
  send(gossiper_.tick(context_.now()));
  gossip_timer_ = context_.timers().schedule(gossiper_.next_due(), [this] { gossip_now(); });
}

// Passes on each peer's revision, not only one above this daemon's own: a daemon may serve once a
// peer has confirmed that the store's list was not stale.
void fleet::forward_configuration_revision(const membership::gossip_message& message)
{
  if (message.configuration_revision > 0) {
    listener_.peer_configuration_received({.revision = message.configuration_revision,
                                           .floor = message.configuration_floor,
                                           .holder = message.from});
  }
}

void fleet::on_instances(const boost::json::value& document)
{
  auto list = read_instance_list(document);
  if (list.unreadable > 0) {
    context_.counters().count("instance_list_unreadable_total", {},
                              static_cast<double>(list.unreadable));
  }
  const auto* root = document.if_object();
  if (root == nullptr || !root->contains("instances")) {
    return; // An unreadable document does not show which instances are missing.
  }
  view_.apply_list(list.endpoints, context_.now());
  apply_view_changes();
}

void fleet::on_notices(const boost::json::value& document)
{
  for (const auto& notice : read_notices(document)) {
    if (notice.instance == context_.options().instance.value()) {
      listener_.self_reclaimed(notice.reclaim_at);
      continue;
    }
    view_.mark_leaving({.kind = member_kind::endpoint, .id = notice.instance}, notice.reclaim_at,
                       context_.now());
  }
  apply_view_changes();
  gossip_now();
}

// Notifies the listener of changes of the view, and updates the reached endpoints at once or, if
// they were updated recently, a little later.
void fleet::apply_view_changes()
{
  if (view_.version() == applied_view_version_) {
    return;
  }
  applied_view_version_ = view_.version();
  announce_leaving_endpoints();
  listener_.daemons_changed();
  if (context_.now().mono >= update_due_) {
    update_endpoints();
    return;
  }
  if (!update_scheduled_) {
    update_scheduled_ = true;
    context_.timers().schedule(update_due_, [this] {
      update_scheduled_ = false;
      update_endpoints();
    });
  }
}

std::vector<daemon_id> fleet::live_daemon_ids() const
{
  std::vector<daemon_id> out;
  for (const auto* m : view_.live_daemons()) {
    if (m->state == member_state::live) {
      out.emplace_back(m->key.id);
    }
  }
  return out;
}

bool fleet::is_gone(const daemon_id& id) const
{
  const auto* m = view_.find({.kind = member_kind::daemon, .id = id.value()});
  if (m == nullptr) {
    return context_.now().mono >= started_at_ + context_.options().gone_after;
  }
  return m->state == member_state::gone;
}

std::optional<http::socket_address> fleet::peer_address_of(const daemon_id& id) const
{
  const auto* m = view_.find({.kind = member_kind::daemon, .id = id.value()});
  return m == nullptr ? std::nullopt : parse_address(m->attributes.peer_address);
}

bool fleet::has_live_daemon_at(const std::string& address) const
{
  const auto& changes = view_.changes();
  return std::any_of(changes.begin(), changes.end(), [&](const auto& change) {
    const auto& key = change.second;
    const auto* m = view_.find(key);
    return key.kind == member_kind::daemon && m != nullptr && m->attributes.address == address &&
           m->state != member_state::gone && !view_.is_suspected(daemon_id(key.id));
  });
}

std::string fleet::endpoint_address_of(const endpoint_id& id) const
{
  const auto* m = view_.find({.kind = member_kind::endpoint, .id = id.value()});
  return m == nullptr ? std::string() : m->attributes.address;
}

std::string fleet::caller_address_of(const daemon_id& id) const
{
  const auto* m = view_.find({.kind = member_kind::daemon, .id = id.value()});
  return m == nullptr ? std::string() : m->attributes.address;
}

} // namespace wisteriaflow::core::internal
