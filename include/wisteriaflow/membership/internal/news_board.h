// Changed records that a daemon still spreads, and how often each has been sent.
//
// A record that starts to leave is *urgent*: it is pushed at once and repeated a fixed number of
// times, whatever else is spreading. Heard copies do not end that: see docs/design/membership.md.

#ifndef WISTERIAFLOW_MEMBERSHIP_INTERNAL_NEWS_BOARD_H_
#define WISTERIAFLOW_MEMBERSHIP_INTERNAL_NEWS_BOARD_H_

#include <cstddef>
#include <map>
#include <vector>

#include "wisteriaflow/membership/member.h"
#include "wisteriaflow/membership/view.h"

namespace wisteriaflow::membership::internal {

struct news_board_options {
  // Records in one message.
  std::size_t max_records = 128;
  // Pushes of an urgent record.
  int urgent_pushes = 4;
};

class news_board {
 public:
  // `view` must outlive the board.
  news_board(news_board_options options, const membership_view& view);

  // Takes up a changed record; it replaces earlier news of its member.
  void add(const member& m);
  void remove(const member_key& key);

  // Records for an exchange, those sent least often first. Each leaves the board once it has been
  // sent often enough to reach nearly all; repair reaches the rest.
  std::vector<member> take();

  // Urgent records for one push to `fanout` peers.
  std::vector<member> take_urgent(int fanout);

  [[nodiscard]] bool has_urgent() const { return urgent_ > 0; }

 private:
  struct news {
    // Sent by this daemon.
    int copies = 0;
    int urgent_pushes = 0;
  };
  using item = std::pair<const member_key, news>;

  void set_pushes(news& n, int pushes);
  [[nodiscard]] std::vector<member> records_of(std::vector<item*>& picked) const;
  void remove_spread();

  news_board_options options_;
  const membership_view& view_;
  std::map<member_key, news> news_;
  // Items with pushes left.
  std::size_t urgent_ = 0;
};

} // namespace wisteriaflow::membership::internal

#endif // WISTERIAFLOW_MEMBERSHIP_INTERNAL_NEWS_BOARD_H_
