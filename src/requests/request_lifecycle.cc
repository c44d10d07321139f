#include "wisteriaflow/requests/request_lifecycle.h"

#include <utility>

#include "lifecycle_driver.h"

namespace wisteriaflow::requests {

class request_lifecycle::machine : public internal::lifecycle_driver {
 public:
  using lifecycle_driver::lifecycle_driver;
};

request_lifecycle::request_lifecycle(request_lifecycle_options options)
    : request_lifecycle(std::move(options), handed_over_state{})
{
}

request_lifecycle::request_lifecycle(request_lifecycle_options options, handed_over_state state)
    : machine_(std::make_unique<machine>(std::move(options), std::move(state)))
{
}

request_lifecycle::~request_lifecycle() = default;
request_lifecycle::request_lifecycle(request_lifecycle&&) noexcept = default;
request_lifecycle& request_lifecycle::operator=(request_lifecycle&&) noexcept = default;

std::vector<request_action> request_lifecycle::handle(const request_event& event,
                                                      const clock_reading& now)
{
  if (finished()) {
    return {};
  }
  machine_->context.begin_event(now);
  std::visit(static_cast<internal::lifecycle_driver&>(*machine_), event);
  return machine_->context.take_actions();
}

lifecycle_stage request_lifecycle::stage() const
{
  return machine_->stage();
}

const std::vector<std::string>& request_lifecycle::tokens() const
{
  return machine_->context.answer().tokens();
}

std::uint64_t request_lifecycle::recomputed_tokens() const
{
  return machine_->context.recomputed_tokens();
}

const endpoint_id& request_lifecycle::endpoint() const
{
  return machine_->context.endpoint();
}

} // namespace wisteriaflow::requests
