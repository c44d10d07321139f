// What a lease holder knows, and the steps that its state machine is made of.

#ifndef WISTERIAFLOW_SRC_CAPACITY_LEASE_CORE_H_
#define WISTERIAFLOW_SRC_CAPACITY_LEASE_CORE_H_

#include <cstdint>
#include <optional>
#include <random>
#include <vector>

#include "wisteriaflow/capacity/lease_holder.h"

namespace wisteriaflow::capacity::internal {

class lease_core {
 public:
  explicit lease_core(lease_options options);

  void set_now(clock_reading now) { now_ = now; }
  [[nodiscard]] std::vector<lease_action> take_actions();
  // Whether an answer belongs to the open call; the others are ignored.
  bool accept_answer(std::uint64_t call);

  [[nodiscard]] bool awaits_answer() const { return open_call_.has_value(); }

  // Guards.
  [[nodiscard]] bool is_free(const lease_found& e) const;
  [[nodiscard]] bool is_ours(const lease_found& e) const;
  // Our open write may still take effect: what it would replace stands.
  [[nodiscard]] bool is_base(const lease_found& e) const;

  // Steps.
  void read();
  void read_later();
  void observe(const lease_found& e);
  void claim_found(const lease_found& e);
  void claim_new();
  void renew();
  void write_again();
  void become_holder(std::uint64_t version);
  void renewed(std::uint64_t version);
  void give_back();
  void lose();
  void done();

  void set_notes(const boost::json::value& notes);

  [[nodiscard]] const lease_options& options() const { return options_; }
  [[nodiscard]] mono_time read_at() const { return read_at_; }
  [[nodiscard]] mono_time renew_at() const { return renew_at_; }
  [[nodiscard]] mono_time deadline() const { return deadline_; }
  [[nodiscard]] mono_time order_all_at() const { return order_all_at_; }
  [[nodiscard]] std::uint64_t fencing_number() const { return record_.fencing_number; }
  [[nodiscard]] const boost::json::value& notes() const { return notes_; }
  [[nodiscard]] bool notes_written() const { return record_.notes == notes_; }
  [[nodiscard]] const daemon_id& last_seen_holder() const { return seen_holder_; }

 private:
  struct open_write {
    lease_record record;
    std::uint64_t base = 0; // the version that it replaces; 0 creates
    mono_time sent_at;
  };

  void write(lease_record record, std::uint64_t base);
  void send_write();

  lease_options options_;
  std::mt19937_64 random_;
  clock_reading now_;
  std::vector<lease_action> actions_;
  std::uint64_t last_call_ = 0;
  std::optional<std::uint64_t> open_call_;
  std::optional<open_write> write_;

  // As last observed of others.
  daemon_id seen_holder_;
  std::uint64_t seen_version_ = 0;
  mono_time free_at_;
  mono_time read_at_;

  // As holder.
  lease_record record_; // as last written
  std::uint64_t version_ = 0;
  mono_time deadline_;
  mono_time renew_at_;
  mono_time order_all_at_;
  boost::json::value notes_;
};

} // namespace wisteriaflow::capacity::internal

#endif // WISTERIAFLOW_SRC_CAPACITY_LEASE_CORE_H_
