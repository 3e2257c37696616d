// Callers for tests that send whole requests on connections which they reuse,
// and judge what comes: an answer, a refusal, or a break by the target.
#pragma once

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include <sys/socket.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <catch2/catch.hpp>

#include "framework/fiber/fiber_thread.h"
#include "framework/fiber/sleep.h"
#include "framework/fiber/use_fiber.h"
#include "framework/net/http_types.h"
#include "framework/seeded_random.h"
#include "framework/types/endpoint.h"

namespace burdocklock::route_interface {

/// The idle time-outs that may be in force, as far as callers know.
class known_idle_timeout {
 public:
  void Sent(std::chrono::milliseconds limit) {
    const std::lock_guard lock(mutex_);
    limits_.push_back({.limit = limit, .until = time_point::max()});
  }
  /// The limit may have been replaced by another that was acknowledged now.
  void Replaced(std::chrono::milliseconds limit) {
    const std::lock_guard lock(mutex_);
    const time_point until = std::chrono::steady_clock::now() + kChangeKnown;
    for (known& each : limits_) {
      if (each.limit != limit) {
        each.until = std::min(each.until, until);
      }
    }
  }
  std::chrono::milliseconds Shortest() {
    const std::lock_guard lock(mutex_);
    const time_point now = std::chrono::steady_clock::now();
    auto shortest = std::chrono::milliseconds::max();
    for (const known& each : limits_) {
      shortest = each.until > now ? std::min(shortest, each.limit) : shortest;
    }
    return shortest;
  }

 private:
  // Callers learn of a longer idle time-out this long after it was
  // acknowledged.
  static constexpr std::chrono::milliseconds kChangeKnown{500};

  struct known {
    std::chrono::milliseconds limit;
    time_point until;
  };
  std::mutex mutex_;
  std::deque<known> limits_;
};

struct call_counts {
  int answered = 0;
  int refused = 0;
  int cut = 0;
  std::vector<std::string> lost;
  std::vector<std::string> wrong;
};

struct whole_request {
  std::string path;
  /// Sent as the request's id unless empty.
  std::string id;
  std::string body;
  /// Sent one after another, slowly.
  std::size_t parts = 1;
};

/// How a request ended without a whole answer.
struct broken_exchange {
  time_point began;
  /// What came of the answer's body.
  std::string body;
};

/// What the callers of one test do.
struct caller_rules {
  int callers = 0;
  std::chrono::milliseconds duration{};
  std::chrono::milliseconds read_limit{};
  /// Between requests, one time out of four; else 50 ms at most.
  std::uint32_t longest_pause_ms = 0;
  /// Draws the next request of the caller of that number, from 1.
  std::function<whole_request(seeded_random& random, int caller, int number)>
      draw;
  /// Whether the target, or the request's time limit, may have broken off an
  /// answer whose head had come.
  std::function<bool(const whole_request& request,
                     const broken_exchange& broken)>
      may_be_cut;
  /// Returns whether this is the body of a whole answer to the request.
  std::function<bool(const whole_request& request, const std::string& body)>
      is_whole = [](const auto&, const auto&) { return true; };
};

/// The callers of one test, on a thread of their own.
class whole_request_callers {
 public:
  void Run(const endpoint& router,
           const caller_rules& rules,
           std::uint32_t seed) {
    RunFiberThread(io_, [&] {
      for (int i = 0; i < rules.callers; ++i) {
        SpawnFiber([this, &router, &rules, seed, i] {
          // Neighbouring seeds give the same numbers.
          caller(*this, router, rules, i,
                 (seed * rules.callers + i) * kSeedStep)
              .CallUntilOver();
        });
      }
      SleepFor(io_, rules.duration);
      over = true;
    });
  }
  /// To be called after the end of `Run`.
  void Check(std::uint32_t seed, std::uint64_t versions) const {
    WARN("seed " << seed << ": " << versions << " versions, answered "
                 << counts.answered << ", refused " << counts.refused
                 << ", cut " << counts.cut);
    CHECK(counts.answered > 0);
    CHECK(counts.refused > 0);
    CHECK(counts.lost == std::vector<std::string>());
    CHECK(counts.wrong == std::vector<std::string>());
  }

  static constexpr std::uint32_t kSeedStep = 2654435761;

  std::atomic<bool> over = false;
  known_idle_timeout idle;
  call_counts counts;

 private:
  // Callers reuse connections that were idle for up to this part of the
  // time-out.
  static constexpr double kReusedIdle = 0.8;

