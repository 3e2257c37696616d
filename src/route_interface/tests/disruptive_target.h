// A target for tests that falls silent, turns requests away, closes kept
// connections, answers twice or before it has read the request.
#pragma once

#include <array>
#include <atomic>
#include <charconv>
#include <chrono>
#include <future>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>

#include "framework/fiber/fiber_thread.h"
#include "framework/fiber/sleep.h"
#include "framework/fiber/use_fiber.h"
#include "framework/net/http_types.h"
#include "framework/types/endpoint.h"

namespace burdocklock::route_interface {

/// What the target does with a request is its path: "/ROUTE/KIND-NUMBER".
enum class target_plan {
  kWhole,
  /// Turns the request away the first time, with the word that it did not run.
  kTurnsAway,
  /// The same without that word.
  kFails,
  /// Closes the connection soon after its answer, without having said so.
  kClosesAfter,
  /// Closes a kept connection when the request arrives on it.
  kClosesBefore,
  kAnswersTwice,
  /// Answers before it has read the body.
  kAnswersEarly,
  kStreams,
  kBreaksOff,
};
inline constexpr std::array kTargetPlans = {
    "whole",         "turns_away",    "fails",
    "closes_after",  "closes_before", "answers_twice",
    "answers_early", "streams",       "breaks_off"};
inline constexpr int kStreamEvents = 12;

inline bool HasPlan(std::string_view path, target_plan plan) {
  return path.find(kTargetPlans[static_cast<std::size_t>(plan)]) !=
         std::string_view::npos;
}
inline std::string StreamEvent(int number, const std::string& data = "a") {
  return "id: " + std::to_string(number) + "\ndata: " + data + "\n\n";
}

class disruptive_target {
 public:
  /// `data` is that of the events of its streams, a few characters at most.
  /// One in `pause_every` requests that it fails or turns away asks for a
  /// pause.
  explicit disruptive_target(std::string data = "a", int pause_every = 2)
      : data_(std::move(data)), pause_every_(pause_every) {
    std::promise<void> bound;
    thread_ = std::thread([this, &bound] {
      RunFiberThread(io_, [this, &bound] {
        using boost::asio::ip::tcp;
        acceptor_.open(tcp::v4());
        acceptor_.bind({boost::asio::ip::address_v4::loopback(), 0});
        acceptor_.listen();
        address_ = {.port = acceptor_.local_endpoint().port()};
        bound.set_value();
        Accept();
      });
    });
    bound.get_future().get();
  }
  ~disruptive_target() {
    boost::asio::post(io_, [this] {
      stopped_ = true;
      acceptor_.close();
      for (net::tcp_stream* stream : open_) {
        stream->close();
      }
    });
    thread_.join();
  }
  disruptive_target(const disruptive_target&) = delete;
  disruptive_target& operator=(const disruptive_target&) = delete;

  /// Writes nothing for this time, wherever it is in its answers.
  void FallSilent(std::chrono::milliseconds time) {
    silent_until_ =
        (std::chrono::steady_clock::now() + time).time_since_epoch().count();
  }
  /// Closes connections after the next answers, which say so.
  void SetLeaving(bool leaving) { leaving_ = leaving; }
  [[nodiscard]] const endpoint& address() const { return address_; }

 private:
  using request_parser = net::http::request_parser<net::http::string_body>;

