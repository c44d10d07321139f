#include "capacity_bench_simulation.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <numbers>
#include <set>

namespace wisteriaflow::capacity {
namespace {

using namespace std::chrono_literals;

constexpr std::chrono::seconds day = 24h;
constexpr std::chrono::seconds zone_loss_at = 12h;
constexpr std::chrono::seconds second_wave_at = 12h + 30s;
constexpr std::chrono::seconds launches_refused_until = 12h + 20min;
constexpr std::chrono::seconds zone_back_at = 13h;
constexpr std::chrono::seconds price_flip_at = 15h;
constexpr std::chrono::seconds price_flip_until = 17h;
constexpr std::chrono::seconds notice = 30s;
constexpr double refusal_probability_elsewhere = 0.7; // of reclaimable launches in other zones
constexpr double decode_rate = 1'000;                 // tokens/s of a small instance
constexpr double utilisation = 0.8;
constexpr double seconds_per_hour = 3'600;
constexpr std::int64_t weights_bytes = 20'000'000'000;

struct instance_class {
  const char* name;
  double size;  // relative to a small instance
  double price; // of an on-demand instance
};
constexpr std::array<instance_class, 2> classes{{{"small", 1, 1}, {"large", 2, 1.9}}};

struct simulated_instance {
  pool_instance listing;
  std::chrono::seconds listed_at{};
  std::chrono::seconds gone_at = day * 2;
  bool loaded = false;
  std::chrono::seconds loaded_at = day * 2;
};

class simulated_day {
 public:
  simulated_day(const day_options& options, policy policy_kind, const planner_options& rules)
      : options_(options), policy_(policy_kind), rules_(options_with_bench_defaults(rules)),
        planner_(rules_), random_(options.seed)
  {
    planner_.take_over(1, {});
    make_prices();
    make_demand();
  }

  day_result run()
  {
    for (now_ = 0s; now_ < day; now_ += options_.step) {
      reclaim();
      complete_loads();
      if (now_.count() % options_.plan_period.count() == 0) {
        apply_policy();
      }
      measure();
    }
    if (plans_ > 0) {
      result_.plan_microseconds = plan_seconds_ * 1e6 / plans_;
    }
    return result_;
  }

 private:
  planner_options options_with_bench_defaults(planner_options rules) const
  {
    rules.launch_time = options_.launch_time;
    rules.target_utilisation = utilisation;
    rules.backoff.seed = options_.seed;
    if (policy_ == policy::reclaimable_only) {
      rules.zone_headroom = false;
    }
    return rules;
  }

  // Computes the reclaimable price ratios of each zone, one for every ten minutes: a sine wave over
  // the day plus noise.
  void make_prices()
  {
    std::mt19937_64 random(options_.seed * 7919);
    std::normal_distribution<double> noise(0, 0.05);
    for (int z = 0; z < options_.zones; ++z) {
      auto& prices = ratios_.emplace_back();
      for (auto t = 0s; t < day; t += 10min) {
        const double phase =
            static_cast<double>(t.count()) / day.count() + static_cast<double>(z) / options_.zones;
        const double wave = 1 + 0.35 * std::sin(2 * std::numbers::pi * phase) + noise(random);
        const bool flipped = z == 1 && t >= price_flip_at && t < price_flip_until;
        prices.push_back(flipped ? 1.2 : std::clamp(options_.price_ratio * wave, 0.1, 1.0));
      }
    }
  }

  // Computes the demand of each minute: low at night, highest at noon, with noise.
  void make_demand()
  {
    std::mt19937_64 random(options_.seed * 104729);
    std::normal_distribution<double> noise(0, 0.03);
    const double n = options_.runners;
    const double peak = n * decode_rate * utilisation * (options_.zones - 1) / options_.zones;
    for (auto t = 0min; t < day; t += 1min) {
      const double hour = static_cast<double>(t.count()) / 60;
      const double shape = 0.3 + 0.7 * std::exp(-std::pow((hour - 12) / 4.5, 2));
      demand_.push_back(peak * std::max(0.05, shape + noise(random)));
    }
  }

  [[nodiscard]] double demand() const { return demand_.at(static_cast<std::size_t>(now_ / 1min)); }

