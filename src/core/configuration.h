// The configuration duty of one daemon: applies what the store and peers show, tells the fleet,
// and writes the audit trail.

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
  // `changed` is called whenever another configuration has come into force.
  configuration(core_context& context, fleet& members, std::function<void()> changed);

  // Begins to ask peers for the floor. Call once, after the fleet's start.
  void start();

  void on_listed(const declarations_listed& e);
  void on_changed(const declaration_changed& e);
  void on_peer_revision(const membership::gossiper::known_configuration& highest);
  [[nodiscard]] objects::configuration_snapshot on_query(const configuration_query& query) const;

  // Keeps a record of what this daemon did of itself.
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
  void after(const std::vector<objects::configuration_change>& changes);
  void audit_change(const objects::configuration_change& change);
  void write_audit(const boost::json::value& document, unsigned tries_left);
  void catch_up();
  void fetch(std::uint64_t known);
  [[nodiscard]] std::optional<http::socket_address> any_peer() const;
  void check_floor();

  core_context& context_;
  fleet& fleet_;
  std::function<void()> changed_;
  objects::configuration_store store_;
  mono_time silent_at_;
  membership::gossiper::known_configuration heard_; // the highest that a peer has named
  bool fetching_ = false;
  bool floor_named_ = false; // by a peer
  bool ask_any_ = false;     // the one that named it could not give it
};

} // namespace wisteriaflow::core::internal

#endif // WISTERIAFLOW_SRC_CORE_CONFIGURATION_H_
