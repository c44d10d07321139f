// A fake model engine with the interface of docs/CONTRACTS.md. Tokens depend only on the model and
// the prompt (token_text()), so an answer that is resumed on another fake has the same bytes.
//
// Requests with a higher priority number run first. `recomputed_tokens` counts, for resumed
// requests only, the prompt tokens outside the prefix cache and the resumed tokens, except those
// whose KV state was imported. `prefix_hash` in cache events is hash_hex() of one of
// block_hashes().
//
// POST /_fake/settings  any field of model_engine_settings by name, except models and kv_blocks
// POST /_fake/fail      {"after_tokens":n,"times":k} closes the connections of the next k answers
//                       (default 1) after n of their tokens; {"die":true} closes the listener and
//                       all connections
// GET  /_fake/stats     {"runs":{Idempotency-Key:n},"resumes":{...},"requests":{Request-Id:n},
//                       "started":[Request-Id],"cancelled":[Request-Id],"recomputed_tokens":n,
//                       "prefilled_tokens":n,"requests_received_at_unix_ms":[...],"orders":[...]}
// A run is counted when its request leaves the queue. Resumed requests count as resumes, not as
// runs.

#ifndef WISTERIAFLOW_TEST_FAKES_FAKE_MODEL_ENGINE_H_
#define WISTERIAFLOW_TEST_FAKES_FAKE_MODEL_ENGINE_H_

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "fakes/engine_parts.h"
#include "fakes/fake_server.h"
#include "fakes/value_history.h"
#include "wisteriaflow/http/client.h"

namespace wisteriaflow::fakes {

struct model_engine_settings {
  std::vector<std::string> models; // loaded at the start; empty: every model counts as loaded
  std::chrono::milliseconds token_interval_ms{0};
  double prefill_ms_per_token = 0.0;          // for each prompt or resumed token that is not cached
  std::chrono::milliseconds load_lag_ms{0};   // age of the reported load
  std::chrono::milliseconds event_lag_ms{0};  // until a cache event is shown
  std::chrono::milliseconds load_model_ms{0}; // duration of an order to load a model
  std::int64_t drop_events_every = 0;         // every n-th cache event is never shown; 0: none
  std::int64_t max_running = 64;              // requests that run at once; more wait
  // Size of the prefix cache in blocks of block_words tokens; fixed at the start.
  std::int64_t kv_blocks = 1024;
  // Whether to refuse orders with a fencing number below the highest one received.
  bool checks_fencing = false;
};

class fake_model_engine final : public fake_server {
 public:
  explicit fake_model_engine(boost::asio::io_context& context, std::uint16_t port = 0,
                             model_engine_settings settings = {});

  // Changes settings with the JSON of POST /_fake/settings.
  void set(const boost::json::value& changes);

  // Returns the body of GET /_fake/stats.
  [[nodiscard]] boost::json::value stats() const;

  void close() override;

 protected:
  boost::asio::awaitable<void> serve(fake_request received, http::response_writer& w) override;

 private:
  // One completion request. It generates tokens `first` (above 0 if it resumes an answer) to
  // `last` - 1; `next` is the one to generate next.
  struct run {
    run(boost::asio::io_context& context, const fake_request& received);

    [[nodiscard]] boost::json::value usage() const;
    [[nodiscard]] std::string render_event(std::size_t offset, std::string_view token,
                                           std::string_view finish_reason) const;
    [[nodiscard]] fake_reply completion_reply() const;

    std::string request_id;
    std::string key;
    std::string model;
    std::string prompt;
    std::string resume_text;
    bool streamed = false;
    std::int64_t priority = 0;
    std::size_t first = 0;
    std::size_t next = 0;
    std::size_t last = 0;
    std::size_t prompt_tokens = 0;
    std::size_t cached_tokens = 0;
    std::size_t recomputed_tokens = 0;
    bool cancelled = false;
    boost::asio::steady_timer wake_timer; // cancelled when the run is cancelled or may start
  };
  using run_pointer = std::shared_ptr<run>;

  struct load_report {
    std::int64_t running = 0;
    std::int64_t waiting = 0;
    std::int64_t kv_used = 0;
  };

  boost::asio::awaitable<void> complete(fake_request received, http::response_writer& w);
  boost::asio::awaitable<void> wait_for_slot(run_pointer run);
  boost::asio::awaitable<void> generate(run_pointer run, http::response_writer& w);
  boost::asio::awaitable<bool> generate_tokens(run_pointer run, http::response_writer& w);
  boost::asio::awaitable<void> interruptible_sleep(run_pointer run,
                                                   std::chrono::duration<double, std::milli> t);
  boost::asio::awaitable<void> import_kv(fake_request received, http::response_writer& w);
  boost::asio::awaitable<void> handle_order(fake_request received, http::response_writer& w);
  fake_reply dispatch(const fake_request& received);
  fake_reply inject_failure(const boost::json::value& body);
  fake_reply cancel(const std::string& request_id);
  [[nodiscard]] fake_reply export_kv(const std::string& request_id) const;
  fake_reply store_imported_kv(const boost::json::value& kv);
  [[nodiscard]] fake_reply kv_state(const std::string& handle) const;
  [[nodiscard]] fake_reply cache_events_after(std::string_view number) const;
  [[nodiscard]] fake_reply load() const;
  [[nodiscard]] std::optional<fake_reply> validation_error(const run& wanted) const;
  bool should_cut(const run& running);
  std::size_t prefill(run& started);
  void cancel(run& wanted);
  void finish_run(const run_pointer& ended);
  void record_load();

  model_engine_settings settings_;
  http::client client_; // fetches KV state from other engines
  prefix_cache cache_;
  std::set<std::string> models_;
  // Tokens with imported KV state, by answer_hash().
  std::map<std::uint64_t, std::size_t> imported_tokens_;
  std::map<std::string, run_pointer> by_request_id_;
  std::list<run_pointer> waiting_;
  std::set<run_pointer> running_;
  value_history<load_report> load_history_;
  std::optional<std::size_t> cut_after_tokens_;
  std::int64_t remaining_cuts_ = 0;
  std::int64_t highest_fencing_number_ = 0;
  std::map<std::string, std::int64_t> runs_;
  std::map<std::string, std::int64_t> resumes_;
  std::map<std::string, std::int64_t> requests_;
  std::vector<std::string> started_;
  std::vector<std::string> cancelled_;
  std::vector<std::int64_t> received_at_;
  boost::json::array orders_;
  std::size_t recomputed_tokens_ = 0;
  std::size_t prefilled_tokens_ = 0;
};

} // namespace wisteriaflow::fakes

#endif // WISTERIAFLOW_TEST_FAKES_FAKE_MODEL_ENGINE_H_
