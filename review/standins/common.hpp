// Parts that the stand-ins of the review share: sockets, HTTP/1.1 messages, the platform's store,
// child processes and the record of a run.

#pragma once

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <arpa/inet.h>
#include <boost/json.hpp>
#include <linux/filter.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>

namespace review {

namespace json = boost::json;

// Milliseconds of the monotonic clock, which all processes of a machine share.
inline std::int64_t now_ms()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

inline void sleep_ms(std::int64_t ms)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

// --- Sockets. All addresses are loopback ones.

struct address {
  std::string host = "127.0.0.1";
  int port = 0;

  [[nodiscard]] std::string text() const { return host + ":" + std::to_string(port); }
};

inline address parse_address(const std::string& text)
{
  const auto colon = text.rfind(':');
  return {.host = text.substr(0, colon), .port = std::stoi(text.substr(colon + 1))};
}

inline sockaddr_in to_sockaddr(const address& a)
{
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(static_cast<std::uint16_t>(a.port));
  inet_pton(AF_INET, a.host.c_str(), &out.sin_addr);
  return out;
}

// A listening socket on a port that the kernel chooses if it is 0; sets the port.
inline int listen_on(address& a)
{
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  auto name = to_sockaddr(a);
  if (::bind(fd, reinterpret_cast<sockaddr*>(&name), sizeof name) != 0 || ::listen(fd, 512) != 0) {
    throw std::runtime_error("cannot listen on " + a.text());
  }
  socklen_t size = sizeof name;
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&name), &size);
  a.port = ntohs(name.sin_port);
  return fd;
}

// Different free ports of `host`, as far as the kernel knows at this moment.
inline std::vector<address> free_addresses(const std::string& host, std::size_t count)
{
  std::vector<address> out(count, address{.host = host});
  std::vector<int> bound;
  for (auto& a : out) {
    bound.push_back(listen_on(a));
  }
  for (const int fd : bound) {
    ::close(fd);
  }
  return out;
}

inline address free_address(const std::string& host)
{
  return free_addresses(host, 1).front();
}

inline void set_timeout(int fd, std::int64_t ms)
{
  const timeval limit{.tv_sec = ms / 1000, .tv_usec = (ms % 1000) * 1000};
  ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  ::setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
}

inline void no_delay(int fd)
{
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

// Returns -1 if the connection is not established within a second.
inline int connect_to(const address& a)
{
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  set_timeout(fd, 1000);
  const auto name = to_sockaddr(a);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&name), sizeof name) != 0) {
    ::close(fd);
    return -1;
  }
  no_delay(fd);
  return fd;
}

inline bool write_all(int fd, std::string_view bytes)
{
  while (!bytes.empty()) {
    const auto n = ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (n <= 0) {
      return false;
    }
    bytes.remove_prefix(static_cast<std::size_t>(n));
  }
  return true;
}

// --- HTTP/1.1 messages.

inline std::string lower(std::string text)
{
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return text;
}

struct message {
  std::string first_line;                    // of the request, or of the answer
  std::map<std::string, std::string> fields; // names in lower case
  std::string body;

  [[nodiscard]] std::string field(const std::string& name) const
  {
    const auto it = fields.find(name);
    return it == fields.end() ? "" : it->second;
  }
  [[nodiscard]] std::string method() const { return first_line.substr(0, first_line.find(' ')); }
  [[nodiscard]] std::string target() const
  {
    const auto begin = first_line.find(' ') + 1;
    return first_line.substr(begin, first_line.find(' ', begin) - begin);
  }
  [[nodiscard]] int status() const
  {
    return first_line.size() < 12 ? 0 : std::atoi(first_line.c_str() + 9);
  }
};

// Reads messages from one connection.
class reader {
 public:
  explicit reader(int fd) : fd_(fd) {}

