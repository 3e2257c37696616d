// A small deployment of the project's own programs as separate processes on
// loopback addresses, with stand-ins for replicas, clients and the operator.
// Used by the scripts of the second review (review/6 and later).
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using std::chrono::milliseconds;
using std::chrono::steady_clock;
using headers = std::map<std::string, std::string>;

// Exit codes of a script.
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCannotRun = 2;

inline void SleepMs(int ms) {
  std::this_thread::sleep_for(milliseconds(ms));
}

// What was sent, answered and run, with the time since the start.
class record_file {
 public:
  explicit record_file(const std::string& path) : out_(path) {}

  void Add(const std::string& text) {
    const std::lock_guard lock(mutex_);
    const auto ms =
        std::chrono::duration_cast<milliseconds>(steady_clock::now() - began_)
            .count();
    char time[32];
    std::snprintf(time, sizeof time, "%8.3f s  ",
                  static_cast<double>(ms) / 1000);
    out_ << time << text << std::endl;
  }

 private:
  std::mutex mutex_;
  std::ofstream out_;
  steady_clock::time_point began_ = steady_clock::now();
};

struct address {
  std::string ip;
  int port = 0;

  [[nodiscard]] std::string Text() const {
    return ip + ":" + std::to_string(port);
  }
};

inline sockaddr_in ToSockaddr(const address& at) {
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(static_cast<std::uint16_t>(at.port));
  inet_pton(AF_INET, at.ip.c_str(), &to.sin_addr);
  return to;
}

inline int Listen(address& at) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int one = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  sockaddr_in to = ToSockaddr(at);
  socklen_t size = sizeof to;
  if (::bind(fd, reinterpret_cast<sockaddr*>(&to), size) != 0 ||
      ::listen(fd, 256) != 0) {
    ::close(fd);
    return -1;
  }
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&to), &size);
  at.port = ntohs(to.sin_port);
  return fd;
}

// A port that is free at all these addresses.
inline int FreePort(const std::vector<std::string>& ips) {
  for (int tries = 0; tries < 50; ++tries) {
    address first{.ip = ips[0]};
    std::vector<int> open{Listen(first)};
    bool is_free = open[0] >= 0;
    for (std::size_t i = 1; is_free && i < ips.size(); ++i) {
      address other{.ip = ips[i], .port = first.port};
      open.push_back(Listen(other));
      is_free = open.back() >= 0;
    }
    for (const int fd : open) {
      if (fd >= 0) {
        ::close(fd);
      }
    }
    if (is_free) {
      return first.port;
    }
  }
  return 0;
}

inline std::string LowerCase(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return text;
}

// A connection that reads HTTP messages.
class connection {
 public:
  explicit connection(int fd) : fd_(fd) {
    const int one = 1;
    ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  }
  connection(const connection&) = delete;
  connection& operator=(const connection&) = delete;
  ~connection() { ::close(fd_); }

