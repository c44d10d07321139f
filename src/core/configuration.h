// The configuration at one daemon: applies changes from the store and from peers, passes the
// configuration in force to the fleet, and writes audit records.
//
// A daemon that has just started serves only once it knows the floor: a revision below which the
// configuration must not be, since a peer has it in force. The store's list alone may be stale.

#ifndef WISTERIAFLOW_SRC_CORE_CONFIGURATION_H_
#define WISTERIAFLOW_SRC_CORE_CONFIGURATION_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/core_context.h"
#include "core/fleet.h"
#include "wisteriaflow/objects/audit_record.h"
#include "wisteriaflow/objects/configuration_store.h"

namespace wisteriaflow::core::internal {

class configuration {
 public:
  // `changed` is called after each update of the configuration.
  configuration(core_context& context, fleet& members, std::function<void()> changed);

  // Starts to determine the floor and to fetch newer revisions from peers. Call once, after
  // fleet::start().
  void start();

  void on_listed(const declarations_listed& e);
  void on_changed(const declaration_changed& e);
  void on_peer_revision(const membership::gossiper::known_configuration& highest);
  [[nodiscard]] objects::configuration_snapshot on_query(const configuration_query& query) const;

  // Writes an audit record. Records of this daemon's own actions are written at once, records of
  // configuration changes by the daemons that rank first for them.
  void audit(objects::audit_record record);

  [[nodiscard]] bool ready() const
  {
    return store_.readiness() == objects::configuration_readiness::ready;
  }
  [[nodiscard]] const objects::configuration_store& store() const { return store_; }
  [[nodiscard]] std::shared_ptr<const objects::fleet_configuration> current() const
  {
    return store_.current();
  }

 private:
  void apply_changes(const std::vector<objects::configuration_change>& changes);
  void audit_change(const objects::configuration_change& change);
  void write_audit(const boost::json::value& document, unsigned tries_left);
  void catch_up();
  void fetch(std::uint64_t known);
  [[nodiscard]] std::optional<http::socket_address> random_peer() const;
  void check_floor();

  core_context& context_;
  fleet& fleet_;
  std::function<void()> changed_;
  objects::configuration_store store_;
  mono_time floor_wait_until_;
  // The highest revision that a peer has reported, and the daemon that has it.
  membership::gossiper::known_configuration highest_peer_revision_;
  bool fetching_ = false;
  bool floor_from_peer_ = false; // a peer has reported a revision
  bool query_any_peer_ = false;  // the peer that reported the revision could not provide it
};

} // namespace wisteriaflow::core::internal

#endif // WISTERIAFLOW_SRC_CORE_CONFIGURATION_H_
