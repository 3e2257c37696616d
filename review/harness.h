// Helpers of the review's scripts: processes of the system, a small HTTP/1.1
// client and server on loopback addresses, and the record of a run.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using clock_type = std::chrono::steady_clock;
using std::chrono::milliseconds;

// Result codes of a script.
enum verdict { kHeld = 0, kBroken = 1, kCouldNotRun = 2 };

inline bool WithTrouble() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

inline void Sleep(int ms) {
  std::this_thread::sleep_for(milliseconds(ms));
}

/// Writes lines with the time since the start to the record and to stdout.
class record_file {
 public:
  explicit record_file(const std::string& path)
      : file_(path), start_(clock_type::now()) {}
  [[nodiscard]] double Now() const {
    return std::chrono::duration<double>(clock_type::now() - start_).count();
  }
  __attribute__((format(printf, 2, 3))) void Line(const char* format, ...) {
    char text[1024];
    va_list arguments;
    va_start(arguments, format);
    std::vsnprintf(text, sizeof text, format, arguments);
    va_end(arguments);
    char line[1100];
    std::snprintf(line, sizeof line, "%8.3f  %s", Now(), text);
    const std::lock_guard lock(mutex_);
    file_ << line << std::endl;
    std::puts(line);
    std::fflush(stdout);
  }

 private:
  std::mutex mutex_;
  std::ofstream file_;
  clock_type::time_point start_;
};

struct address {
  std::string ip;
  int port = 0;
  [[nodiscard]] std::string Text() const {
    return ip + ":" + std::to_string(port);
  }
};

inline sockaddr_in ToSocketAddress(const address& where) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(static_cast<std::uint16_t>(where.port));
  inet_pton(AF_INET, where.ip.c_str(), &out.sin_addr);
  return out;
}

/// A port that is free on all the addresses now.
inline int FreePort(const std::vector<std::string>& ips) {
  for (int tries = 0; tries < 200; ++tries) {
    const int port =
        20000 + static_cast<int>((static_cast<unsigned>(getpid()) * 131 +
                                  static_cast<unsigned>(tries) * 977 +
                                  static_cast<unsigned>(std::rand() % 9000)) %
                                 12000);
    bool is_free = true;
    for (const std::string& ip : ips) {
      const int fd = socket(AF_INET, SOCK_STREAM, 0);
      const sockaddr_in at = ToSocketAddress({ip, port});
      is_free = is_free && bind(fd, reinterpret_cast<const sockaddr*>(&at),
                                sizeof at) == 0;
      close(fd);
    }
    if (is_free) {
      return port;
    }
  }
  return 0;
}

/// A daemon, started with the command of the deploy file.
class daemon_process {
 public:
  daemon_process() = default;
  daemon_process(const std::string& program,
                 const std::string& settings,
                 const std::string& log) {
    pid_ = fork();
    if (pid_ == 0) {
      const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(out, 1);
      dup2(out, 2);
      execl(program.c_str(), program.c_str(), "--settings", settings.c_str(),
            static_cast<char*>(nullptr));
      _exit(127);
    }
  }
  void Signal(int signal) const {
    if (pid_ > 0) {
      kill(pid_, signal);
    }
  }
  /// Waits for the end; false if it has not ended in time.
  bool AwaitEnd(int ms) {
    for (int waited = 0; pid_ > 0 && waited <= ms; waited += 10) {
      if (waitpid(pid_, &status_, WNOHANG) == pid_) {
        pid_ = 0;
      } else {
        Sleep(10);
      }
    }
    return pid_ <= 0;
  }
  void Kill() {
    Signal(SIGKILL);
    AwaitEnd(5000);
  }
  [[nodiscard]] bool IsRunning() {
    if (pid_ > 0 && waitpid(pid_, &status_, WNOHANG) == pid_) {
      pid_ = 0;
    }
    return pid_ > 0;
  }
  [[nodiscard]] int status() const { return status_; }
  [[nodiscard]] pid_t pid() const { return pid_; }

