#include "harness.hpp"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <iterator>
#include <random>
#include <sstream>
#include <stdexcept>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>

namespace review {
namespace {

const auto program_start = steady::now();

sockaddr_in loopback(int port)
{
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(static_cast<std::uint16_t>(port));
  out.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return out;
}

int bound_socket(int& port)
{
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  auto address = loopback(0);
  if (::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
    throw std::runtime_error("cannot bind a socket");
  }
  socklen_t size = sizeof address;
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  port = ntohs(address.sin_port);
  return fd;
}

std::string query_value(const std::string& target, const std::string& key)
{
  const auto question = target.find('?');
  if (question == std::string::npos) {
    return "";
  }
  std::istringstream in(target.substr(question + 1));
  std::string pair;
  while (std::getline(in, pair, '&')) {
    if (pair.starts_with(key + "=")) {
      return pair.substr(key.size() + 1);
    }
  }
  return "";
}

std::uint64_t revision_of(const json::value& body, const std::string& target)
{
  const auto in_query = query_value(target, "revision");
  if (!in_query.empty()) {
    return std::stoull(in_query);
  }
  if (body.is_object()) {
    if (const auto* metadata = body.as_object().if_contains("metadata")) {
      if (const auto* revision = metadata->as_object().if_contains("revision")) {
        return revision->to_number<std::uint64_t>();
      }
    }
  }
  return 0;
}

} // namespace

double now_s()
{
  return std::chrono::duration<double>(steady::now() - program_start).count();
}

void sleep_until_s(double t)
{
  std::this_thread::sleep_until(program_start + std::chrono::duration_cast<steady::duration>(
                                                    std::chrono::duration<double>(t)));
}

void recorder::line(const std::string& text)
{
  char at[32];
  std::snprintf(at, sizeof at, "%9.3f  ", now_s());
  const std::lock_guard lock(mutex_);
  out_ << at << text << '\n' << std::flush;
}

std::string message::header(const std::string& name) const
{
  for (const auto& [key, value] : headers) {
    if (::strcasecmp(key.c_str(), name.c_str()) == 0) {
      return value;
    }
  }
  return "";
}

stream::~stream()
{
  ::close(fd_);
}

std::unique_ptr<stream> stream::connect(int port, ms timeout)
{
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  auto out = std::make_unique<stream>(fd);
  const int flags = ::fcntl(fd, F_GETFL);
  ::fcntl(fd, F_SETFL, flags | O_NONBLOCK);
  auto address = loopback(port);
  if (::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
    if (errno != EINPROGRESS) {
      return nullptr;
    }
    pollfd p{.fd = fd, .events = POLLOUT, .revents = 0};
    if (::poll(&p, 1, static_cast<int>(timeout.count())) != 1) {
      return nullptr;
    }
    int error = 0;
    socklen_t size = sizeof error;
    ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) {
      return nullptr;
    }
  }
  ::fcntl(fd, F_SETFL, flags);
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return out;
}

