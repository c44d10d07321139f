// The data of a lease client, with the guards and actions of its state machine.

#ifndef WISTERIAFLOW_SRC_CAPACITY_LEASE_CORE_H_
#define WISTERIAFLOW_SRC_CAPACITY_LEASE_CORE_H_

#include <cstdint>
#include <optional>
#include <random>
#include <vector>

#include "wisteriaflow/capacity/lease_client.h"

namespace wisteriaflow::capacity::internal {

class lease_core {
 public:
  explicit lease_core(lease_options options);

  void set_now(clock_reading now) { now_ = now; }
  [[nodiscard]] std::vector<lease_action> take_actions();
  // Whether an answer belongs to the pending call, which it completes; other answers are ignored.
  bool accept_answer(std::uint64_t call);

  [[nodiscard]] bool has_pending_call() const { return pending_call_.has_value(); }

  // Guards.
  [[nodiscard]] bool is_claimable(const lease_found& e) const;
  [[nodiscard]] bool may_claim_missing(const lease_missing& e) const;
  [[nodiscard]] bool is_own_write(const lease_found& e) const;
  // Whether the stored version is the one that the pending write replaces, so that this write may
  // still take effect.
  [[nodiscard]] bool is_write_base(const lease_found& e) const;

  // Actions.
  void read();
  void schedule_reread();
  void observe(const lease_found& e);
  void claim_existing(const lease_found& e);
  void claim_new(const lease_missing& e);
  void renew();
  void resend_write();
  void on_acquired(std::uint64_t version);
  void on_renewed(std::uint64_t version);
  void release();
  void on_lost();
  void on_released();
  void on_store_restored();

  void set_notes(const boost::json::value& notes);

  [[nodiscard]] const lease_options& options() const { return options_; }
  [[nodiscard]] mono_time read_at() const { return read_at_; }
  [[nodiscard]] mono_time renew_at() const { return renew_at_; }
  [[nodiscard]] mono_time deadline() const { return deadline_; }
  [[nodiscard]] mono_time unfenced_orders_allowed_at() const { return unfenced_orders_allowed_at_; }
  [[nodiscard]] std::uint64_t fencing_number() const { return record_.fencing_number; }
  [[nodiscard]] const boost::json::value& notes() const { return notes_; }
  [[nodiscard]] bool notes_written() const { return record_.notes == notes_; }
  [[nodiscard]] const daemon_id& last_seen_holder() const { return observed_holder_; }

 private:
  struct pending_write {
    lease_record record;
    std::uint64_t base = 0; // the version that it replaces; 0 creates the object
    mono_time sent_at;
  };

  void write(lease_record record, std::uint64_t base);
  void send_write();

  lease_options options_;
  std::mt19937_64 rng_;
  clock_reading now_;
  std::vector<lease_action> actions_;
  std::uint64_t last_call_ = 0;
  std::optional<std::uint64_t> pending_call_;
  std::optional<pending_write> pending_write_;

  // The stored lease as last observed while this daemon does not hold it.
  daemon_id observed_holder_;
  std::uint64_t observed_version_ = 0;
  mono_time claimable_at_;
  mono_time claims_allowed_at_; // end of the wait after the store was restored
  mono_time read_at_;

  // State as the holder.
  lease_record record_; // as last written
  std::uint64_t version_ = 0;
  mono_time deadline_;
  mono_time renew_at_;
  mono_time unfenced_orders_allowed_at_;
  boost::json::value notes_;
};

} // namespace wisteriaflow::capacity::internal

#endif // WISTERIAFLOW_SRC_CAPACITY_LEASE_CORE_H_