  void Accept() {
    while (!stopped_) {
      auto stream = std::make_shared<net::tcp_stream>(io_);
      if (acceptor_.async_accept(stream->socket(), use_fiber)) {
        continue;
      }
      SpawnFiber([this, stream] {
        if (stopped_) {
          return;
        }
        open_.insert(stream.get());
        for (bool kept = false; Exchange(*stream, kept); kept = true) {
        }
        open_.erase(stream.get());
      });
    }
  }
  // Returns whether the connection stays open.
  bool Exchange(net::tcp_stream& stream, bool kept) {
    net::beast::flat_buffer& buffer = buffers_[&stream];
    if (!kept) {
      buffer.clear();
    }
    request_parser parser;
    parser.body_limit(1 << 20);
    if (net::http::async_read_header(stream, buffer, parser, use_fiber).ec) {
      return false;
    }
    const std::string path(parser.get().target());
    if (kept && HasPlan(path, target_plan::kClosesBefore)) {
      return false;
    }
    const bool early = HasPlan(path, target_plan::kAnswersEarly);
    if (!early && !ReadRest(stream, buffer, parser)) {
      return false;
    }
    const std::string name(parser.get()["X-Request-Id"]);
    if (!Answer(stream, path, name, FirstEvent(parser))) {
      return false;
    }
    if (early) {
      SleepFor(io_, std::chrono::milliseconds(50));
      return ReadRest(stream, buffer, parser);
    }
    return true;
  }
  static bool ReadRest(net::tcp_stream& stream,
                       net::beast::flat_buffer& buffer,
                       request_parser& parser) {
    return !net::http::async_read(stream, buffer, parser, use_fiber).ec;
  }
  static int FirstEvent(const request_parser& parser) {
    const std::string_view last = parser.get()["Last-Event-ID"];
    int number = 0;
    std::from_chars(last.data(), last.data() + last.size(), number);
    return number + 1;
  }
  bool Answer(net::tcp_stream& stream,
              const std::string& path,
              const std::string& name,
              int first_event) {
    Hold();
    if (HasPlan(path, target_plan::kStreams) ||
        HasPlan(path, target_plan::kBreaksOff)) {
      return Stream(stream, name, first_event,
                    HasPlan(path, target_plan::kBreaksOff));
    }
    const bool turns_away = HasPlan(path, target_plan::kTurnsAway);
    if ((turns_away || HasPlan(path, target_plan::kFails)) &&
        failed_.insert(name).second) {
      const bool waits = failed_.size() % pause_every_ == 0;
      return Write(stream, Head("503 Busy", name) +
                               (turns_away ? "X-Admitted: no\r\n" : "") +
                               (waits ? "Retry-After: 1\r\n" : "") +
                               "Content-Length: 4\r\n\r\nbusy");
    }
    const std::string body = "whole " + name;
    const std::string whole = Head("200 OK", name) +
                              "Content-Length: " + std::to_string(body.size()) +
                              "\r\n\r\n" + body;
    const bool leaving = leaving_;
    if (!Write(stream, whole)) {
      return false;
    }
    if (HasPlan(path, target_plan::kAnswersTwice)) {
      SleepFor(io_, std::chrono::milliseconds(20));
      return Write(stream, whole);
    }
    if (HasPlan(path, target_plan::kClosesAfter)) {
      SleepFor(io_, std::chrono::milliseconds(failed_.size() % 30));
      return false;
    }
    return !leaving;
  }
  bool Stream(net::tcp_stream& stream,
              const std::string& name,
              int first_event,
              bool breaks) {
    constexpr std::chrono::milliseconds kEventInterval{60};
    if (!Write(stream, Head("200 OK", name) +
                           "Content-Type: text/event-stream\r\n"
                           "Transfer-Encoding: chunked\r\n\r\n")) {
      return false;
    }
    for (int i = first_event; i <= kStreamEvents; ++i) {
      const std::string event = StreamEvent(i, data_);
      const std::size_t half = event.size() / 2;
      if (!Write(stream, Chunk(event.substr(0, half))) ||
          !Write(stream, Chunk(event.substr(half))) ||
          (breaks && i == kStreamEvents / 2)) {
        return false;
      }
      SleepFor(io_, kEventInterval);
    }
    return Write(stream, "0\r\n\r\n");
  }
  static std::string Chunk(const std::string& bytes) {
    constexpr std::string_view kDigits = "0123456789abcdef";
    return std::string(1, kDigits[bytes.size()]) + "\r\n" + bytes + "\r\n";
  }
  std::string Head(const std::string& status, const std::string& name) const {
    return "HTTP/1.1 " + status + "\r\nX-Request-Id: " + name + "\r\n" +
           (leaving_ ? "Connection: close\r\n" : "");
  }
  bool Write(net::tcp_stream& stream, const std::string& bytes) {
    Hold();
    return !net::asio::async_write(stream, net::asio::buffer(bytes), use_fiber)
                .ec;
  }
  void Hold() {
    while (!stopped_ &&
           std::chrono::steady_clock::now().time_since_epoch().count() <
               silent_until_) {
      SleepFor(io_, std::chrono::milliseconds(10));
    }
  }

  const std::string data_;
  const std::size_t pause_every_;
  boost::asio::io_context io_{1};
  boost::asio::ip::tcp::acceptor acceptor_{io_};
  std::set<net::tcp_stream*> open_;
  std::map<net::tcp_stream*, net::beast::flat_buffer> buffers_;
  std::set<std::string> failed_;
  std::atomic<bool> stopped_ = false;
  std::atomic<bool> leaving_ = false;
  std::atomic<std::chrono::steady_clock::rep> silent_until_ = 0;
  endpoint address_;
  std::thread thread_;
};

}  // namespace burdocklock::route_interface