bool stream::write(const std::string& bytes)
{
  std::size_t done = 0;
  while (done < bytes.size()) {
    const auto n = ::send(fd_, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
    if (n <= 0) {
      return false;
    }
    done += static_cast<std::size_t>(n);
  }
  return true;
}

bool stream::fill()
{
  timed_out_ = false;
  int wait = -1;
  if (deadline_ != steady::time_point::max()) {
    const auto left = std::chrono::ceil<ms>(deadline_ - steady::now()).count();
    wait = static_cast<int>(std::max<std::int64_t>(0, left));
  }
  pollfd p{.fd = fd_, .events = POLLIN, .revents = 0};
  if (::poll(&p, 1, wait) != 1) {
    timed_out_ = true;
    return false;
  }
  char bytes[16384];
  const auto n = ::recv(fd_, bytes, sizeof bytes, 0);
  if (n <= 0) {
    return false;
  }
  buffer_.append(bytes, static_cast<std::size_t>(n));
  return true;
}

bool stream::is_closed_by_peer()
{
  char byte = 0;
  const auto n = ::recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

bool stream::read_line(std::string& out)
{
  auto end = buffer_.find("\r\n");
  while (end == std::string::npos) {
    if (!fill()) {
      return false;
    }
    end = buffer_.find("\r\n");
  }
  out = buffer_.substr(0, end);
  buffer_.erase(0, end + 2);
  return true;
}

bool stream::read_bytes(std::size_t n, std::string& out)
{
  while (buffer_.size() < n) {
    if (!fill()) {
      return false;
    }
  }
  out.append(buffer_, 0, n);
  buffer_.erase(0, n);
  return true;
}

std::optional<message> stream::read_message(bool is_response)
{
  message out;
  std::string line;
  partial_.clear();
  if (!read_line(line)) {
    return std::nullopt;
  }
  std::istringstream first(line);
  if (is_response) {
    std::string version;
    first >> version >> out.status;
  } else {
    first >> out.method >> out.target;
  }
  for (;;) {
    if (!read_line(line)) {
      return std::nullopt;
    }
    if (line.empty()) {
      break;
    }
    const auto colon = line.find(':');
    if (colon == std::string::npos) {
      return std::nullopt;
    }
    auto value = line.substr(colon + 1);
    value.erase(0, value.find_first_not_of(" \t"));
    out.headers.emplace_back(line.substr(0, colon), value);
  }
  const auto length = out.header("Content-Length");
  if (!length.empty()) {
    return read_bytes(std::stoull(length), out.body) ? std::optional(out) : std::nullopt;
  }
  if (out.header("Transfer-Encoding") == "chunked") {
    for (;;) {
      partial_ = out.body;
      if (!read_line(line)) {
        return std::nullopt;
      }
      const auto size = std::stoull(line, nullptr, 16);
      if (size > 0 && !read_bytes(size, out.body)) {
        return std::nullopt;
      }
      if (!read_line(line)) {
        return std::nullopt;
      }
      if (size == 0) {
        return out;
      }
    }
  }
  if (is_response && out.status != 204 && out.status != 304) {
    while (fill()) {
    }
    if (timed_out_) {
      return std::nullopt;
    }
    out.body = std::exchange(buffer_, "");
  }
  return out;
}

struct server::shared_state {
  std::mutex mutex;
  std::set<int> open; // connections
  bool is_closed = false;
};

server::server(handler on_request)
    : on_request_(std::move(on_request)), state_(std::make_shared<shared_state>())
{
  listener_ = bound_socket(port_);
  ::listen(listener_, 1024);
  thread_ = std::thread([this] { accept_all(); });
}

server::~server()
{
  close();
}

void server::close()
{
  if (!thread_.joinable()) {
    return;
  }
  ::shutdown(listener_, SHUT_RDWR);
  thread_.join();
  ::close(listener_);
  const std::lock_guard lock(state_->mutex);
  state_->is_closed = true;
  for (const int fd : state_->open) {
    ::shutdown(fd, SHUT_RDWR); // the connection's thread closes it
  }
}

void server::accept_all()
{
  for (;;) {
    const int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) {
      return;
    }
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    {
      const std::lock_guard lock(state_->mutex);
      state_->open.insert(fd);
    }
    std::thread([this, fd, state = state_] {
      {
        stream connection(fd);
        for (;;) {
          const auto request = connection.read_message(false);
          {
            const std::lock_guard lock(state->mutex);
            if (!request || state->is_closed) {
              state->open.erase(fd);
              break;
            }
          }
          if (!on_request_(*request, connection)) {
            const std::lock_guard lock(state->mutex);
            state->open.erase(fd);
            break;
          }
        }
      }
    }).detach();
  }
}

std::string response_bytes(int status, const std::string& body, const fields& extra)
{
  std::string out = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
  for (const auto& [key, value] : extra) {
    out += key + ": " + value + "\r\n";
  }
  return out + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

store::store() : server_([this](const message& request, stream& to) { return serve(request, to); })
{
}

json::value store::encode(const object& o)
{
  return {{"metadata",
           {{"name", o.name},
            {"revision", o.revision},
            {"created", o.created},
            {"finalizers", json::array()},
            {"deleting", false}}},
          {"spec", o.spec},
          {"status", o.status}};
}

json::value store::change(const std::string& kind, object o, bool deleted)
{
  o.revision = ++revision_;
  if (o.created == 0) {
    o.created = revision_;
  }
  const auto out = encode(o);
  if (deleted) {
    objects_[kind].erase(o.name);
  } else {
    objects_[kind][o.name] = o;
  }
  events_.push_back(
      {.revision = revision_, .kind = kind, .item = std::move(o), .deleted = deleted});
  changed_.notify_all();
  return out;
}

void store::put(const std::string& kind, const std::string& name, json::value spec)
{
  const std::lock_guard lock(mutex_);
  object o{.name = name};
  if (const auto it = objects_[kind].find(name); it != objects_[kind].end()) {
    o = it->second;
  }
  o.spec = std::move(spec);
  change(kind, std::move(o), false);
}

void store::remove(const std::string& kind, const std::string& name)
{
  const std::lock_guard lock(mutex_);
  if (const auto it = objects_[kind].find(name); it != objects_[kind].end()) {
    change(kind, object(it->second), true);
  }
}

json::value store::watch(const std::string& kind, std::uint64_t after, ms wait)
{
  std::unique_lock lock(mutex_);
  const auto until = steady::now() + wait;
  for (;;) {
    json::array events;
    for (const auto& e : events_) {
      if (e.kind == kind && e.revision > after) {
        events.push_back({{"object", encode(e.item)}, {"deleted", e.deleted}});
      }
    }
    if (!events.empty() || steady::now() >= until) {
      return {{"events", std::move(events)}, {"at", revision_}};
    }
    changed_.wait_until(lock, until);
  }
}

bool store::serve(const message& request, stream& to)
{
  std::this_thread::sleep_for(ms(answer_ms));
  const auto [status, body] = answer(request);
  return to.write(
      response_bytes(status, json::serialize(body), {{"Content-Type", "application/json"}}));
}

std::pair<int, json::value> store::answer(const message& request)
{
  const auto path = request.target.substr(0, request.target.find('?'));
  std::vector<std::string> parts;
  std::istringstream in(path);
  for (std::string part; std::getline(in, part, '/');) {
    if (!part.empty()) {
      parts.push_back(part);
    }
  }
  if (parts.size() < 2 || parts[0] != "objects") {
    return {404, json::object()};
  }
  const auto& kind = parts[1];
  const auto name = parts.size() > 2 ? parts[2] : "";
  if (const auto after = query_value(request.target, "watch"); !after.empty()) {
    const auto wait = query_value(request.target, "waitMs");
    return {200, watch(kind, std::stoull(after), ms(wait.empty() ? 0 : std::stoll(wait)))};
  }
  const auto body = request.body.empty() ? json::value() : json::parse(request.body);
  const std::lock_guard lock(mutex_);
  auto& all = objects_[kind];
  if (request.method == "GET" && name.empty()) {
    json::array items;
    for (const auto& [key, o] : all) {
      items.push_back(encode(o));
    }
    return {200, {{"items", std::move(items)}, {"hasMore", false}, {"at", revision_}}};
  }
  if (request.method == "POST") {
    object o{.name = json::value_to<std::string>(body.at("metadata").at("name")),
             .spec = body.at("spec")};
    if (const auto it = all.find(o.name); it != all.end()) {
      return {409, encode(it->second)};
    }
    return {200, change(kind, std::move(o), false)};
  }
  const auto it = all.find(name);
  if (it == all.end()) {
    return {404, json::object()};
  }
  if (request.method == "GET") {
    return {200, encode(it->second)};
  }
  const auto expected = revision_of(body, request.target);
  if (expected != 0 && expected != it->second.revision) {
    return {409, encode(it->second)};
  }
  object o = it->second;
  if (request.method == "DELETE") {
    return {200, change(kind, std::move(o), true)};
  }
  const bool is_status = parts.size() > 3;
  auto& part = is_status ? o.status : o.spec;
  const auto& wanted = body.at(is_status ? "status" : "spec");
  if (part == wanted) {
    return {200, encode(o)}; // changes nothing
  }
  part = wanted;
  return {200, change(kind, std::move(o), false)};
}

int free_port()
{
  // The socket stays bound, so that nobody else gets the port; it does not listen, so that the
  // daemon can bind the same port.
  int port = 0;
  bound_socket(port);
  return port;
}

front_daemon::front_daemon(std::string name, std::string zone, std::string folder,
                           std::string store, std::string cloud,
                           std::map<std::string, std::string> bounds)
    : name_(std::move(name)), zone_(std::move(zone)), folder_(std::move(folder)),
      store_(std::move(store)), cloud_(std::move(cloud)), bounds_(std::move(bounds))
{
}

front_daemon::~front_daemon()
{
  kill_now();
}

std::string front_daemon::settings() const
{
  std::map<std::string, std::string> values = {
      {"nodeName", name_},
      {"zone", zone_},
      {"listen.front", "127.0.0.1:" + std::to_string(front_)},
      {"listen.directory", "127.0.0.1:" + std::to_string(directory_)},
      {"listen.ready", "127.0.0.1:" + std::to_string(ready_)},
      {"listen.control", control()},
      {"ip", "127.0.0.1"},
      {"internalPorts.0", std::to_string(metrics_)},
      {"seeds", seeds_},
      {"platform.address", store_},
      {"cloud.address", cloud_}};
  for (const auto& [key, value] : bounds_) {
    values["bounds." + key] = value;
  }
  std::ifstream in("deploy/gateway.ini.template");
  if (!in) {
    throw std::runtime_error("no deploy/gateway.ini.template here");
  }
  std::string text{std::istreambuf_iterator<char>(in), {}};
  for (auto begin = text.find("{{"); begin != std::string::npos; begin = text.find("{{")) {
    const auto end = text.find("}}", begin);
    const auto found = values.find(text.substr(begin + 2, end - begin - 2));
    text.replace(begin, end + 2 - begin, found == values.end() ? "" : found->second);
  }
  return text;
}

void front_daemon::start()
{
  const auto file = folder_ + "/" + name_ + ".ini";
  std::ofstream(file) << settings();
  const auto log = folder_ + "/" + name_ + ".log";
  pid_ = ::fork();
  if (pid_ == 0) {
    const int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::dup2(fd, STDOUT_FILENO);
    ::dup2(fd, STDERR_FILENO);
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const rlimit limit{.rlim_cur = max_descriptors_, .rlim_max = max_descriptors_};
    ::setrlimit(RLIMIT_NOFILE, &limit);
    const auto config = "--config=" + file;
    ::execl("target/wisteriaflow-gatewayd", "target/wisteriaflow-gatewayd", config.c_str(),
            static_cast<char*>(nullptr));
    ::_exit(127);
  }
}

void front_daemon::signal(int number)
{
  if (pid_ > 0) {
    ::kill(pid_, number);
  }
}

void front_daemon::kill_now()
{
  if (pid_ > 0) {
    ::kill(pid_, SIGCONT);
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
    pid_ = -1;
  }
}

bool front_daemon::is_running()
{
  int status = 0;
  if (pid_ > 0 && ::waitpid(pid_, &status, WNOHANG) == pid_) {
    pid_ = -1;
    ended_by_ = WIFSIGNALED(status) ? WTERMSIG(status) : 0;
  }
  return pid_ > 0;
}

bool front_daemon::is_ready()
{
  const auto connection = stream::connect(ready_, ms(500));
  if (!connection) {
    return false;
  }
  connection->set_deadline(steady::now() + ms(1000));
  connection->write("GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
  const auto reply = connection->read_message(true);
  return reply && reply->status == 200;
}

bool front_daemon::await_ready(double until)
{
  while (now_s() < until) {
    if (is_ready()) {
      return true;
    }
    std::this_thread::sleep_for(ms(50));
  }
  return false;
}

std::string front_daemon::last_log_lines() const
{
  std::ifstream in(folder_ + "/" + name_ + ".log");
  std::string text{std::istreambuf_iterator<char>(in), {}};
  constexpr std::size_t most = 2'000;
  return text.size() > most ? text.substr(text.size() - most) : text;
}

std::size_t front_daemon::open_descriptors() const
{
  std::error_code ec;
  std::filesystem::directory_iterator it("/proc/" + std::to_string(pid_) + "/fd", ec);
  return ec ? 0 : static_cast<std::size_t>(std::distance(it, {}));
}

std::map<std::string, std::string> usual_bounds()
{
  return {{"graceS", "8"},       {"drainMs", "2000"},         {"quotaSlack", "140000"},
          {"leaseMs", "3000"},   {"retryBudgetRatio", "0.2"}, {"budgetSlack", "52"},
          {"usageWindowS", "5"}, {"budgetWindowS", "10"},     {"usageLateS", "10"}};
}

temporary_folder::temporary_folder()
{
  std::string name = "/tmp/wisteriaflow-review-XXXXXX";
  if (::mkdtemp(name.data()) == nullptr) {
    throw std::runtime_error("cannot make a temporary folder");
  }
  path_ = name;
}

temporary_folder::~temporary_folder()
{
  std::error_code ec;
  std::filesystem::remove_all(path_, ec);
}

std::string request_id()
{
  static std::mutex mutex;
  static std::mt19937_64 random{std::random_device{}()};
  const std::lock_guard lock(mutex);
  char out[20];
  std::snprintf(out, sizeof out, "%016llx", static_cast<unsigned long long>(random()));
  return out;
}

} // namespace review
