#include "wisteriaflow/gateway/endpoint_feed.h"

#include <algorithm>

namespace wisteriaflow::gateway {
namespace {

using std::chrono::milliseconds;

// Fractions of `max_leaving_delay` after which the store is read again, and the lower bound of the
// random factor on them.
constexpr double reader_fraction = 0.3;
constexpr double follower_fraction = 0.6;
constexpr double min_jitter = 0.85;

} // namespace

endpoint_feed::endpoint_feed(endpoint_feed_options options)
    : options_(options), random_(options.seed)
{
}

void endpoint_feed::advance_to(store_revision revision, mono_time read_at)
{
  revision_ = std::max(revision_, revision);
  if (read_at <= read_at_) {
    return;
  }
  read_at_ = read_at;
  std::uniform_real_distribution<double> varied(min_jitter, 1);
  const double fraction = varied(random_) * (is_reader_ ? reader_fraction : follower_fraction);
  const auto pause = fraction * static_cast<double>(options_.max_leaving_delay.count());
  next_read_at_ = read_at + milliseconds(static_cast<std::int64_t>(pause));
}

void endpoint_feed::on_list(const std::map<endpoint_id, endpoint_record>& known,
                            store_revision revision, mono_time asked_at)
{
  retain(known);
  removals_after_ = revision;
  advance_to(revision, asked_at);
}

void endpoint_feed::on_read(store_revision revision, mono_time asked_at)
{
  advance_to(revision, asked_at);
}

void endpoint_feed::on_partial_read(store_revision revision)
{
  advance_to(revision, read_at_);
}

void endpoint_feed::update(const endpoint_record& record)
{
  const auto [it, added] = descriptions_.try_emplace(record.id);
  auto& known = it->second;
  if (!added && record.revision < known.record.revision) {
    return;
  }
  auto as_known = record;
  as_known.revision = known.record.revision;
  if (added || as_known != known.record) {
    mark_changed(known, record.revision);
  }
  known.record = record;
}

void endpoint_feed::update_from_peer(const endpoint_record& record)
{
  update(record);
  mark_changed(descriptions_.at(record.id), record.revision);
}

void endpoint_feed::on_departure(const endpoint_departure& departure)
{
  descriptions_.erase(departure.id);
  changed_ = std::max(changed_, departure.revision);
}

void endpoint_feed::mark_changed(description& known, store_revision revision)
{
  known.changed = std::max(known.changed, revision);
  changed_ = std::max(changed_, revision);
}

void endpoint_feed::retain(const std::map<endpoint_id, endpoint_record>& known)
{
  std::erase_if(descriptions_, [&](const auto& it) { return !known.contains(it.first); });
}

// Whether the peer's view contains every change since this daemon's own view.
bool endpoint_feed::can_catch_up(const endpoint_view& peer_view, mono_time read_at) const
{
  const bool closes_gap = peer_view.removals_after <= revision_ && peer_view.revision >= revision_;
  return revision_ > 0 && closes_gap && read_at > read_at_ &&
         read_at - read_at_ < options_.max_view_gap;
}

feed_action endpoint_feed::on_peer_view(const endpoint_view& peer_view, mono_time asked_at)
{
  // Measured from when the request was sent, since the answer may have been delayed.
  const auto read_at = asked_at - peer_view.age;
  if (revision_ != store_revision{} && peer_view.revision.era > revision_.era) {
    on_store_restored(asked_at);
  }
  if (!can_catch_up(peer_view, read_at)) {
    return feed_action::nothing;
  }
  if (peer_view.changed > revision_) {
    return feed_action::fetch;
  }
  advance_to(peer_view.revision, read_at);
  return feed_action::nothing;
}

void endpoint_feed::on_fetched(const endpoint_view& peer_view, store_revision after,
                               mono_time asked_at)
{
  const auto read_at = asked_at - peer_view.age;
  if (after <= revision_ && can_catch_up(peer_view, read_at)) {
    changed_ = std::max(changed_, peer_view.changed);
    advance_to(peer_view.revision, read_at);
  }
}

endpoint_view endpoint_feed::view(mono_time now) const
{
  if (revision_ == 0) {
    return {};
  }
  return {.revision = revision_,
          .changed = changed_,
          .removals_after = removals_after_,
          .age = std::chrono::ceil<milliseconds>(now - read_at_)};
}

endpoint_changes endpoint_feed::changes_after(store_revision revision, mono_time now) const
{
  endpoint_changes out{.view = view(now)};
  for (const auto& [id, d] : descriptions_) {
    if (d.changed > revision) {
      out.records.push_back(d.record);
    }
  }
  return out;
}

} // namespace wisteriaflow::gateway