  // The head of the next message; nothing if the connection ends or times out before.
  std::optional<message> head()
  {
    std::size_t end = 0;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
      if (!more()) {
        return std::nullopt;
      }
    }
    message out;
    std::istringstream lines(buffer_.substr(0, end));
    buffer_.erase(0, end + 4);
    std::string line;
    std::getline(lines, line);
    out.first_line = line.substr(0, line.find('\r'));
    while (std::getline(lines, line)) {
      line = line.substr(0, line.find('\r'));
      const auto colon = line.find(':');
      if (colon == std::string::npos) {
        continue;
      }
      const auto begin = line.find_first_not_of(' ', colon + 1);
      out.fields[lower(line.substr(0, colon))] =
          begin == std::string::npos ? "" : line.substr(begin);
    }
    return out;
  }

  // Reads a body by its length or in chunks. Returns whether it is whole.
  bool body(message& of, const std::function<void(std::string_view)>& on_bytes = nullptr)
  {
    const auto take = [&](std::size_t n) {
      const auto bytes = buffer_.substr(0, n);
      buffer_.erase(0, n);
      of.body += bytes;
      if (on_bytes) {
        on_bytes(bytes);
      }
    };
    if (lower(of.field("transfer-encoding")) == "chunked") {
      for (;;) {
        std::size_t end = 0;
        while ((end = buffer_.find("\r\n")) == std::string::npos) {
          if (!more()) {
            return false;
          }
        }
        const auto size = std::stoul(buffer_.substr(0, end), nullptr, 16);
        buffer_.erase(0, end + 2);
        while (buffer_.size() < size + 2) {
          if (!more()) {
            return false;
          }
        }
        if (size > 0) {
          take(size);
        }
        buffer_.erase(0, 2);
        if (size == 0) {
          return true;
        }
      }
    }
    const auto stated = of.field("content-length");
    const std::size_t length = stated.empty() ? 0 : std::stoul(stated);
    while (buffer_.size() < length) {
      if (!more()) {
        return false;
      }
    }
    take(length);
    return true;
  }

 private:
  bool more()
  {
    char bytes[8192];
    const auto n = ::recv(fd_, bytes, sizeof bytes, 0);
    if (n <= 0) {
      return false;
    }
    buffer_.append(bytes, static_cast<std::size_t>(n));
    return true;
  }

  int fd_;
  std::string buffer_;
};

inline std::string answer_text(int status, const std::string& body,
                               const std::string& more_fields = "")
{
  return "HTTP/1.1 " + std::to_string(status) + " -\r\nContent-Type: application/json\r\n" +
         more_fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// One call on a connection of its own; status 0 without an answer.
inline std::pair<int, std::string> call(const address& to, const std::string& method,
                                        const std::string& target, const std::string& body = "",
                                        std::int64_t timeout = 2000)
{
  const int fd = connect_to(to);
  if (fd < 0) {
    return {0, ""};
  }
  set_timeout(fd, timeout);
  write_all(fd, method + " " + target + " HTTP/1.1\r\nHost: " + to.text() +
                    "\r\nConnection: close\r\nContent-Type: application/json\r\nContent-Length: " +
                    std::to_string(body.size()) + "\r\n\r\n" + body);
  reader in(fd);
  auto answer = in.head();
  const bool whole = answer && in.body(*answer);
  ::close(fd);
  return whole ? std::pair(answer->status(), answer->body) : std::pair(0, std::string());
}

// Serves each connection on a thread of its own; `serve` returns whether the connection stays.
class server {
 public:
  using handler = std::function<bool(int fd, message request)>;

  server(address& at, handler serve) : serve_(std::move(serve)), fd_(listen_on(at))
  {
    std::thread([this] {
      for (;;) {
        const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd >= 0) {
          no_delay(fd);
          std::thread([this, fd] { run(fd); }).detach();
        }
      }
    }).detach();
  }

 private:
  void run(int fd)
  {
    reader in(fd);
    for (auto request = in.head(); request; request = in.head()) {
      if (!in.body(*request) || !serve_(fd, std::move(*request))) {
        break;
      }
    }
    ::close(fd);
  }

  handler serve_;
  int fd_;
};

// --- The platform's store, and its API for duties, which accepts every call.