  // One caller's connections and requests, one after another.
  class caller {
   public:
    caller(whole_request_callers& all,
           const endpoint& router,
           const caller_rules& rules,
           int number,
           std::uint32_t seed)
        : all_(all),
          router_(router),
          rules_(rules),
          number_(number),
          random_(seed) {}

    void CallUntilOver() {
      while (!all_.over) {
        if (!Reusable() && !Connect()) {
          all_.counts.lost.emplace_back("connect");
          return;
        }
        Exchange();
        answered_ = std::chrono::steady_clock::now();
        Sleep(random_.Below(4) == 0 ? random_.Below(rules_.longest_pause_ms)
                                    : random_.Below(50));
      }
    }

   private:
    void Sleep(std::uint32_t time_ms) {
      SleepFor(all_.io_, std::chrono::milliseconds(time_ms));
    }
    // Callers notice when an idle connection was closed.
    bool Reusable() {
      if (!stream_ || std::chrono::steady_clock::now() - answered_ >=
                          kReusedIdle * all_.idle.Shortest()) {
        return false;
      }
      char byte = 0;
      return ::recv(stream_->socket().native_handle(), &byte, 1,
                    MSG_PEEK | MSG_DONTWAIT) < 0 &&
             errno == EAGAIN;
    }
    bool Connect() {
      stream_ = std::make_unique<net::tcp_stream>(all_.io_);
      buffer_.clear();
      return !stream_->async_connect(net::ToTcp(router_), use_fiber);
    }
    // Returns false if the connection breaks.
    bool Send(const whole_request& request) {
      const std::string bytes =
          "POST " + request.path +
          " HTTP/1.1\r\nHost: desk.example\r\nAuthorization: Bearer k\r\n" +
          (request.id.empty() ? "" : "X-Request-Id: " + request.id + "\r\n") +
          "Content-Length: " + std::to_string(request.body.size()) +
          "\r\n\r\n" + request.body;
      const std::size_t size = bytes.size() / request.parts + 1;
      for (std::size_t at = 0; at < bytes.size(); at += size) {
        if (at > 0) {
          Sleep(random_.Below(200));
        }
        const auto part = net::asio::buffer(bytes) + at;
        if (net::asio::async_write(*stream_, net::asio::buffer(part, size),
                                   use_fiber)
                .ec) {
          return false;
        }
      }
      return true;
    }
    void Exchange() {
      const whole_request request = rules_.draw(random_, number_, ++last_);
      const time_point began = std::chrono::steady_clock::now();
      stream_->expires_after(rules_.read_limit);
      const bool sent = Send(request);
      net::http::response_parser<net::http::string_body> parser;
      const auto read =
          net::http::async_read(*stream_, buffer_, parser, use_fiber);
      stream_->expires_never();
      if (!read.ec) {
        Judge(request, parser.get());
        if (!parser.keep_alive()) {
          stream_.reset();
        }
        return;
      }
      stream_.reset();
      if (parser.is_header_done() &&
          rules_.may_be_cut(request,
                            {.began = began, .body = parser.get().body()})) {
        ++all_.counts.cut;
        return;
      }
      const auto now = std::chrono::steady_clock::now();
      all_.counts.lost.push_back(
          request.path + " " + request.id +
          (sent ? ": " : " (not sent whole): ") + read.ec.message() +
          (parser.is_header_done() ? ", in the answer" : ", before an answer") +
          " after " + std::to_string(ToMilliseconds(now - began)) +
          " ms, connection had waited " +
          std::to_string(ToMilliseconds(began - answered_)) + " ms");
    }
    void Judge(const whole_request& request,
               const net::http::response<net::http::string_body>& answer) {
      if (answer.result_int() != 200) {
        ++all_.counts.refused;
        return;
      }
      ++all_.counts.answered;
      if (!rules_.is_whole(request, answer.body())) {
        all_.counts.wrong.push_back(request.path + " " + request.id + ": " +
                                    answer.body());
      }
    }

    whole_request_callers& all_;
    const endpoint& router_;
    const caller_rules& rules_;
    int number_;
    seeded_random random_;
    std::unique_ptr<net::tcp_stream> stream_;
    net::beast::flat_buffer buffer_;
    time_point answered_ = std::chrono::steady_clock::now();
    int last_ = 0;
  };

  // Must outlive its thread because the thread's scheduler refers to it.
  boost::asio::io_context io_{1};
};

}  // namespace burdocklock::route_interface