  [[nodiscard]] double price_of(const offer_key& key) const
  {
    const auto* c = std::find_if(classes.begin(), classes.end(), [&](const instance_class& each) {
      return key.instance_class == each.name;
    });
    const auto zone = static_cast<std::size_t>(std::stoi(key.zone.value()));
    const double ratio =
        key.reclaimable ? ratios_.at(zone).at(static_cast<std::size_t>(now_ / 10min)) : 1;
    return c->price * ratio;
  }

  [[nodiscard]] std::vector<offer> offers() const
  {
    std::vector<offer> out;
    for (int z = 0; z < options_.zones; ++z) {
      for (const auto& c : classes) {
        for (const bool reclaimable : {true, false}) {
          const bool is_excluded = (policy_ == policy::on_demand_only && reclaimable) ||
                                   (policy_ == policy::reclaimable_only && !reclaimable);
          const offer_key key{.zone = availability_zone(std::to_string(z)),
                              .instance_class = c.name,
                              .reclaimable = reclaimable};
          if (!is_excluded) {
            out.push_back({.key = key, .price_per_hour = price_of(key)});
          }
        }
      }
    }
    return out;
  }

  [[nodiscard]] clock_reading clock() const
  {
    return {.mono = mono_time(24h + now_), .wall = wall_time(400'000h + now_)};
  }

  [[nodiscard]] double step_hours() const
  {
    return std::chrono::duration<double, std::ratio<3'600>>(options_.step).count();
  }

  void announce_reclaim(simulated_instance& i)
  {
    if (!i.listing.leaving) {
      i.listing.leaving = true;
      i.gone_at = now_ + notice;
    }
  }

  void reclaim()
  {
    const double hazard = options_.reclaims_per_hour * step_hours();
    std::uniform_real_distribution<double> draw(0, 1);
    for (auto& [id, i] : instances_) {
      const bool in_first_wave = now_ == zone_loss_at && i.listing.key.zone.value() == "0";
      const bool in_second_wave = options_.second_wave && now_ == second_wave_at &&
                                  i.listing.key.zone.value() == "1" && i.listing.key.reclaimable;
      if (in_first_wave || in_second_wave ||
          (i.listing.key.reclaimable && draw(random_) < hazard)) {
        announce_reclaim(i);
      }
    }
    std::erase_if(instances_, [&](const auto& each) { return each.second.gone_at <= now_; });
  }

  [[nodiscard]] bool is_launch_refused(const offer_key& key)
  {
    if (now_ < zone_loss_at || now_ >= zone_back_at) {
      return false;
    }
    std::uniform_real_distribution<double> draw(0, 1);
    const bool scarce = now_ < launches_refused_until && key.reclaimable;
    return key.zone.value() == "0" || (scarce && draw(random_) < refusal_probability_elsewhere);
  }

  // Simulates the cloud API. A repeated token returns the instance that it launched before.
  launch_answer start(const std::string& token, const offer_key& key)
  {
    ++result_.launches;
    const auto known = ids_by_token_.find(token);
    if (known == ids_by_token_.end()) {
      if (is_launch_refused(key)) {
        ++result_.refused_launches;
        return launch_refused{};
      }
      const instance_id id("i" + std::to_string(ids_by_token_.size()));
      ids_by_token_[token] = id;
      instances_[id] = {.listing = {.id = id, .key = key, .launched_with = token},
                        .listed_at = now_ + options_.launch_time};
    } else {
      --result_.launches;
    }
    std::uniform_real_distribution<double> draw(0, 1);
    if (draw(random_) < options_.lost_answers) {
      ++result_.unanswered_launches;
      return launch_unanswered{};
    }
    return launch_started{ids_by_token_[token]};
  }

  void apply_policy()
  {
    if (policy_ == policy::static_mix) {
      maintain_static_mix();
      return;
    }
    plan_input input{.offers = offers(), .pools = {pool()}};
    const auto begun = std::chrono::steady_clock::now();
    const auto actions = planner_.plan(input, clock());
    plan_seconds_ +=
        std::chrono::duration<double>(std::chrono::steady_clock::now() - begun).count();
    ++plans_;
    for (const auto& a : actions) {
      std::visit([this](const auto& one) { perform(one); }, a);
    }
  }

  [[nodiscard]] pool_input pool() const
  {
    pool_input in;
    in.pool.metadata.name = "p";
    in.pool.max_instances = 10'000;
    in.pool.headroom = 0.2;
    in.pool.max_reclaimable_share = options_.max_reclaimable_share;
    in.demand = {.requests = 1, .decode_tokens = demand()};
    for (const auto& c : classes) {
      in.rates[c.name] = {.decode_tokens_per_second = decode_rate * c.size};
    }
    in.model_loads = {{.model = model_id("m"), .bytes = weights_bytes}};
    for (const auto& [id, i] : instances_) {
      if (i.listed_at <= now_) {
        in.instances.push_back(i.listing);
      }
    }
    return in;
  }

  void perform(const launch& a)
  {
    planner_.on_launch_answered(a.token, start(a.token, a.key), clock());
  }
  void perform(const release& a)
  {
    ++result_.releases;
    instances_.erase(a.id);
  }
  void perform(const order_load& a)
  {
    const auto it = instances_.find(a.endpoint);
    if (it != instances_.end()) {
      it->second.loaded_at = now_ + std::chrono::seconds(a.load.bytes / 1'000'000'000);
    }
  }

  void complete_loads()
  {
    for (auto& [id, i] : instances_) {
      if (!i.loaded && i.loaded_at <= now_) {
        i.loaded = true;
        planner_.on_load_answered(id, {.model = model_id("m"), .bytes = weights_bytes}, true);
      }
    }
  }

  // Launches missing instances of the static mix: half reclaimable and half on-demand, the same
  // number in each zone, enough for the peak and its headroom.
  void maintain_static_mix()
  {
    const int per_kind = static_cast<int>(std::ceil(options_.runners / (2.0 * options_.zones)));
    for (int z = 0; z < options_.zones; ++z) {
      for (const bool reclaimable : {true, false}) {
        const offer_key key{.zone = availability_zone(std::to_string(z)),
                            .instance_class = "small",
                            .reclaimable = reclaimable};
        const auto have = std::count_if(instances_.begin(), instances_.end(), [&](const auto& e) {
          return e.second.listing.key == key && !e.second.listing.leaving;
        });
        for (auto n = have; n < per_kind; ++n) {
          const auto answer = start("s" + std::to_string(++static_tokens_), key);
          if (const auto* started = std::get_if<launch_started>(&answer)) {
            instances_[started->id].loaded_at = now_ + options_.launch_time + 20s;
          }
        }
      }
    }
  }

  // Adds the current step to the result. An instance that is being reclaimed serves until it is
  // gone.
  void measure()
  {
    double capacity = 0;
    const double hours = step_hours();
    const double seconds = hours * seconds_per_hour;
    for (const auto& [id, i] : instances_) {
      const double size = i.listing.key.instance_class == classes[1].name ? classes[1].size : 1;
      capacity += i.loaded ? size * decode_rate * utilisation : 0;
      result_.cost += price_of(i.listing.key) * hours;
      (i.listing.key.reclaimable ? result_.reclaimable_hours : result_.on_demand_hours) += hours;
    }
    constexpr std::chrono::seconds warm_up = 10min; // the day starts without instances
    if (now_ < warm_up) {
      return;
    }
    const double served = std::min(capacity, demand());
    result_.served += served * seconds;
    result_.demanded += demand() * seconds;
    if (served < demand()) {
      result_.short_minutes += hours * 60;
    }
    if (now_ >= zone_loss_at && now_ < zone_loss_at + 30min) {
      result_.min_served_after_loss = std::min(result_.min_served_after_loss, served / demand());
    }
  }

  day_options options_;
  policy policy_;
  planner_options rules_;
  planner planner_;
  std::mt19937_64 random_;
  // Reclaimable prices relative to on-demand ones, by zone and ten minutes.
  std::vector<std::vector<double>> ratios_;
  std::vector<double> demand_; // tokens/s, by minute
  std::map<instance_id, simulated_instance> instances_;
  std::map<std::string, instance_id> ids_by_token_;
  std::chrono::seconds now_{};
  int static_tokens_ = 0;
  int plans_ = 0;
  double plan_seconds_ = 0;
  day_result result_;
};

} // namespace

day_result run_day(const day_options& options, policy policy_kind, const planner_options& rules)
{
  return simulated_day(options, policy_kind, rules).run();
}

} // namespace wisteriaflow::capacity
