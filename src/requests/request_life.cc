#include "wisteriaflow/requests/request_life.h"

#include <utility>

#include "life_driver.h"

namespace wisteriaflow::requests {

class request_life::machine : public internal::life_driver {
 public:
  using life_driver::life_driver;
};

request_life::request_life(request_life_options options)
    : request_life(std::move(options), handed_over_state{})
{
}

request_life::request_life(request_life_options options, handed_over_state state)
    : machine_(std::make_unique<machine>(std::move(options), std::move(state)))
{
}

request_life::~request_life() = default;
request_life::request_life(request_life&&) noexcept = default;
request_life& request_life::operator=(request_life&&) noexcept = default;

std::vector<request_action> request_life::handle(const request_event& event,
                                                 const clock_reading& now)
{
  if (finished()) {
    return {};
  }
  machine_->context.begin(now);
  std::visit(static_cast<internal::life_driver&>(*machine_), event);
  return machine_->context.take_actions();
}

life_stage request_life::stage() const
{
  return machine_->stage();
}

const std::vector<std::string>& request_life::tokens() const
{
  return machine_->context.answer().tokens();
}

std::uint64_t request_life::recomputed_tokens() const
{
  return machine_->context.recomputed_tokens();
}

const endpoint_id& request_life::endpoint() const
{
  return machine_->context.endpoint();
}

} // namespace wisteriaflow::requests