  static std::unique_ptr<connection> Connect(const address& at) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in to = ToSockaddr(at);
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0) {
      ::close(fd);
      return nullptr;
    }
    return std::make_unique<connection>(fd);
  }

  bool Send(const std::string& bytes) {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
      const ssize_t count =
          ::send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
      if (count <= 0) {
        return false;
      }
      sent += static_cast<std::size_t>(count);
    }
    return true;
  }

  // The first line and the header fields of the next message; false at the end
  // of the connection, after the time, or if the bytes are no message.
  bool ReadHead(std::string& first_line, headers& fields, milliseconds time) {
    const auto until = steady_clock::now() + time;
    std::size_t end = std::string::npos;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill(until)) {
        return false;
      }
    }
    std::istringstream lines(buffer_.substr(0, end));
    buffer_.erase(0, end + 4);
    std::getline(lines, first_line);
    if (first_line.ends_with('\r')) {
      first_line.pop_back();
    }
    fields.clear();
    for (std::string line; std::getline(lines, line);) {
      if (line.ends_with('\r')) {
        line.pop_back();
      }
      const std::size_t colon = line.find(':');
      if (colon == std::string::npos) {
        return false;
      }
      const std::size_t value = line.find_first_not_of(' ', colon + 1);
      fields[LowerCase(line.substr(0, colon))] =
          value == std::string::npos ? std::string() : line.substr(value);
    }
    return true;
  }

  bool ReadBytes(std::size_t count, std::string& bytes, milliseconds time) {
    const auto until = steady_clock::now() + time;
    while (buffer_.size() < count) {
      if (!Fill(until)) {
        return false;
      }
    }
    bytes = buffer_.substr(0, count);
    buffer_.erase(0, count);
    return true;
  }

  // What has arrived beyond the last message that was read.
  std::string Extra(milliseconds time) {
    const auto until = steady_clock::now() + time;
    while (Fill(until)) {
    }
    return buffer_;
  }
  [[nodiscard]] bool at_end() const { return at_end_; }

 private:
  bool Fill(steady_clock::time_point until) {
    const auto left =
        std::chrono::duration_cast<milliseconds>(until - steady_clock::now());
    pollfd waits{.fd = fd_, .events = POLLIN, .revents = 0};
    if (left.count() <= 0 ||
        ::poll(&waits, 1, static_cast<int>(left.count())) <= 0) {
      return false;
    }
    char piece[16384];
    const ssize_t count = ::recv(fd_, piece, sizeof piece, 0);
    if (count <= 0) {
      at_end_ = true;
      return false;
    }
    buffer_.append(piece, static_cast<std::size_t>(count));
    return true;
  }

  int fd_;
  std::string buffer_;
  bool at_end_ = false;
};

struct answer {
  // 0 if there was none.
  int status = 0;
  headers fields;
  std::string body;
  // Why there was none.
  std::string problem;

  [[nodiscard]] std::string Text() const {
    return status == 0 ? "no answer (" + problem + ")"
                       : "status " + std::to_string(status);
  }
};

// Reads an answer as a client does that sent `method`.
inline answer ReadAnswer(connection& from,
                         const std::string& method,
                         milliseconds time) {
  answer read;
  std::string line;
  if (!from.ReadHead(line, read.fields, time)) {
    read.problem = from.at_end() ? "the connection ended" : "none in time";
    return read;
  }
  if (!line.starts_with("HTTP/1.1 ") || line.size() < 12) {
    read.problem = "bytes that are no answer: " + line.substr(0, 60);
    return read;
  }
  const int status = std::atoi(line.c_str() + 9);
  const auto length = read.fields.find("content-length");
  if (method != "HEAD" && length != read.fields.end() &&
      !from.ReadBytes(std::strtoul(length->second.c_str(), nullptr, 10),
                      read.body, time)) {
    read.problem = "the answer is not whole";
    return read;
  }
  read.status = status;
  return read;
}

struct request {
  std::string method = "GET";
  std::string path;
  std::string id;
  std::string key;
  std::string host = "shop.example";
  std::string body;
  int deadline_ms = 3000;

  [[nodiscard]] std::string Bytes() const {
    std::string bytes = method + " " + path + " HTTP/1.1\r\nHost: " + host +
                        "\r\nX-Attempt-Id: " + id +
                        "\r\nX-Deadline-Ms: " + std::to_string(deadline_ms) +
                        "\r\nAuthorization: Bearer " + key + "\r\n";
    if (!body.empty()) {
      bytes += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return bytes + "\r\n" + body;
  }
};

struct arrived_request {
  std::string line;
  headers fields;
  std::string body;

