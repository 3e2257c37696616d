// A scripted HTTP target for tests that runs on its own thread.
#pragma once

#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include "app/tests/server_thread.h"
#include "framework/fiber/sleep.h"
#include "framework/fiber/use_fiber.h"
#include "framework/net/http_server.h"

namespace burdocklock::app {

/// The scripted response to a request.
struct fake_answer {
  /// Written verbatim, except that NAME is replaced by the request id.
  std::string bytes;
  /// Keeps the connection open afterwards until the peer closes it.
  bool hang = false;
  /// If not empty, written again and again until the peer closes.
  std::string endless = {};
  /// Refuses connections from then on, then closes this one.
  bool end = false;
  /// Written first if the connection has carried a request with the same label.
  std::string stale = {};
  std::string label = {};
  /// Written after `bytes`.
  std::string extra = {};
  /// Between `stale` and `bytes`, and between `bytes` and `extra`.
  std::chrono::milliseconds pause{};
  /// Takes further requests on the connection.
  bool keep = false;
};

class fake_target : public net::i_http_handler {
 public:
  using script = std::function<fake_answer(const net::http_request&)>;

  explicit fake_target(script script) : script_(std::move(script)) {}

  net::keep_alive Handle(net::http_connection& connection,
                         net::http_request& request) override {
    ++requests;
    fake_answer answer = script_(request);
    const std::string name(request["X-Request-Id"]);
    for (std::size_t at = answer.bytes.find("NAME"); at != std::string::npos;
         at = answer.bytes.find("NAME")) {
      answer.bytes.replace(at, 4, name);
    }
    WriteStale(connection, answer);
    net::asio::async_write(connection.stream, net::asio::buffer(answer.bytes),
                           use_fiber);
    WriteExtra(connection, answer);
    if (answer.keep) {
      return net::keep_alive::kYes;
    }
    if (!answer.endless.empty()) {
      WriteEndlessly(connection, answer.endless);
      ++closed_by_peer;
      return net::keep_alive::kNo;
    }
    if (answer.end) {
      server_.Stop();
      SleepFor(server_.io(), std::chrono::milliseconds(20));
    }
    if (answer.hang) {
      char byte = 0;
      connection.stream.async_read_some(net::asio::buffer(&byte, 1), use_fiber);
      ++closed_by_peer;
    }
    return net::keep_alive::kNo;
  }
  void OnBadRequest(net::http_connection&, error_code) override {}

  [[nodiscard]] const endpoint& address() const { return server_.address(); }

  std::atomic<int> requests{0};
  std::atomic<int> closed_by_peer{0};
  std::atomic<std::size_t> endless_bytes{0};
  /// How often `stale` was written.
  std::atomic<int> stale_answers{0};

 private:
  void WriteStale(net::http_connection& connection, const fake_answer& answer) {
    const bool is_first =
        carried_[connection.stream.socket().remote_endpoint().port()]
            .insert(answer.label)
            .second;
    if (answer.stale.empty() || is_first) {
      return;
    }
    net::asio::async_write(connection.stream, net::asio::buffer(answer.stale),
                           use_fiber);
    ++stale_answers;
    SleepFor(server_.io(), answer.pause);
  }
  void WriteExtra(net::http_connection& connection, const fake_answer& answer) {
    if (answer.extra.empty()) {
      return;
    }
    SleepFor(server_.io(), answer.pause);
    net::asio::async_write(connection.stream, net::asio::buffer(answer.extra),
                           use_fiber);
  }
  void WriteEndlessly(net::http_connection& connection,
                      const std::string& piece) {
    for (;;) {
      const auto written = net::asio::async_write(
          connection.stream, net::asio::buffer(piece), use_fiber);
      if (written.ec) {
        return;
      }
      endless_bytes += written.value;
    }
  }

  script script_;
  /// Labels of the requests that each peer's port has carried.
  std::map<std::uint16_t, std::set<std::string>> carried_;
  // Last, as its thread calls this object.
  server_thread server_{*this};
};

}  // namespace burdocklock::app
