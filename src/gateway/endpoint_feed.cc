#include "wisteriaflow/gateway/endpoint_feed.h"

#include <algorithm>

namespace wisteriaflow::gateway {
namespace {

using std::chrono::milliseconds;

// Parts of the notice after which the store is read again, and by how much they vary.
constexpr double reader_part = 0.3;
constexpr double other_part = 0.6;
constexpr double least_of_part = 0.85;

} // namespace

endpoint_feed::endpoint_feed(endpoint_feed_options options)
    : options_(options), random_(options.seed)
{
}

void endpoint_feed::move_to(std::uint64_t revision, mono_time read_at)
{
  revision_ = std::max(revision_, revision);
  if (read_at <= read_at_) {
    return;
  }
  read_at_ = read_at;
  std::uniform_real_distribution<double> varied(least_of_part, 1);
  const double part = varied(random_) * (is_reader_ ? reader_part : other_part);
  const auto pause = part * static_cast<double>(options_.notice.count());
  due_at_ = read_at + milliseconds(static_cast<std::int64_t>(pause));
}

void endpoint_feed::on_list(const std::map<endpoint_id, endpoint_record>& known,
                            std::uint64_t revision, mono_time asked_at)
{
  retain(known);
  removals_after_ = revision;
  move_to(revision, asked_at);
}

void endpoint_feed::on_read(std::uint64_t revision, mono_time asked_at)
{
  move_to(revision, asked_at);
}

void endpoint_feed::on_partly_read(std::uint64_t revision)
{
  move_to(revision, read_at_);
}

void endpoint_feed::note(const endpoint_record& record)
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

void endpoint_feed::note_fetched(const endpoint_record& record)
{
  note(record);
  mark_changed(descriptions_.at(record.id), record.revision);
}

void endpoint_feed::forget(const endpoint_departure& gone)
{
  descriptions_.erase(gone.id);
  changed_ = std::max(changed_, gone.revision);
}

void endpoint_feed::mark_changed(description& known, std::uint64_t revision)
{
  known.changed = std::max(known.changed, revision);
  changed_ = std::max(changed_, revision);
}

void endpoint_feed::retain(const std::map<endpoint_id, endpoint_record>& known)
{
  std::erase_if(descriptions_, [&](const auto& it) { return !known.contains(it.first); });
}

// Whether the gap between this daemon's view and a peer's can be closed by what the peer tells.
bool endpoint_feed::may_follow(const endpoint_view& told, mono_time read_at) const
{
  const bool closes_gap = told.removals_after <= revision_ && told.revision >= revision_;
  return revision_ > 0 && closes_gap && read_at > read_at_ &&
         read_at - read_at_ < options_.longest_gap;
}

feed_step endpoint_feed::on_peer_view(const endpoint_view& told, mono_time asked_at)
{
  // From the sending of the question, since the answer may have been long on its way.
  const auto read_at = asked_at - told.age;
  if (!may_follow(told, read_at)) {
    return feed_step::nothing;
  }
  if (told.changed > revision_) {
    return feed_step::fetch;
  }
  move_to(told.revision, read_at);
  return feed_step::nothing;
}

void endpoint_feed::on_fetched(const endpoint_view& told, std::uint64_t after, mono_time asked_at)
{
  const auto read_at = asked_at - told.age;
  if (after <= revision_ && may_follow(told, read_at)) {
    changed_ = std::max(changed_, told.changed);
    move_to(told.revision, read_at);
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

endpoint_changes endpoint_feed::changes_after(std::uint64_t revision, mono_time now) const
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