 private:
  pid_t pid_ = 0;
  int status_ = 0;
};

inline std::string LowerCase(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return text;
}

struct http_message {
  std::string start;
  /// Names in lower case.
  std::map<std::string, std::string> fields;
  std::string body;
  /// The body has come to its end.
  bool whole = false;
  [[nodiscard]] int Status() const {
    return start.size() > 12 ? std::atoi(start.c_str() + 9) : 0;
  }
  [[nodiscard]] std::string Field(const std::string& name) const {
    const auto found = fields.find(name);
    return found == fields.end() ? "" : found->second;
  }
};

/// A connection with a read buffer; reads end at a deadline.
class connection {
 public:
  explicit connection(int fd = -1) : fd_(fd) {}
  connection(const connection&) = delete;
  connection& operator=(const connection&) = delete;
  connection(connection&& other) noexcept
      : fd_(std::exchange(other.fd_, -1)), buffer_(std::move(other.buffer_)) {}
  ~connection() { Close(); }

  bool Connect(const address& to, int ms) {
    fd_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    const sockaddr_in at = ToSocketAddress(to);
    int on = 1;
    setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    if (connect(fd_, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0 &&
        errno != EINPROGRESS) {
      return false;
    }
    pollfd waiting{fd_, POLLOUT, 0};
    int problem = 0;
    socklen_t size = sizeof problem;
    return poll(&waiting, 1, ms) == 1 &&
           getsockopt(fd_, SOL_SOCKET, SO_ERROR, &problem, &size) == 0 &&
           problem == 0;
  }
  bool Write(const std::string& bytes, int ms = 5000) {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
      const ssize_t count = send(fd_, bytes.data() + sent, bytes.size() - sent,
                                 MSG_NOSIGNAL | MSG_DONTWAIT);
      if (count > 0) {
        sent += static_cast<std::size_t>(count);
        continue;
      }
      pollfd waiting{fd_, POLLOUT, 0};
      if (errno != EAGAIN || poll(&waiting, 1, ms) != 1) {
        return false;
      }
    }
    return true;
  }
  /// Reads more into the buffer; 0 at the end, -1 on an error or a time-out.
  int Fill(int ms) {
    pollfd waiting{fd_, POLLIN, 0};
    if (poll(&waiting, 1, std::clamp(ms, 0, patience_ms_)) != 1) {
      return -1;
    }
    char bytes[16384];
    const ssize_t count = recv(fd_, bytes, sizeof bytes, MSG_DONTWAIT);
    if (count > 0) {
      buffer_.append(bytes, static_cast<std::size_t>(count));
    }
    return static_cast<int>(count);
  }
  /// Reads a head and its body. `until_end`: without a length the body ends
  /// with the connection. `on_body` sees the decoded body as it arrives.
  std::optional<http_message> Read(
      int ms,
      bool until_end,
      const std::function<void(const std::string&)>& on_body = {}) {
    const auto deadline = clock_type::now() + milliseconds(ms);
    const auto left = [&] {
      return static_cast<int>(
          std::chrono::duration_cast<milliseconds>(deadline - clock_type::now())
              .count());
    };
    std::size_t end = 0;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
      if (left() <= 0 || Fill(left()) <= 0) {
        return std::nullopt;
      }
    }
    http_message out;
    ParseHead(buffer_.substr(0, end), out);
    buffer_.erase(0, end + 4);
    const auto add = [&](const std::string& piece) {
      out.body += piece;
      if (on_body && !piece.empty()) {
        on_body(piece);
      }
    };
    if (out.Field("transfer-encoding") == "chunked") {
      while (true) {
        std::size_t line = 0;
        while ((line = buffer_.find("\r\n")) == std::string::npos) {
          if (left() <= 0 || Fill(left()) <= 0) {
            return out;
          }
        }
        const std::size_t size =
            std::strtoul(buffer_.substr(0, line).c_str(), nullptr, 16);
        while (buffer_.size() < line + 2 + size + 2) {
          if (left() <= 0 || Fill(left()) <= 0) {
            return out;
          }
        }
        add(buffer_.substr(line + 2, size));
        buffer_.erase(0, line + 2 + size + 2);
        if (size == 0) {
          out.whole = true;
          return out;
        }
      }
    }
    const std::string length = out.Field("content-length");
    if (!length.empty()) {
      std::size_t rest = std::strtoul(length.c_str(), nullptr, 10);
      while (rest > 0) {
        if (buffer_.empty() && (left() <= 0 || Fill(left()) <= 0)) {
          return out;
        }
        const std::size_t part = std::min(rest, buffer_.size());
        add(buffer_.substr(0, part));
        buffer_.erase(0, part);
        rest -= part;
      }
      out.whole = true;
      return out;
    }
    if (!until_end) {
      out.whole = true;
      return out;
    }
    while (true) {
      add(std::exchange(buffer_, {}));
      const int count = left() > 0 ? Fill(left()) : -1;
      if (count <= 0) {
        out.whole = count == 0;
        return out;
      }
    }
  }
  void Close() {
    if (fd_ >= 0) {
      close(std::exchange(fd_, -1));
    }
  }
  /// Reads end after a gap of so long, as a client leaves.
  void SetPatience(int ms) { patience_ms_ = ms; }
  /// Ends the connection with a reset.
  void Reset() {
    const linger now{1, 0};
    setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    Close();
  }
  [[nodiscard]] int fd() const { return fd_; }
  [[nodiscard]] bool empty() const { return buffer_.empty(); }

 private:
  static void ParseHead(const std::string& head, http_message& out) {
    std::size_t at = head.find("\r\n");
    out.start = head.substr(0, at);
    while (at != std::string::npos) {
      const std::size_t from = at + 2;
      at = head.find("\r\n", from);
      const std::string line = head.substr(
          from, at == std::string::npos ? std::string::npos : at - from);
      const std::size_t colon = line.find(':');
      if (colon != std::string::npos) {
        std::size_t value = colon + 1;
        while (value < line.size() && line[value] == ' ') {
          ++value;
        }
        out.fields[LowerCase(line.substr(0, colon))] = line.substr(value);
      }
    }
  }
  int fd_ = -1;
  int patience_ms_ = 1'000'000;
  std::string buffer_;
};