class platform {
 public:
  platform()
      : store_([this](int fd, message r) { return serve_store(fd, std::move(r)); }),
        cloud_([this](int fd, message r) { return serve_cloud(fd, std::move(r)); })
  {
    store_server_ = std::make_unique<server>(store_address, store_);
    cloud_server_ = std::make_unique<server>(cloud_address, cloud_);
    std::thread([this] { expire(); }).detach();
  }

  address store_address;
  address cloud_address;
  // Answers a call of a duty; set before the machines start. Without it every call gets 200.
  std::function<int(const message&)> on_duty_call;

  // Writes an object as the operator does. Returns its revision: the ack.
  std::uint64_t put(const std::string& kind, const std::string& name, json::value spec)
  {
    const std::lock_guard lock(mutex_);
    return write(kind, name, std::move(spec), false);
  }

 private:
  struct object {
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    json::value spec;
    json::value status;
    bool deleted = false;
    std::int64_t written_at = 0;
  };
  struct change {
    std::uint64_t revision = 0;
    std::string kind;
    json::value event;
  };

  static json::value render(const std::string& name, const object& o)
  {
    return {{"metadata",
             {{"name", name},
              {"revision", o.revision},
              {"created", o.created},
              {"finalizers", json::array{}},
              {"deleting", false}}},
            {"spec", o.spec},
            {"status", o.status}};
  }

  std::uint64_t write(const std::string& kind, const std::string& name, json::value spec,
                      bool deleted)
  {
    auto& o = kinds_[kind][name];
    const bool is_new = o.revision == 0 || o.deleted;
    o.written_at = now_ms();
    if (!is_new && !deleted && o.spec == spec) {
      return o.revision;
    }
    o.revision = ++revision_;
    o.created = is_new ? revision_ : o.created;
    o.deleted = deleted;
    if (!deleted) {
      o.spec = std::move(spec);
    }
    log_.push_back({revision_, kind, {{"object", render(name, o)}, {"deleted", deleted}}});
    changed_.notify_all();
    return revision_;
  }

  // Entries of runners that have been silent for three check-in intervals are removed.
  void expire()
  {
    for (;;) {
      sleep_ms(200);
      const std::lock_guard lock(mutex_);
      for (auto& [name, o] : kinds_["servers"]) {
        if (!o.deleted && o.written_at + 3 * 1200 < now_ms()) {
          write("servers", name, nullptr, true);
        }
      }
    }
  }

  static std::string query_of(const std::string& target, const std::string& name)
  {
    const auto mark = target.find('?');
    std::istringstream parts(mark == std::string::npos ? "" : target.substr(mark + 1));
    std::string part;
    while (std::getline(parts, part, '&')) {
      if (part.starts_with(name + "=")) {
        return part.substr(name.size() + 1);
      }
    }
    return "";
  }

  std::string list(const std::string& kind, const std::string& after)
  {
    json::array items;
    for (const auto& [name, o] : kinds_[kind]) {
      if (!o.deleted && name > after) {
        items.push_back(render(name, o));
      }
    }
    return json::serialize(
        json::value{{"items", std::move(items)}, {"hasMore", false}, {"at", revision_}});
  }

  std::string watch(std::unique_lock<std::mutex>& lock, const std::string& kind,
                    std::uint64_t after, std::int64_t wait)
  {
    const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(wait);
    json::array events;
    for (;;) {
      for (const auto& c : log_) {
        if (c.kind == kind && c.revision > after) {
          events.push_back(c.event);
        }
      }
      if (!events.empty() || changed_.wait_until(lock, until) == std::cv_status::timeout) {
        break;
      }
    }
    return json::serialize(json::value{{"events", std::move(events)}, {"at", revision_}});
  }