  [[nodiscard]] std::string Field(const std::string& name) const {
    const auto found = fields.find(name);
    return found == fields.end() ? std::string() : found->second;
  }
  [[nodiscard]] std::string Id() const { return Field("x-attempt-id"); }
};

// The head of a replica's answer up to its framing.
inline std::string AnswerHead(const arrived_request& to) {
  return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + to.Id() +
         "\r\nX-Response-Seal: seal-" + to.Id() + "\r\n";
}

inline std::string WholeAnswer(const arrived_request& to,
                               const std::string& body) {
  return AnswerHead(to) + "Content-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

// A replica. `serve` answers a request, and returns false to close the
// connection afterwards.
class replica {
 public:
  using serve_function =
      std::function<bool(connection& to, const arrived_request& request)>;

  replica(record_file& record,
          std::string id,
          std::string service,
          std::string zone,
          std::string ip,
          serve_function serve)
      : record_(record),
        id_(std::move(id)),
        service_(std::move(service)),
        zone_(std::move(zone)),
        at_{.ip = std::move(ip)},
        serve_(std::move(serve)) {
    Open();
  }

  ~replica() { End(); }
  replica(const replica&) = delete;
  replica& operator=(const replica&) = delete;

  // Its process ends: its connections break and its address refuses new ones.
  void Crash() {
    announces_ = false;
    End();
    record_.Add("replica " + id_ + " crashes");
  }
  // It starts again under its id.
  void StartAgain() {
    {
      const std::lock_guard lock(mutex_);
      sequence_ = 0;
      born_ = NowMs();
    }
    Open();
    announces_ = true;
    record_.Add("replica " + id_ + " is back");
  }
  [[nodiscard]] bool announces() const { return announces_; }

  [[nodiscard]] bool listens() const { return listener_ >= 0; }
  [[nodiscard]] const std::string& id() const { return id_; }
  [[nodiscard]] const std::string& service() const { return service_; }
  [[nodiscard]] int runs() const { return runs_; }

  std::string NextHeartbeat() {
    const std::lock_guard lock(mutex_);
    return R"({"service":")" + service_ + R"(","address":")" + at_.Text() +
           R"(","zone":")" + zone_ +
           R"(","version":"v1","slots":16,"phase":"ready","cold_remaining_ms":0,"seq":)" +
           std::to_string(++sequence_) + R"(,"born":)" + std::to_string(born_) +
           "}";
  }

 private:
  static std::int64_t NowMs() {
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
  }

  void Open() {
    listener_ = Listen(at_);
    if (listener_ >= 0) {
      acceptor_ = std::thread([this] { Accept(); });
    }
  }

  void End() {
    if (acceptor_.joinable()) {
      ::shutdown(listener_, SHUT_RDWR);
      acceptor_.join();
      ::close(listener_);
      listener_ = -1;
    }
    while (true) {
      {
        const std::lock_guard lock(mutex_);
        if (open_.empty()) {
          return;
        }
        for (const int fd : open_) {
          ::shutdown(fd, SHUT_RDWR);
        }
      }
      SleepMs(5);
    }
  }

  void Accept() {
    while (true) {
      const int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        return;
      }
      {
        const std::lock_guard lock(mutex_);
        open_.insert(fd);
      }
      std::thread([this, fd] {
        connection client(fd);
        Serve(client);
        const std::lock_guard lock(mutex_);
        open_.erase(fd);
      }).detach();
    }
  }

  void Serve(connection& client) {
    arrived_request arrived;
    while (client.ReadHead(arrived.line, arrived.fields,
                           std::chrono::minutes(5))) {
      const std::string length = arrived.Field("content-length");
      arrived.body.clear();
      if (!length.empty() &&
          !client.ReadBytes(std::strtoul(length.c_str(), nullptr, 10),
                            arrived.body, std::chrono::seconds(10))) {
        return;
      }
      const std::string expected = arrived.Field("x-expect-instance");
      if (!expected.empty() && expected != id_) {
        record_.Add("replica " + id_ + " rejects " + arrived.Id() + ": 421");
        client.Send(
            "HTTP/1.1 421 Misdirected Request\r\nX-Not-Executed: 1\r\n"
            "Content-Length: 0\r\nX-Attempt-Id: " +
            arrived.Id() + "\r\n\r\n");
        continue;
      }
      ++runs_;
      record_.Add("replica " + id_ + " (" + service_ + ") runs " +
                  arrived.Id() + ": " + arrived.line + ", X-Tenant: '" +
                  arrived.Field("x-tenant") + "'");
      if (!serve_(client, arrived)) {
        return;
      }
    }
  }

  record_file& record_;
  std::string id_;
  std::string service_;
  std::string zone_;
  address at_;
  serve_function serve_;
  std::atomic<int> listener_ = -1;
  std::thread acceptor_;
  std::atomic<bool> announces_ = true;
  std::atomic<int> runs_ = 0;
  mutable std::mutex mutex_;
  // Guarded by `mutex_`.
  std::set<int> open_;
  std::uint64_t sequence_ = 0;
  std::int64_t born_ = NowMs();
};

