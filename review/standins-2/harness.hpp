// Stand-ins for the platform, the runners and the requesters, and helpers to start daemons, for the
// cases 4 to 8 of this folder's parent. They use blocking sockets on loopback addresses and one
// thread for each connection.

#ifndef WISTERIAFLOW_REVIEW_STANDINS_2_HARNESS_HPP_
#define WISTERIAFLOW_REVIEW_STANDINS_2_HARNESS_HPP_

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <boost/json.hpp>

namespace review {

namespace json = boost::json;
using steady = std::chrono::steady_clock;
using ms = std::chrono::milliseconds;

// Seconds since the start of the program.
double now_s();
void sleep_until_s(double t);

// Lines of record.txt. Thread-safe.
class recorder {
 public:
  explicit recorder(const std::string& path) : out_(path) {}
  void line(const std::string& text);

 private:
  std::mutex mutex_;
  std::ofstream out_;
};

using fields = std::vector<std::pair<std::string, std::string>>;

struct message {
  std::string method;
  std::string target;
  int status = 0; // of a response
  fields headers;
  std::string body;

  [[nodiscard]] std::string header(const std::string& name) const;
};

// A connected socket with a buffer. Reads and writes end at the deadline.
class stream {
 public:
  explicit stream(int fd) : fd_(fd) {}
  ~stream();
  stream(const stream&) = delete;
  stream& operator=(const stream&) = delete;

  // Connects to 127.0.0.1:port; null if that fails.
  static std::unique_ptr<stream> connect(int port, ms timeout);

  void set_deadline(steady::time_point at) { deadline_ = at; }
  bool write(const std::string& bytes);
  // Reads a request, or a response if `is_response`; nullopt if the peer closed the connection, the
  // deadline passed or the bytes are no message. A response without a length ends with the
  // connection.
  std::optional<message> read_message(bool is_response);
  // What the body of the last message in chunks had when it broke off.
  [[nodiscard]] const std::string& partial() const { return partial_; }
  // Whether the last failure was the deadline.
  [[nodiscard]] bool timed_out() const { return timed_out_; }
  // Whether the peer has closed the connection.
  bool is_closed_by_peer();

 private:
  bool fill();
  bool read_line(std::string& out);
  bool read_bytes(std::size_t n, std::string& out);

  int fd_;
  std::string buffer_;
  steady::time_point deadline_ = steady::time_point::max();
  bool timed_out_ = false;
  std::string partial_;
};

// A server on a free loopback port; the handler answers one request and returns whether the
// connection is kept.
class server {
 public:
  using handler = std::function<bool(const message&, stream&)>;

  explicit server(handler on_request);
  ~server();
  // Ends the server as its process would: resets nothing that was sent, accepts nothing any more
  // and closes all connections.
  void close();
  [[nodiscard]] int port() const { return port_; }
  [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

 private:
  void accept_all();

  handler on_request_;
  int listener_ = -1;
  int port_ = 0;
  std::thread thread_;
  struct shared_state;
  std::shared_ptr<shared_state> state_;
};

std::string response_bytes(int status, const std::string& body, const fields& extra = {});

// The platform's metadata store: objects by kind and name, one revision counter, linearizable
// answers, waiting watches.
class store {
 public:
  store();
  [[nodiscard]] std::string address() const { return server_.address(); }

  // Creates or replaces an object, as the operator and the runners do.
  void put(const std::string& kind, const std::string& name, json::value spec);
  void remove(const std::string& kind, const std::string& name);

  std::atomic<int> answer_ms = 0; // time that each answer takes

 private:
  struct object {
    std::string name;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    json::value spec;
    json::value status;
  };
  struct event {
    std::uint64_t revision = 0;
    std::string kind;
    object item;
    bool deleted = false;
  };

  static json::value encode(const object& o);
  bool serve(const message& request, stream& to);
  std::pair<int, json::value> answer(const message& request);
  json::value change(const std::string& kind, object o, bool deleted);
  json::value watch(const std::string& kind, std::uint64_t after, ms wait);

  std::mutex mutex_;
  std::condition_variable changed_;
  std::uint64_t revision_ = 0;
  std::map<std::string, std::map<std::string, object>> objects_;
  std::vector<event> events_;
  server server_;
};

// A free loopback port.
int free_port();

// One daemon, started with the command of the deploy file and settings filled into the template
// that it names.
class front_daemon {
 public:
  front_daemon(std::string name, std::string zone, std::string folder, std::string store,
               std::string cloud, std::map<std::string, std::string> bounds);
  ~front_daemon();
  front_daemon(const front_daemon&) = delete;
  front_daemon& operator=(const front_daemon&) = delete;

  void set_seeds(std::string seeds) { seeds_ = std::move(seeds); }
  void start();
  void signal(int number);
  // Kills the process and waits for its end.
  void kill_now();
  [[nodiscard]] bool is_running();
  // The signal that ended the last process, 0 if none did.
  [[nodiscard]] int ended_by() const { return ended_by_; }
  // Asks GET /ready.
  [[nodiscard]] bool is_ready();
  bool await_ready(double until);
  [[nodiscard]] std::string last_log_lines() const;

  [[nodiscard]] const std::string& name() const { return name_; }
  [[nodiscard]] int front() const { return front_; }
  [[nodiscard]] int directory() const { return directory_; }
  [[nodiscard]] std::string control() const { return "127.0.0.1:" + std::to_string(control_); }
  // Number of descriptors that the process has open.
  [[nodiscard]] std::size_t open_descriptors() const;
  // Later starts limit the process to this many descriptors, as the platform does.
  void set_max_descriptors(std::size_t n) { max_descriptors_ = n; }

 private:
  [[nodiscard]] std::string settings() const;

  std::string name_;
  std::string zone_;
  std::string folder_;
  std::string store_;
  std::string cloud_;
  std::map<std::string, std::string> bounds_;
  std::string seeds_;
  int front_ = free_port();
  int directory_ = free_port();
  int ready_ = free_port();
  int control_ = free_port();
  int metrics_ = free_port();
  std::size_t max_descriptors_ = 4'100;
  pid_t pid_ = -1;
  int ended_by_ = 0;
};

// The bounds of the small deployments, by their names in the settings of a process.
std::map<std::string, std::string> usual_bounds();

// Makes a temporary folder and removes it at the end.
class temporary_folder {
 public:
  temporary_folder();
  ~temporary_folder();
  [[nodiscard]] const std::string& path() const { return path_; }

 private:
  std::string path_;
};

std::string request_id(); // a new one, 16 hexadecimal digits

} // namespace review

#endif // WISTERIAFLOW_REVIEW_STANDINS_2_HARNESS_HPP_
