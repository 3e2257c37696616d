// Messages that no sound peer sends, over loopback: what they end is one
// request or one connection.
#include <chrono>
#include <future>
#include <optional>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "framework/fiber/fiber_thread.h"
#include "framework/fiber/use_fiber.h"
#include "framework/net/http_client.h"
#include "framework/net/http_server.h"
#include "framework/net/tests/blocking_caller.h"
#include "framework/net/tests/scripted_server.h"

namespace burdocklock::net {
namespace {

// Pieces are sent with this time between them, so that they are read apart.
constexpr std::chrono::milliseconds kBetweenPieces{100};
// Long enough for what was sent to arrive over loopback.
constexpr std::chrono::milliseconds kArrival{100};
constexpr std::size_t kLongField = 72'000;
// Of a long trailer, what a client takes before it has all of it.
constexpr std::size_t kFirstPiece = 60'000;
// Of a value in a trailer that fits into 64 KiB.
constexpr std::size_t kLongestTrailer = 65'500;

const std::string kHead =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

using pieces = std::vector<std::string>;

// Answers one request with pieces, whatever was asked.
struct odd_answer_fixture : scripted_server {
  result<http_reply> FetchAnswer(const pieces& answer) {
    return FetchWhile([&answer](asio::ip::tcp::socket& socket) {
      beast::error_code ec;
      for (const std::string& piece : answer) {
        asio::write(socket, asio::buffer(piece), ec);
        std::this_thread::sleep_for(kBetweenPieces);
      }
    });
  }
};

// Guards against docs/incidents/027: a trailer field that is whole in the
// buffer and longer than a field can be ended the process.
TEST_CASE_METHOD(odd_answer_fixture,
                 "odd answer: a field is longer than fields can be: refused") {
  const std::string name(kLongField, 'n');
  const std::string value(kLongField, 'v');
  const std::string trailer = GENERATE_COPY("X-Check: " + value, name + ": 1");
  const auto reply = FetchAnswer({kHead + "4\r\nxxxx\r\n",
                                  "0\r\n" + trailer.substr(0, kFirstPiece),
                                  trailer.substr(kFirstPiece) + "\r\n\r\n"});
  REQUIRE_FALSE(reply);
  CHECK(reply.error().code == error_code::kTooLarge);
}

TEST_CASE_METHOD(odd_answer_fixture,
                 "odd answer: a trailer is as long as one can be: taken") {
  const std::string trailer =
      "0\r\nX-Check: " + std::string(kLongestTrailer, 'v') + "\r\n\r\n";
  const auto reply = FetchAnswer({kHead + "4\r\nxxxx\r\n", trailer});
  REQUIRE(reply);
  CHECK(reply.value().body == "xxxx");
}

struct odd_request_fixture : i_http_handler {
  // More than a field can hold, as configurations may set it.
  static constexpr std::uint32_t kMaxHeaderBytes = 256 * 1024;

  std::promise<endpoint> bound;
  asio::io_context io{1};
  fiber_event stop;
  std::thread server;
  endpoint address;

  odd_request_fixture() {
    server = std::thread([this] {
      RunFiberThread(io, [this] {
        http_server subject(
            io, {.limits = {.max_header_bytes = kMaxHeaderBytes}}, *this);
        bound.set_value(subject.Start().value());
        stop.Wait();
        subject.Stop();
      });
    });
    address = bound.get_future().get();
  }
  ~odd_request_fixture() override {
    asio::post(io, [this] { stop.Set(); });
    server.join();
  }

