// A stand-in replica: beats at the control hosts and answers requests by a
// handler, each connection on a thread of its own.
#pragma once

#include "harness.h"

namespace review {

/// Accepts connections until it is stopped.
class listener {
 public:
  using handler = std::function<void(connection&)>;
  listener(const address& at, handler serve) : serve_(std::move(serve)) {
    fd_ = socket(AF_INET, SOCK_STREAM, 0);
    int on = 1;
    setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in where = ToSocketAddress(at);
    listening_ = bind(fd_, reinterpret_cast<const sockaddr*>(&where),
                      sizeof where) == 0 &&
                 listen(fd_, 128) == 0;
    thread_ = std::thread([this] { Accept(); });
  }
  ~listener() { Stop(); }
  listener(const listener&) = delete;
  listener& operator=(const listener&) = delete;
  [[nodiscard]] bool listening() const { return listening_; }
  void Stop() {
    if (!stopping_.exchange(true)) {
      thread_.join();
      close(fd_);
      // Threads that still serve end with their connections.
      for (int waited = 0; serving_ > 0 && waited < 3000; waited += 10) {
        Sleep(10);
      }
    }
  }
  [[nodiscard]] bool stopping() const { return stopping_; }

 private:
  void Accept() {
    while (!stopping_) {
      pollfd waiting{fd_, POLLIN, 0};
      if (poll(&waiting, 1, 50) != 1) {
        continue;
      }
      const int fd = accept(fd_, nullptr, nullptr);
      if (fd < 0) {
        continue;
      }
      int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      ++serving_;
      std::thread([this, fd] {
        connection link(fd);
        serve_(link);
        --serving_;
      }).detach();
    }
  }
  handler serve_;
  int fd_ = -1;
  bool listening_ = false;
  std::atomic<bool> stopping_{false};
  std::atomic<int> serving_{0};
  std::thread thread_;
};

struct replica_description {
  std::string id;
  std::string service;
  std::string zone;
  std::string version = "v1";
  address at;
  int slots = 6;
  /// A model server, not a plain service.
  bool has_model = false;
  long long born = 1'790'000'000'000;
};

/// Beats about every 1.2 s at one of the control hosts, at the next one after
/// a failure.
class heart {
 public:
  heart(replica_description who, std::vector<address> hosts)
      : who_(std::move(who)), hosts_(std::move(hosts)) {
    thread_ = std::thread([this] { Run(); });
  }
  ~heart() { Stop(); }
  heart(const heart&) = delete;
  heart& operator=(const heart&) = delete;
  void Stop() {
    if (!stopping_.exchange(true)) {
      thread_.join();
    }
  }

 private:
  void Run() {
    for (int seq = 1; !stopping_; ++seq) {
      const std::string body =
          R"({"service":")" + who_.service + R"(","address":")" +
          who_.at.Text() + R"(","zone":")" + who_.zone + R"(","version":")" +
          who_.version + R"(","slots":)" + std::to_string(who_.slots) +
          R"(,"phase":"ready","cold_remaining_ms":0,)" +
          (who_.has_model
               ? R"("phase_name":"colocated","model_list":[{"name":"m",)"
                 R"("version":1,"adapters":[]}],)"
               : "") +
          R"("born":)" + std::to_string(who_.born) + R"(,"seq":)" +
          std::to_string(seq) + "}";
      bool heard = false;
      for (std::size_t tries = 0; tries < hosts_.size() && !heard; ++tries) {
        heard = Call(hosts_[next_ % hosts_.size()], "POST",
                     "/-/Instances.Heartbeat/" + who_.id, body)
                    .Status() == 200;
        next_ += heard ? 0 : 1;
      }
      for (int waited = 0; waited < 1200 && !stopping_; waited += 20) {
        Sleep(20);
      }
    }
  }
  replica_description who_;
  std::vector<address> hosts_;
  std::size_t next_ = 0;
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

/// The head of an answer as a replica writes it.
inline std::string AnswerHead(const std::string& status,
                              const http_message& request,
                              const std::string& fields) {
  return "HTTP/1.1 " + status +
         "\r\nX-Attempt-Id: " + request.Field("x-attempt-id") + "\r\n" + fields;
}

inline std::string Seal(const http_message& request) {
  return "X-Response-Seal: 3e1b." + request.Field("x-attempt-id") + "\r\n";
}

}  // namespace review