inline void ReplaceAll(std::string& text,
                       const std::string& from,
                       const std::string& to) {
  for (std::size_t at = text.find(from); at != std::string::npos;
       at = text.find(from, at + to.size())) {
    text.replace(at, from.size(), to);
  }
}

// Three control hosts and some routers, started with the command and the
// templates of the deploy file. The current folder is the repository.
class deployment {
 public:
  deployment(record_file& record, std::string folder, int routers)
      : record_(record), folder_(std::move(folder)) {
    for (int i = 1; i <= 3; ++i) {
      controls_.push_back("127.0.51." + std::to_string(i));
    }
    for (int i = 1; i <= routers; ++i) {
      routers_.push_back("127.0.52." + std::to_string(i));
    }
    std::vector<std::string> all = controls_;
    all.insert(all.end(), routers_.begin(), routers_.end());
    command_port_ = FreePort(all);
    link_port_ = FreePort(all);
    caller_port_ = FreePort(all);
    ready_port_ = FreePort(all);
    operator_port_ = FreePort(all);
  }

  ~deployment() {
    stopping_ = true;
    if (beats_.joinable()) {
      beats_.join();
    }
    for (auto& [name, pid] : processes_) {
      ::kill(pid, SIGKILL);
    }
    for (auto& [name, pid] : processes_) {
      int status = 0;
      ::waitpid(pid, &status, 0);
    }
  }

  void Start() { StartAll(true); }

  [[nodiscard]] std::size_t control_count() const { return controls_.size(); }
  [[nodiscard]] address Command(std::size_t index) const {
    return {.ip = controls_[index], .port = command_port_};
  }

  // A control host ends with its disk.
  void LoseWithDisk(std::size_t index) {
    const std::string name = ControlName(index);
    const auto found = processes_.find(name);
    ::kill(found->second, SIGKILL);
    int status = 0;
    ::waitpid(found->second, &status, 0);
    processes_.erase(found);
    std::filesystem::remove_all(folder_ + "/" + name);
    record_.Add(name + " is killed and loses its disk");
  }

  // All processes are killed at the same moment, and back after the time. Disks
  // are kept.
  void KillAll(milliseconds down) {
    for (auto& [name, pid] : processes_) {
      ::kill(pid, SIGKILL);
    }
    for (auto& [name, pid] : processes_) {
      int status = 0;
      ::waitpid(pid, &status, 0);
    }
    processes_.clear();
    record_.Add("all processes are killed");
    std::this_thread::sleep_for(down);
    StartAll(false);
  }

  // It starts again at its address, with an empty folder.
  void StartAgain(std::size_t index) {
    StartOne(ControlName(index), controls_[index], index,
             "deploy/control.toml.in", false);
  }

  [[nodiscard]] address Router(std::size_t index) const {
    return {.ip = routers_[index], .port = caller_port_};
  }

  // How the process ended; nullopt while it runs.
  std::optional<std::string> EndOf(const std::string& name) {
    const auto found = processes_.find(name);
    if (found == processes_.end()) {
      return "ended before";
    }
    int status = 0;
    if (::waitpid(found->second, &status, WNOHANG) == 0) {
      return std::nullopt;
    }
    processes_.erase(found);
    return WIFSIGNALED(status)
               ? "ended by signal " + std::to_string(WTERMSIG(status))
               : "exited with " + std::to_string(WEXITSTATUS(status));
  }

  // One call of the operator or a replica; follows redirects.
  answer Call(const std::string& method,
              const std::string& path,
              const std::string& body,
              std::size_t first_host) {
    address at{.ip = controls_[first_host % controls_.size()],
               .port = command_port_};
    answer got;
    for (int hops = 0; hops < 3; ++hops) {
      const auto to = connection::Connect(at);
      if (!to) {
        got.problem = "no connection";
        return got;
      }
      to->Send(method + " " + path + " HTTP/1.1\r\nHost: " + at.Text() +
               "\r\nContent-Type: application/json\r\nContent-Length: " +
               std::to_string(body.size()) + "\r\n\r\n" + body);
      got = ReadAnswer(*to, method, std::chrono::seconds(1));
      if (got.status != 307) {
        return got;
      }
      const std::string next = got.fields["location"].substr(7);
      const std::string host = next.substr(0, next.find('/'));
      at.ip = host.substr(0, host.find(':'));
      at.port = std::atoi(host.c_str() + host.find(':') + 1);
    }
    return got;
  }