  bool serve_store(int fd, message r)
  {
    sleep_ms(4);
    const auto target = r.target();
    const auto path = target.substr(0, target.find('?'));
    std::vector<std::string> parts;
    std::istringstream split(path);
    for (std::string part; std::getline(split, part, '/');) {
      parts.push_back(part);
    }
    std::unique_lock lock(mutex_);
    if (parts.size() < 3 || parts[1] != "objects") {
      return write_all(fd, answer_text(404, "{}"));
    }
    const auto& kind = parts[2];
    const auto name = parts.size() > 3 ? parts[3] : std::string();
    const auto method = r.method();
    if (method == "GET" && name.empty()) {
      const auto since = query_of(target, "watch");
      const auto wait = query_of(target, "waitMs");
      auto body = since.empty()
                      ? list(kind, query_of(target, "after"))
                      : watch(lock, kind, std::stoull(since), wait.empty() ? 0 : std::stoll(wait));
      lock.unlock();
      return write_all(fd, answer_text(200, body));
    }
    const auto sent = r.body.empty() ? json::value() : json::parse(r.body);
    const auto named =
        method == "POST" ? std::string(sent.at("metadata").at("name").as_string()) : name;
    auto& o = kinds_[kind][named];
    const bool present = o.revision != 0 && !o.deleted;
    int status = 200;
    if (method == "POST") {
      status = present ? 409 : 200;
    } else if (!present) {
      status = 404;
    } else if (method == "PUT") {
      const auto* metadata = sent.as_object().if_contains("metadata");
      const auto* base =
          metadata == nullptr ? nullptr : metadata->as_object().if_contains("revision");
      status = base != nullptr && base->to_number<std::uint64_t>() != o.revision ? 409 : 200;
    }
    if (status == 200 && (method == "POST" || method == "PUT")) {
      if (parts.size() > 4) {
        o.status = sent.at("status");
        o.revision = ++revision_;
        log_.push_back({revision_, kind, {{"object", render(named, o)}, {"deleted", false}}});
        changed_.notify_all();
      } else {
        write(kind, named, sent.at("spec"), false);
      }
    } else if (status == 200 && method == "DELETE") {
      write(kind, named, nullptr, true);
    }
    const auto body = status == 404 ? "{}" : json::serialize(render(named, o));
    lock.unlock();
    return write_all(fd, answer_text(status, body));
  }

  bool serve_cloud(int fd, const message& r)
  {
    return write_all(fd, answer_text(on_duty_call ? on_duty_call(r) : 200, "{}"));
  }

  server::handler store_;
  server::handler cloud_;
  std::unique_ptr<server> store_server_;
  std::unique_ptr<server> cloud_server_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::uint64_t revision_ = 0;
  std::map<std::string, std::map<std::string, object>> kinds_;
  std::vector<change> log_;
};

// --- A link of one machine to the platform, which can be cut.

// A proxy. While the link is cut, it drops every packet that arrives on the machine's side, those
// of new channels too: the machine's TCP gets no acknowledgement and sends again at times of its
// own, as over a partitioned network. Nothing that the machine has sent is lost or held here.
class link {
 public:
  explicit link(address to) : to_(std::move(to)), listener_(listen_on(at))
  {
    std::thread([this] { accept_all(); }).detach();
  }

  address at;

  void set_cut(bool cut)
  {
    const std::lock_guard lock(mutex_);
    cut_ = cut;
    apply(listener_);
    for (const int fd : open_) {
      apply(fd);
    }
  }

 private:
  void apply(int fd) const
  {
    sock_filter drop_all[] = {{BPF_RET | BPF_K, 0, 0, 0}};
    const sock_fprog filter{.len = 1, .filter = drop_all};
    const int none = 0;
    const int result = cut_ ? ::setsockopt(fd, SOL_SOCKET, SO_ATTACH_FILTER, &filter, sizeof filter)
                            : ::setsockopt(fd, SOL_SOCKET, SO_DETACH_FILTER, &none, sizeof none);
    if (cut_ && result != 0) {
      std::fprintf(stderr, "packets cannot be dropped here\n");
      ::_exit(2);
    }
  }

