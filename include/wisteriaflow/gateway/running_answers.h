// The requests that run at endpoints for this daemon's callers, by their content, and how far the
// answer to each has come.
//
//   running_answers running;
//   running_answers::entry one(running, content, {.by = process, .sent_at = now});
//   one.set_progress({.position = 3, .time = elapsed});
//   for (const auto& it : running.find(content)) { ... } // without it once `one` is destroyed

#ifndef WISTERIAFLOW_GATEWAY_RUNNING_ANSWERS_H_
#define WISTERIAFLOW_GATEWAY_RUNNING_ANSWERS_H_

#include <map>
#include <memory>
#include <vector>

#include "wisteriaflow/base/time.h"
#include "wisteriaflow/gateway/answer_progress.h"
#include "wisteriaflow/gateway/endpoint_process.h"
#include "wisteriaflow/gateway/request_content.h"

namespace wisteriaflow::gateway {

struct running_answer {
  endpoint_process by;
  wall_time sent_at; // by the fleet's common clock
  answer_progress progress;

  friend bool operator==(const running_answer&, const running_answer&) = default;
};

// Not thread-safe.
class running_answers {
  using answer_map = std::multimap<content_id, running_answer>;

 public:
  // A request that runs as long as the object lives. It may outlive the running_answers: coroutines
  // that wait are destroyed with their context, which is after everything that they use.
  class entry {
   public:
    entry(running_answers& in, const content_id& content, const running_answer& answer)
        : answers_(in.answers_), it_(answers_->emplace(content, answer))
    {
    }
    entry(const entry&) = delete;
    entry& operator=(const entry&) = delete;
    ~entry() { answers_->erase(it_); }

    void set_progress(const answer_progress& progress) { it_->second.progress = progress; }

   private:
    std::shared_ptr<answer_map> answers_;
    answer_map::iterator it_;
  };

  // The requests with this content.
  [[nodiscard]] std::vector<running_answer> find(const content_id& content) const;

 private:
  std::shared_ptr<answer_map> answers_ = std::make_shared<answer_map>();
};

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_RUNNING_ANSWERS_H_
