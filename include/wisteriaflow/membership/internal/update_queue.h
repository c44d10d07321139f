// Queue of changed member records that this daemon still disseminates, with the number of copies
// that it has sent of each.
//
// A record whose member starts to leave is *urgent*: it is pushed at once and repeated a fixed
// number of times, regardless of other queued records. Receiving further copies of it does not end
// the repetition: see docs/design/membership.md.

#ifndef WISTERIAFLOW_MEMBERSHIP_INTERNAL_UPDATE_QUEUE_H_
#define WISTERIAFLOW_MEMBERSHIP_INTERNAL_UPDATE_QUEUE_H_

#include <cstddef>
#include <map>
#include <vector>

#include "wisteriaflow/membership/member.h"
#include "wisteriaflow/membership/view.h"

namespace wisteriaflow::membership::internal {

struct update_queue_options {
  // Maximum number of records in one message.
  std::size_t max_records = 128;
  // Number of times that an urgent record is pushed.
  int urgent_pushes = 4;
};

class update_queue {
 public:
  // `view` must outlive the queue.
  update_queue(update_queue_options options, const membership_view& view);

  // Queues a changed record; it replaces an earlier update of the same member.
  void add(const member& m);
  // Removes the update of a member, if there is one.
  void remove(const member_key& key);

  // Returns records for an exchange, those sent least often first. A record is removed once it has
  // been sent often enough to reach nearly all daemons; repair reaches the rest.
  std::vector<member> take();

  // Returns the urgent records for one push to `fanout` peers.
  std::vector<member> take_urgent(int fanout);

  [[nodiscard]] bool has_urgent() const { return urgent_count_ > 0; }

 private:
  struct queued_update {
    // Number of copies that this daemon has sent.
    int copies_sent = 0;
    int urgent_pushes_left = 0;
  };
  using item = std::pair<const member_key, queued_update>;

  void set_urgent_pushes(queued_update& n, int pushes);
  [[nodiscard]] std::vector<member> select_records(std::vector<item*>& picked) const;
  void remove_disseminated();

  update_queue_options options_;
  const membership_view& view_;
  std::map<member_key, queued_update> updates_;
  // Number of records with urgent pushes left.
  std::size_t urgent_count_ = 0;
};

} // namespace wisteriaflow::membership::internal

#endif // WISTERIAFLOW_MEMBERSHIP_INTERNAL_UPDATE_QUEUE_H_
