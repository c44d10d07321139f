// A program that runs a fake_model_engine.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include "fakes/fake_model_engine.h"
#include "fakes/program.h"

ABSL_FLAG(std::uint16_t, port, 0, "port to listen on; 0 lets the kernel choose");
ABSL_FLAG(std::vector<std::string>, models, {}, "models loaded at first; empty: all");
ABSL_FLAG(bool, checks_fencing, false, "whether orders with an old fencing number are refused");
ABSL_FLAG(std::int64_t, token_interval_ms, 0, "time from one token to the next");
ABSL_FLAG(double, prefill_ms_per_token, 0.0, "time for each token that is not cached");
ABSL_FLAG(std::int64_t, load_lag_ms, 0, "how late load reports are");
ABSL_FLAG(std::int64_t, max_running, 64, "requests that run at once; more wait");
ABSL_FLAG(std::int64_t, kv_blocks, 1024, "size of the prefix cache in blocks");

int main(int argc, char** argv)
{
  using std::chrono::milliseconds;
  absl::ParseCommandLine(argc, argv);
  const wisteriaflow::fakes::model_engine_settings settings{
      .models = absl::GetFlag(FLAGS_models),
      .token_interval_ms = milliseconds(absl::GetFlag(FLAGS_token_interval_ms)),
      .prefill_ms_per_token = absl::GetFlag(FLAGS_prefill_ms_per_token),
      .load_lag_ms = milliseconds(absl::GetFlag(FLAGS_load_lag_ms)),
      .max_running = absl::GetFlag(FLAGS_max_running),
      .kv_blocks = absl::GetFlag(FLAGS_kv_blocks),
      .checks_fencing = absl::GetFlag(FLAGS_checks_fencing)};
  boost::asio::io_context context;
  const wisteriaflow::fakes::fake_model_engine fake(context, absl::GetFlag(FLAGS_port), settings);
  wisteriaflow::fakes::run_program(context, fake.address());
}
