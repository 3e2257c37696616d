// The HTTP server at its limit on connections, over loopback.
#include "framework/net/http_server.h"

#include <atomic>
#include <chrono>
#include <future>
#include <string>
#include <thread>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "framework/fiber/fiber_thread.h"
#include "framework/fiber/use_fiber.h"

namespace burdocklock::net {
namespace {

using std::chrono::milliseconds;

// Occupies the server's thread, so that what arrives meanwhile is handled in
// one turn of its event loop.
constexpr milliseconds kSlowTime{100};

struct two_connections_fixture : i_http_handler {
  std::promise<endpoint> bound;
  std::promise<void> slow_started;
  std::atomic<int> handled{0};
  asio::io_context io{1};
  fiber_event stop;
  std::thread server;
  endpoint address;

  two_connections_fixture() {
    server = std::thread([this] {
      RunFiberThread(io, [this] {
        http_server subject(io, {.max_connections = 2}, *this);
        bound.set_value(subject.Start().value());
        stop.Wait();
        subject.Stop();
      });
    });
    address = bound.get_future().get();
  }
  ~two_connections_fixture() override {
    asio::post(io, [this] { stop.Set(); });
    server.join();
  }

  keep_alive Handle(http_connection& connection,
                    http_request& request) override {
    if (request.target() == "/slow") {
      slow_started.set_value();
      std::this_thread::sleep_for(kSlowTime);
    } else {
      ++handled;
    }
    http_response response(http::status::ok, 11);
    return connection.Write(response) ? keep_alive::kYes : keep_alive::kNo;
  }
  void OnBadRequest(http_connection&, error_code) override {}
};

struct test_caller {
  asio::io_context io;
  asio::ip::tcp::socket socket{io};

  explicit test_caller(const endpoint& server) {
    socket.connect(ToTcp(server));
  }
  void Send(const std::string& path) {
    beast::error_code ignored;
    asio::write(socket,
                asio::buffer("GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n"),
                ignored);
  }
  bool IsAnswered() {
    std::string answer;
    beast::error_code ec;
    asio::read_until(socket, asio::dynamic_buffer(answer), "\r\n\r\n", ec);
    return !ec;
  }
};

TEST_CASE_METHOD(two_connections_fixture,
                 "server: request crosses the closing of its idle connection: "
                 "not handled unless it is answered") {
  test_caller idle(address);
  idle.Send("/first");
  REQUIRE(idle.IsAnswered());
  REQUIRE(handled == 1);
  test_caller slow(address);
  slow.Send("/slow");
  slow_started.get_future().get();
  // Both arrive before the server's thread looks again, the connection first.
  test_caller added(address);
  idle.Send("/second");
  CHECK(slow.IsAnswered());
  added.Send("/third");
  CHECK(added.IsAnswered());
  const bool answered = idle.IsAnswered();
  CHECK(handled == (answered ? 3 : 2));
}

TEST_CASE_METHOD(two_connections_fixture,
                 "server: at its limit without a new caller: idle connections "
                 "stay open") {
  test_caller first(address);
  first.Send("/first");
  REQUIRE(first.IsAnswered());
  test_caller second(address);
  second.Send("/second");
  REQUIRE(second.IsAnswered());
  first.Send("/third");
  CHECK(first.IsAnswered());
  CHECK(handled == 3);
}

}  // namespace
}  // namespace burdocklock::net