  // Sends a configuration until there is a clear answer.
  answer Configure(const std::string& configuration) {
    answer got;
    for (std::size_t host = 0; host < 60; ++host) {
      got = Call("POST", "/-/Config.Replace", configuration, host);
      if (got.status / 100 == 2 || got.status / 100 == 4) {
        break;
      }
      SleepMs(200);
    }
    record_.Add("operator sends " + configuration + ": " + got.Text());
    return got;
  }

  // Has the replicas announce themselves from now on.
  void Announce(std::vector<replica*> replicas) {
    beats_ = std::thread([this, replicas = std::move(replicas)] {
      while (!stopping_) {
        for (replica* one : replicas) {
          if (!one->announces()) {
            continue;
          }
          for (std::size_t host = 0; host < controls_.size(); ++host) {
            if (Call("POST", "/-/Instances.Heartbeat/" + one->id(),
                     one->NextHeartbeat(), host)
                    .status == 200) {
              break;
            }
          }
        }
        for (int waited = 0; waited < 12 && !stopping_; ++waited) {
          SleepMs(100);
        }
      }
    });
  }

  // Waits until the router serves this request; false after ten seconds.
  bool AwaitService(std::size_t router, request probe) {
    for (int tries = 0; tries < 50; ++tries) {
      probe.id =
          "probe-" + std::to_string(router) + "-" + std::to_string(++probes_);
      if (const auto to = connection::Connect(Router(router))) {
        to->Send(probe.Bytes());
        if (ReadAnswer(*to, probe.method, std::chrono::seconds(3)).status ==
            200) {
          return true;
        }
      }
      SleepMs(200);
    }
    return false;
  }

 private:
  static std::string ControlName(std::size_t index) {
    return "core-" + std::to_string(index + 1);
  }

  void StartAll(bool first_start) {
    for (std::size_t i = 0; i < controls_.size(); ++i) {
      StartOne(ControlName(i), controls_[i], i, "deploy/control.toml.in",
               first_start);
    }
    for (std::size_t i = 0; i < routers_.size(); ++i) {
      StartOne("edge-" + std::to_string(i + 1), routers_[i], i,
               "deploy/router.toml.in", first_start);
    }
  }

  std::string Render(const std::string& name,
                     const std::string& ip,
                     std::size_t index,
                     const std::string& path,
                     bool first_start) const {
    std::ifstream in(path);
    std::stringstream all;
    all << in.rdbuf();
    std::string text = all.str();
    // No rollouts on these deployments.
    const std::string section = "{{#bounds.exposure_ratio}}";
    const std::string section_end = "{{/bounds.exposure_ratio}}";
    const std::size_t from = text.find(section);
    const std::size_t to = text.find(section_end);
    if (from != std::string::npos && to != std::string::npos) {
      text.erase(from, to + section_end.size() - from);
    }
    std::string seeds = "[";
    for (const std::string& control : controls_) {
      seeds += (seeds.size() > 1 ? ",\"" : "\"") + control + ":" +
               std::to_string(command_port_) + "\"";
    }
    const std::map<std::string, std::string> values = {
        {"{{node_name}}", name},
        {"{{zone}}", "zone-" + std::to_string(index % 3 + 1)},
        {"{{region}}", "region-1"},
        {"{{data_dir}}", folder_ + "/" + name},
        {"{{ip}}", ip},
        {"{{internal_ports.0}}", std::to_string(link_port_)},
        {"{{seed_nodes|json}}", seeds + "]"},
        {"{{bootstrap}}", first_start ? "true" : "false"},
        {"{{fault_tolerance.machine_count}}", "1"},
        {R"({{#zones}}"{{@}}"{{,}}{{/zones}})",
         R"("zone-1","zone-2","zone-3")"},
        {"{{listen.control_plane}}", ip + ":" + std::to_string(command_port_)},
        {"{{listen.frontend}}", ip + ":" + std::to_string(caller_port_)},
        {"{{listen.ready}}", ip + ":" + std::to_string(ready_port_)},
        {"{{limits.memory_mb}}", "390"},
        {"{{limits.fd_limit}}", "6150"},
        {"{{bounds.grace_s}}", "8"},
        {"{{bounds.retry_budget_ratio}}", "0.2"},
        {"{{bounds.budget_slack}}", "56"},
        // Fixed in the templates, but the same on the whole machine here.
        {":7401\"", ":" + std::to_string(operator_port_) + "\""}};
    for (const auto& [placeholder, value] : values) {
      ReplaceAll(text, placeholder, value);
    }
    return text;
  }