/// One call on a new connection; follows a 307 twice, as callers of
/// `control_plane` do. Status 0: no answer.
inline http_message Call(address to,
                         const std::string& method,
                         std::string path,
                         const std::string& body,
                         int ms = 1000) {
  http_message answer;
  for (int hops = 0; hops <= 2; ++hops) {
    connection link;
    if (!link.Connect(to, ms) ||
        !link.Write(method + " " + path + " HTTP/1.1\r\nHost: " + to.Text() +
                    "\r\nContent-Type: application/json\r\nContent-Length: " +
                    std::to_string(body.size()) +
                    "\r\nConnection: close\r\n\r\n" + body)) {
      return {};
    }
    auto read = link.Read(ms, true);
    if (!read || !read->whole) {
      return {};
    }
    answer = std::move(*read);
    const std::string location = answer.Field("location");
    if (answer.Status() != 307 || !location.starts_with("http://")) {
      return answer;
    }
    const std::size_t slash = location.find('/', 7);
    const std::string host = location.substr(7, slash - 7);
    const std::size_t colon = host.find(':');
    to = {host.substr(0, colon), std::atoi(host.c_str() + colon + 1)};
    path = location.substr(slash);
  }
  return answer;
}

/// A temporary folder, removed at the end.
class temporary_folder {
 public:
  temporary_folder() {
    const char* base = std::getenv("TMPDIR");
    std::string name =
        std::string(base != nullptr ? base : "/tmp") + "/review-XXXXXX";
    path_ = mkdtemp(name.data());
  }
  ~temporary_folder() {
    if (std::getenv("KEEP") == nullptr) {
      std::filesystem::remove_all(path_);
    }
  }
  [[nodiscard]] const std::string& path() const { return path_; }