  keep_alive Handle(http_connection& connection, http_request&) override {
    http_response response(http::status::ok, 11);
    return connection.Write(response) ? keep_alive::kYes : keep_alive::kNo;
  }
  void OnBadRequest(http_connection& connection, error_code code) override {
    http_response response(code == error_code::kTooLarge
                               ? http::status::request_header_fields_too_large
                               : http::status::bad_request,
                           11);
    connection.Write(response);
  }
};

// Guards against docs/incidents/027: a header field beyond what fields hold
// ended the process where heads may be as large.
TEST_CASE_METHOD(odd_request_fixture,
                 "odd request: a field is longer than fields can be: refused, "
                 "others served") {
  const std::string value(kMaxFieldBytes + 1, 'v');
  const std::string request = GENERATE_COPY(
      "GET / HTTP/1.1\r\nX-Check: " + value + "\r\n\r\n",
      "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-Check: " +
          value + "\r\n\r\n");
  CHECK(blocking_caller(address).Ask(request) == 431);
  CHECK(blocking_caller(address).Ask() == 200);
}

TEST_CASE_METHOD(odd_request_fixture,
                 "odd request: TRACE has a body: refused, others served") {
  CHECK(blocking_caller(address).Ask(
            "TRACE / HTTP/1.1\r\nContent-Length: 4\r\n\r\nxxxx") == 400);
  CHECK(blocking_caller(address).Ask("TRACE / HTTP/1.1\r\n\r\n") == 200);
  CHECK(blocking_caller(address).Ask() == 200);
}

// Guards against docs/incidents/027: writing TRACE with a body ended the
// process.
TEST_CASE_METHOD(odd_request_fixture,
                 "odd request: TRACE with a body is to be sent: an error") {
  http_request request(http::verb::trace, "/", 11);
  request.body() = "xxxx";
  asio::io_context client_io{1};
  std::optional<result<http_reply>> reply;
  std::thread client([&] {
    RunFiberThread(client_io, [&] {
      reply = Fetch(client_io, address, request, std::chrono::seconds(20));
    });
  });
  client.join();
  REQUIRE_FALSE(*reply);
  CHECK(reply->error().code == error_code::kMalformed);
}

TEST_CASE_METHOD(odd_request_fixture,
                 "odd request: a field is as long as fields can be: served") {
  CHECK(blocking_caller(address).Ask(
            "GET / HTTP/1.1\r\nX-Check: " + std::string(kMaxFieldBytes, 'v') +
            "\r\n\r\n") == 200);
}

// Its handler throws where it is told to, as a library may.
struct throwing_handler_fixture : i_http_handler {
  std::promise<endpoint> bound;
  std::promise<void> held;
  std::promise<void> release;
  std::vector<std::string> causes;
  listener_counters counters;
  asio::io_context io{1};
  fiber_event stop;
  std::thread server;
  endpoint address;

  throwing_handler_fixture() {
    server = std::thread([this] {
      RunFiberThread(io, [this] {
        http_server subject(
            io,
            {.turns_away = [] { return true; },
             .counters = &counters,
             .on_failed =
                 [this](const std::string& cause) { causes.push_back(cause); }},
            *this);
        bound.set_value(subject.Start().value());
        stop.Wait();
        subject.Stop();
      });
    });
    address = bound.get_future().get();
  }
  ~throwing_handler_fixture() override { Stop(); }

  void Stop() {
    if (server.joinable()) {
      asio::post(io, [this] { stop.Set(); });
      server.join();
    }
  }

  keep_alive Handle(http_connection& connection,
                    http_request& request) override {
    if (request.target() == "/throw") {
      throw std::length_error("thrown by a fiber");
    }
    if (request.target() == "/hold") {
      held.set_value();
      release.get_future().get();
    }
    http_response response(http::status::ok, 11);
    return connection.Write(response) ? keep_alive::kYes : keep_alive::kNo;
  }
  void OnBadRequest(http_connection&, error_code) override {}
  [[nodiscard]] bool refuses_at_once() const override { return true; }
  bool RefuseAtOnce(http_connection&, http_request& request) override {
    if (request.target() == "/throw-at-once") {
      throw std::length_error("thrown before a fiber");
    }
    return false;
  }
};

// Guards against docs/incidents/027: an exception on one connection ended the
// process, and all connections with it.
TEST_CASE_METHOD(throwing_handler_fixture,
                 "handler throws: its connection ends, others are served") {
  blocking_caller kept(address);
  REQUIRE(kept.Ask() == 200);
  CHECK(blocking_caller(address).Ask("GET /throw HTTP/1.1\r\n\r\n") == 0);
  CHECK(kept.Ask() == 200);
  CHECK(blocking_caller(address).Ask() == 200);
  kept.socket.close();
  Stop();
  CHECK(counters.failed == 1);
  CHECK(counters.open == 0);
  CHECK(causes == std::vector<std::string>{"thrown by a fiber"});
}

// As above, for requests that are refused without a fiber.
TEST_CASE_METHOD(throwing_handler_fixture,
                 "handler throws before a fiber is started: its connection "
                 "ends, others are served") {
  blocking_caller holding(address);
  holding.Send("GET /hold HTTP/1.1\r\n\r\n");
  held.get_future().get();
  // Its request has arrived before the server accepts it.
  blocking_caller refused(address);
  refused.Send("GET /throw-at-once HTTP/1.1\r\n\r\n");
  std::this_thread::sleep_for(kArrival);
  release.set_value();
  CHECK(refused.ReadStatus() == 0);
  CHECK(holding.ReadStatus() == 200);
  CHECK(blocking_caller(address).Ask() == 200);
  holding.socket.close();
  Stop();
  CHECK(counters.failed == 1);
  CHECK(causes == std::vector<std::string>{"thrown before a fiber"});
}

}  // namespace
}  // namespace burdocklock::net