  void StartOne(const std::string& name,
                const std::string& ip,
                std::size_t index,
                const std::string& path,
                bool first_start) {
    ::mkdir((folder_ + "/" + name).c_str(), 0755);
    const std::string settings = folder_ + "/" + name + ".toml";
    std::ofstream(settings) << Render(name, ip, index, path, first_start);
    const std::string output = folder_ + "/" + name + ".out";
    const pid_t pid = ::fork();
    if (pid == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (std::freopen(output.c_str(), "w", stdout) == nullptr ||
          ::dup2(STDOUT_FILENO, STDERR_FILENO) < 0) {
        ::_exit(126);
      }
      ::execl("target/src/app/burdocklockd", "target/src/app/burdocklockd",
              "--settings", settings.c_str(), nullptr);
      ::_exit(127);
    }
    processes_[name] = pid;
    record_.Add("started " + name + " at " + ip);
  }

  record_file& record_;
  std::string folder_;
  std::vector<std::string> controls_;
  std::vector<std::string> routers_;
  int command_port_ = 0;
  int link_port_ = 0;
  int caller_port_ = 0;
  int ready_port_ = 0;
  int operator_port_ = 0;
  std::map<std::string, pid_t> processes_;
  std::thread beats_;
  std::atomic<bool> stopping_ = false;
  int probes_ = 0;
};

struct route_terms {
  std::string name;
  std::string host = "shop.example";
  std::string prefix;
  std::string service;
  std::string type = "idempotent";
  int timeout_ms = 3000;
  int max_attempts = 2;
};

struct tenant_terms {
  std::string name;
  std::string key;
};

// A configuration as the pages show it.
inline std::string Configuration(int version,
                                 const std::vector<route_terms>& routes,
                                 const std::vector<std::string>& services,
                                 const std::vector<tenant_terms>& tenants) {
  std::string text = R"({"version":)" + std::to_string(version);
  text += R"(,"route_table":[)";
  const char* between = "";
  for (const route_terms& route : routes) {
    text += std::string(between) + R"({"name":")" + route.name +
            R"(","hostname":")" + route.host + R"(","path_prefix":")" +
            route.prefix + R"(","type":")" + route.type + R"(","timeout_ms":)" +
            std::to_string(route.timeout_ms) +
            R"(,"target_latency_ms":300,"priority":1,"service":")" +
            route.service + R"(","max_attempts":)" +
            std::to_string(route.max_attempts) +
            R"(,"anonymous":false,"session_affinity":false,"resumable":false})";
    between = ",";
  }
  text += R"(],"services":[)";
  between = "";
  for (const std::string& service : services) {
    text += std::string(between) + R"({"name":")" + service +
            R"(","health_path":"/healthz","max_connections":110,)"
            R"("protocol":"h1","tls":false,"cold_start_s":0.0,)"
            R"("cold_per_s":0.0})";
    between = ",";
  }
  text += R"(],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,)"
          R"("header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[)";
  between = "";
  for (const tenant_terms& tenant : tenants) {
    text += std::string(between) + R"({"name":")" + tenant.name +
            R"(","api_keys":[")" + tenant.key + R"("],"priority":1})";
    between = ",";
  }
  return text + "]}";
}

// The arguments of a case: its record, a temporary folder, and whether the
// disruption takes place.
struct case_arguments {
  std::string record;
  std::string folder;
  bool trouble = true;
};

inline std::optional<case_arguments> ReadArguments(int argc, char** argv) {
  if (argc != 3) {
    std::cerr << "usage: " << argv[0] << " RECORD FOLDER\n";
    return std::nullopt;
  }
  const char* trouble = std::getenv("TROUBLE");
  return case_arguments{
      .record = argv[1],
      .folder = argv[2],
      .trouble = trouble == nullptr || std::string(trouble) != "0"};
}

}  // namespace review