 private:
  std::string path_;
};

inline void WriteFile(const std::string& path, const std::string& text) {
  std::ofstream(path) << text;
}

inline std::string Quoted(const std::vector<std::string>& texts) {
  std::string out;
  for (const std::string& text : texts) {
    out += (out.empty() ? "\"" : ", \"") + text + "\"";
  }
  return "[" + out + "]";
}

/// Ports that are the same on all machines of a run.
struct ports {
  int link = 0;
  int commands = 0;
  int callers = 0;
  int ready = 0;
  int operators = 0;
};

inline ports FreePorts(const std::vector<std::string>& ips) {
  std::srand(static_cast<unsigned>(getpid()));
  ports out;
  std::vector<int*> all = {&out.link, &out.commands, &out.callers, &out.ready,
                           &out.operators};
  for (std::size_t i = 0; i < all.size(); ++i) {
    do {
      *all[i] = FreePort(ips);
    } while (std::count_if(all.begin(), all.begin() + static_cast<long>(i),
                           [&](int* other) { return *other == *all[i]; }) > 0);
  }
  return out;
}

/// As the deploy file's template for control hosts is filled in.
inline std::string ControlSettings(const std::string& name,
                                   const std::string& zone,
                                   const std::string& ip,
                                   const std::string& data_folder,
                                   const std::vector<std::string>& seeds,
                                   const std::vector<std::string>& zones,
                                   const ports& at,
                                   bool first_start,
                                   int losses) {
  return "interface = \"platform\"\ndaemon = \"" + name +
         "\"\ndata_centre = \"" + zone +
         "\"\nregion = \"nam-bo\"\nroles = [\"control\"]\ndata_folder = \"" +
         data_folder + "\"\n\n[listen]\ncommands = \"" + ip + ":" +
         std::to_string(at.commands) + "\"\noperators = \"" + ip + ":" +
         std::to_string(at.operators) + "\"\npeers = \"" + ip + ":" +
         std::to_string(at.link) + "\"\n\n[control]\nhosts = " + Quoted(seeds) +
         "\nlink_port = " + std::to_string(at.link) +
         "\nfirst_start = " + (first_start ? "true" : "false") +
         "\ntolerated_disk_losses = " + std::to_string(losses) +
         "\ndata_centres = " + Quoted(zones) + "\n\n[log]\npath = \"stdout\"\n";
}

/// As the deploy file's template for routers is filled in.
inline std::string RouterSettings(const std::string& name,
                                  const std::string& zone,
                                  const std::string& ip,
                                  const std::vector<std::string>& seeds,
                                  const ports& at,
                                  double budget_slack) {
  return "interface = \"platform\"\ndaemon = \"" + name +
         "\"\ndata_centre = \"" + zone +
         "\"\nregion = \"nam-bo\"\nroles = [\"router\"]\n\n[listen]\n"
         "callers = \"" +
         ip + ":" + std::to_string(at.callers) + "\"\nreadiness = \"" + ip +
         ":" + std::to_string(at.ready) + "\"\noperators = \"" + ip + ":" +
         std::to_string(at.operators) +
         "\"\n\n[control]\nhosts = " + Quoted(seeds) +
         "\nlink_port = " + std::to_string(at.link) +
         "\n\n[log]\npath = \"stdout\"\n\n[limits]\n"
         "share_control_thread = true\nmax_connections = 3000\n"
         "max_answer_bytes = 4194304\n\n[timeouts]\nconnect_ms = 400\n"
         "between_tokens_ms = 1500\ntarget_silence_ms = 8000\n"
         "target_idle_ms = 10000\ndrain_notice_ms = 2500\nshutdown_s = 8\n\n"
         "[retries]\nbudget_ratio = 0.2\nfleet_budget = " +
         std::to_string(budget_slack) + "\n";
}

}  // namespace review
