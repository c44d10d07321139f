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
// Time until a daemon that reads the store for itself follows the descriptions of endpoints, as a
// multiple of `max_leaving_delay`.
constexpr int max_description_delay = 3;
// Ages of the knowledge of departures, in percent of `max_leaving_delay`: from when it is too old
// to act on, and how long a daemon may take to adopt what a peer has stated.
constexpr int max_departures_age = 80;
constexpr int adoption_time = 10;
// Part of `max_leaving_delay` whose departures are in every message with a view, in percent.
constexpr int listed_time = 50;

} // namespace

endpoint_feed::endpoint_feed(endpoint_feed_options options)
    : options_(options), random_(options.seed)
{
}

void endpoint_feed::advance_to(store_revision revision, mono_time read_at)
{
  revision_ = std::max(revision_, revision);
  if (read_at > read_at_) {
    read_at_ = read_at;
    advance_departures_to(revision_, read_at);
  }
}

void endpoint_feed::advance_departures_to(store_revision revision, mono_time read_at)
{
  departures_revision_ = std::max(departures_revision_, revision);
  if (read_at <= departures_read_at_) {
    return;
  }
  departures_read_at_ = read_at;
  behind_since_.reset();
  recent_readings_.push_back({.at = read_at, .revision = departures_revision_});
  while (recent_readings_.size() > 1 && recent_readings_[1].at + listed_for() <= read_at) {
    recent_readings_.pop_front();
  }
  std::uniform_real_distribution<double> varied(min_jitter, 1);
  const double fraction = varied(random_) * (is_reader_ ? reader_fraction : follower_fraction);
  const auto pause = fraction * static_cast<double>(options_.max_leaving_delay.count());
  next_read_at_ = read_at + milliseconds(static_cast<std::int64_t>(pause));
  if (!is_reader_ && min_read_interval_.count() > 0) {
    // Drawn anew with each view of a peer, so that few daemons are due once the views stop.
    std::uniform_int_distribution<milliseconds::rep> extra(0, min_read_interval_.count());
    next_read_at_ += milliseconds(extra(random_));
  }
}

milliseconds endpoint_feed::listed_for() const
{
  return options_.max_leaving_delay * listed_time / 100;
}

store_revision endpoint_feed::departures_after(mono_time now) const
{
  auto out = removals_after_;
  for (const auto& r : recent_readings_) {
    if (r.at + listed_for() <= now) {
      out = std::max(out, r.revision);
    }
  }
  return out;
}

mono_time endpoint_feed::next_read_at() const
{
  const auto delay =
      std::max(max_description_delay * options_.max_leaving_delay, min_read_interval_);
  return std::min(next_read_at_, read_at_ + delay);
}

bool endpoint_feed::is_outdated(mono_time now) const
{
  const auto limit = options_.max_leaving_delay * max_departures_age / 100;
  const auto time_to_adopt = options_.max_leaving_delay * adoption_time / 100;
  return departures_read_at_ + limit <= now && now < peers_read_at_ + limit && behind_since_ &&
         *behind_since_ + time_to_adopt <= now;
}

milliseconds endpoint_feed::departures_age(mono_time now) const
{
  return std::chrono::ceil<milliseconds>(now - departures_read_at_);
}

void endpoint_feed::adopt_departures(const endpoint_view& peer_view, mono_time asked_at)
{
  // Measured from when the request was sent, since the answer may have been delayed.
  const auto read_at = asked_at - peer_view.departures_age;
  if (peer_view.departures_revision == 0 || read_at <= departures_read_at_) {
    return;
  }
  peers_read_at_ = std::max(peers_read_at_, read_at);
  if (departures_revision_ > 0 && peer_view.departures_after <= departures_revision_ &&
      peer_view.departures_revision >= departures_revision_) {
    advance_departures_to(peer_view.departures_revision, read_at);
  } else {
    behind_since_ = behind_since_.value_or(asked_at);
  }
}

void endpoint_feed::on_list(const std::map<endpoint_id, endpoint_record>& known,
                            store_revision revision, mono_time asked_at)
{
  retain(known);
  removals_after_ = revision;
  recent_readings_.clear();
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
  adopt_departures(peer_view, asked_at);
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

void endpoint_feed::on_fetched(const endpoint_changes& changes, store_revision after,
                               mono_time asked_at)
{
  const auto& peer_view = changes.view;
  adopt_departures(peer_view, asked_at);
  const auto read_at = asked_at - peer_view.age;
  if (after > revision_ || !can_catch_up(peer_view, read_at)) {
    return;
  }
  if (changes.is_complete) {
    changed_ = std::max(changed_, peer_view.changed);
    advance_to(peer_view.revision, read_at);
  } else {
    revision_ = std::max(revision_, peer_view.revision);
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
          .age = std::chrono::ceil<milliseconds>(now - read_at_),
          .departures_revision = departures_revision_,
          .departures_after = departures_after(now),
          .departures_age = departures_age(now)};
}

endpoint_changes endpoint_feed::changes_after(store_revision revision, std::size_t max_records,
                                              mono_time now) const
{
  std::vector<const description*> changed;
  for (const auto& [id, d] : descriptions_) {
    if (d.changed > revision) {
      changed.push_back(&d);
    }
  }
  endpoint_changes out{.view = view(now)};
  // The peer gets every departure that this daemon remembers since `revision`.
  out.view.departures_after = std::max(removals_after_, std::min(revision, departures_revision_));
  if (changed.size() > max_records) {
    std::sort(changed.begin(), changed.end(),
              [](const auto* a, const auto* b) { return a->changed < b->changed; });
    out.is_complete = false;
    out.view.revision = changed[max_records - 1]->changed;
    changed.resize(max_records);
  }
  for (const auto* d : changed) {
    out.records.push_back(d->record);
  }
  return out;
}

} // namespace wisteriaflow::gateway