  void accept_all()
  {
    for (;;) {
      const int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        continue;
      }
      no_delay(fd);
      {
        const std::lock_guard lock(mutex_);
        open_.insert(fd);
        if (cut_) {
          apply(fd);
        }
      }
      std::thread([this, fd] { carry(fd); }).detach();
    }
  }

  static void forward(int from, int to)
  {
    char bytes[8192];
    for (;;) {
      const auto n = ::recv(from, bytes, sizeof bytes, 0);
      if (n <= 0 || !write_all(to, {bytes, static_cast<std::size_t>(n)})) {
        break;
      }
    }
    ::shutdown(to, SHUT_WR);
  }

  void carry(int fd)
  {
    const int server = connect_to(to_);
    if (server >= 0) {
      set_timeout(server, 0);
      std::thread back([&] { forward(server, fd); });
      forward(fd, server);
      back.join();
      ::close(server);
    }
    const std::lock_guard lock(mutex_);
    open_.erase(fd);
    ::close(fd);
  }

  address to_;
  int listener_;
  std::mutex mutex_;
  bool cut_ = false;
  std::set<int> open_;
};

// --- The record of a run.

class record {
 public:
  record() : start_(now_ms()) {}

  void line(std::int64_t at, const std::string& text)
  {
    const std::lock_guard lock(mutex_);
    lines_.emplace_back(at, text);
  }
  void line(const std::string& text) { line(now_ms(), text); }

  // Adds the lines of a stand-in's output, which begin with the time of the shared clock.
  void add_file(const std::string& path, const std::string& who)
  {
    std::ifstream in(path);
    for (std::string text; std::getline(in, text);) {
      const auto space = text.find(' ');
      if (space != std::string::npos && std::isdigit(static_cast<unsigned char>(text[0])) != 0) {
        line(std::stoll(text.substr(0, space)), who + " " + text.substr(space + 1));
      }
    }
  }

  void write(const std::string& path)
  {
    const std::lock_guard lock(mutex_);
    std::stable_sort(lines_.begin(), lines_.end(),
                     [](const auto& a, const auto& b) { return a.first < b.first; });
    std::ofstream out(path);
    for (const auto& [at, text] : lines_) {
      char time[32];
      std::snprintf(time, sizeof time, "%9.3f s  ", static_cast<double>(at - start_) / 1000);
      out << time << text << "\n";
    }
  }

 private:
  std::mutex mutex_;
  std::int64_t start_;
  std::vector<std::pair<std::int64_t, std::string>> lines_;
};

// --- Child processes.

class child {
 public:
  child() = default;
  child(const std::vector<std::string>& arguments, const std::string& output)
  {
    std::vector<char*> raw;
    for (const auto& a : arguments) {
      raw.push_back(const_cast<char*>(a.c_str()));
    }
    raw.push_back(nullptr);
    const int fd = ::open(output.c_str(), O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC, 0644);
    pid_ = ::fork();
    if (pid_ == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL); // ends with this process, however that ends
      ::dup2(fd, 1);
      ::dup2(fd, 2);
      ::execv(raw[0], raw.data());
      ::_exit(127);
    }
    ::close(fd);
  }
  child(const child&) = delete;
  child& operator=(const child&) = delete;
  child(child&& other) noexcept : pid_(std::exchange(other.pid_, 0)) {}
  child& operator=(child&& other) noexcept
  {
    std::swap(pid_, other.pid_);
    return *this;
  }
  ~child() { end(SIGKILL); } // waits until the process has ended

  void signal(int number) const
  {
    if (pid_ > 0) {
      ::kill(pid_, number);
    }
  }
  void end(int number)
  {
    if (pid_ > 0) {
      ::kill(pid_, number);
      ::waitpid(pid_, nullptr, 0);
      pid_ = 0;
    }
  }
  [[nodiscard]] pid_t id() const { return pid_; }

 private:
  pid_t pid_ = 0;
};

// --- Machines of the system: the deploy file's program with the deploy file's template.

struct machine {
  std::string name;
  std::string zone;
  address front;
  address ready;
  address control;
  address directory;
  address metrics;
  std::unique_ptr<link> store; // its own links to the platform
  std::unique_ptr<link> cloud;
  child process;
};

inline void replace(std::string& text, const std::string& what, const std::string& by)
{
  for (auto at = text.find(what); at != std::string::npos; at = text.find(what, at + by.size())) {
    text.replace(at, what.size(), by);
  }
}

// Fills in the template as the platform does, with the bounds of the small deployment twaa-switch.
inline std::string settings_of(const std::string& root, const machine& m, const std::string& seeds)
{
  std::ifstream in(root + "/deploy/gateway.ini.template");
  std::stringstream text;
  text << in.rdbuf();
  auto out = text.str();
  const std::vector<std::pair<std::string, std::string>> values = {
      {"nodeName", m.name},
      {"zone", m.zone},
      {"listen.front", m.front.text()},
      {"listen.directory", m.directory.text()},
      {"listen.ready", m.ready.text()},
      {"listen.control", m.control.text()},
      {"ip", m.metrics.host},
      {"internalPorts.0", std::to_string(m.metrics.port)},
      {"seeds", seeds},
      {"platform.address", m.store->at.text()},
      {"cloud.address", m.cloud->at.text()},
      {"bounds.graceS", "8"},
      {"bounds.drainMs", "2000"},
      {"bounds.quotaSlack", "140000"},
      {"bounds.retryBudgetRatio", "0.2"},
      {"bounds.budgetSlack", "52"},
      {"bounds.budgetWindowS", "10"},
      {"bounds.exposeShare", ""},
      {"bounds.exposeSlack", ""},
      {"bounds.leaseMs", "3000"},
      {"bounds.usageWindowS", "5"},
      {"bounds.usageLateS", "10"}};
  for (const auto& [name, value] : values) {
    replace(out, "{{" + name + "}}", value);
  }
  return out;
}

// A host of the loopback network for this run and machine.
inline std::string loopback_host(int number)
{
  const auto pid = static_cast<unsigned>(::getpid());
  return "127." + std::to_string(1 + pid / 256 % 254) + "." + std::to_string(pid % 256) + "." +
         std::to_string(1 + number);
}

class fleet {
 public:
  // Starts the six machines of the deployment twaa-switch.
  fleet(std::string root, std::string folder, platform& p)
      : root_(std::move(root)), folder_(std::move(folder))
  {
    static const std::vector<std::string> names = {"akl-a-1", "akl-a-2", "akl-b-1",
                                                   "akl-b-2", "akl-c-1", "akl-d-1"};
    for (std::size_t i = 0; i < names.size(); ++i) {
      const auto host = loopback_host(static_cast<int>(i));
      machine m;
      m.zone = names[i].substr(0, 5);
      m.name = "front-" + names[i];
      const auto free = free_addresses(host, 5);
      m.front = free[0];
      m.ready = free[1];
      m.control = free[2];
      m.directory = free[3];
      m.metrics = free[4];
      m.store = std::make_unique<link>(p.store_address);
      m.cloud = std::make_unique<link>(p.cloud_address);
      all.push_back(std::move(m));
    }
    std::string seeds;
    for (std::size_t i = 0; i < std::min<std::size_t>(3, all.size()); ++i) {
      seeds += (i == 0 ? "" : ",") + all[i].control.text();
    }
    for (auto& m : all) {
      const auto file = folder_ + "/" + m.name + ".ini";
      std::ofstream(file) << settings_of(root_, m, seeds);
      m.process = child({root_ + "/target/wisteriaflow-gatewayd", "--config=" + file},
                        folder_ + "/" + m.name + ".log");
    }
  }

  // Whether every machine answers its readiness check with 200 within `limit` ms.
  bool await_ready(std::int64_t limit) const
  {
    const auto until = now_ms() + limit;
    for (const auto& m : all) {
      while (call(m.ready, "GET", "/ready").first != 200) {
        if (now_ms() > until) {
          return false;
        }
        sleep_ms(100);
      }
    }
    return true;
  }

  std::vector<machine> all;

 private:
  std::string root_;
  std::string folder_;
};

} // namespace review
