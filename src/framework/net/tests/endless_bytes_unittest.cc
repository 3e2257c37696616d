// Peers that send bytes without end, over loopback: a caller instead of a
// request, a server instead of a reply.
#include <chrono>
#include <future>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "framework/fiber/fiber_thread.h"
#include "framework/fiber/use_fiber.h"
#include "framework/net/http_client.h"
#include "framework/net/http_server.h"
#include "framework/net/tests/scripted_server.h"

namespace burdocklock::net {
namespace {

constexpr std::uint32_t kMaxBodyBytes = 256 * 1024;
// What is in socket buffers when the reader gives up comes on top of what it
// has read.
constexpr std::size_t kMaxBytesTaken = 16 * 1024 * 1024;
constexpr std::size_t kPieceBytes = 16 * 1024;
constexpr std::size_t kBudgetBytes = 1024 * 1024;

std::string Repeat(const std::string& text) {
  std::string piece;
  while (piece.size() < kPieceBytes) {
    piece += text;
  }
  return piece;
}

// Sends until the peer closes; returns the bytes sent. Stops far beyond what
// may be taken.
std::size_t SendEndlessly(asio::ip::tcp::socket& socket,
                          const std::string& start,
                          const std::string& repeated) {
  const std::string piece = Repeat(repeated);
  beast::error_code ec;
  std::size_t sent = asio::write(socket, asio::buffer(start), ec);
  while (!ec && sent < 4 * kMaxBytesTaken) {
    sent += asio::write(socket, asio::buffer(piece), ec);
  }
  return sent;
}

struct endless_request_fixture : i_http_handler {
  std::promise<endpoint> bound;
  listener_counters counters;
  byte_budget budget{kBudgetBytes};
  asio::io_context io{1};
  fiber_event stop;
  std::thread server;
  endpoint address;

  endless_request_fixture() {
    server = std::thread([this] {
      RunFiberThread(io, [this] {
        http_server subject(io,
                            {.limits = {.max_body_bytes = kMaxBodyBytes},
                             .counters = &counters,
                             .budget = &budget},
                            *this);
        bound.set_value(subject.Start().value());
        stop.Wait();
        subject.Stop();
      });
    });
    address = bound.get_future().get();
  }
  ~endless_request_fixture() override {
    asio::post(io, [this] { stop.Set(); });
    server.join();
  }

  keep_alive Handle(http_connection& connection, http_request&) override {
    http_response response(http::status::ok, 11);
    return connection.Write(response) ? keep_alive::kYes : keep_alive::kNo;
  }
  void OnBadRequest(http_connection& connection, error_code) override {
    http_response response(http::status::bad_request, 11);
    connection.Write(response);
  }

  bool IsServed() const {
    asio::io_context caller_io;
    asio::ip::tcp::socket socket(caller_io);
    socket.connect(ToTcp(address));
    beast::error_code ec;
    asio::write(socket,
                asio::buffer(std::string("GET / HTTP/1.1\r\nHost: x\r\n"
                                         "Connection: close\r\n\r\n")),
                ec);
    std::string answer(12, ' ');
    asio::read(socket, asio::buffer(answer), ec);
    return answer == "HTTP/1.1 200";
  }
};

TEST_CASE_METHOD(endless_request_fixture,
                 "endless: caller sends without end: given up, others served") {
  const std::string head = "POST / HTTP/1.1\r\nHost: x\r\n";
  const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  struct endless_bytes {
    const char* what;
    std::string start;
    std::string repeated;
  };
  const endless_bytes bytes = GENERATE_COPY(
      endless_bytes{"letters instead of a head", "", "x"},
      endless_bytes{"path", "GET /", "x"},
      endless_bytes{"one field", head + "X-Field: ", "x"},
      endless_bytes{"fields", head, "X-Field: value\r\n"},
      endless_bytes{"body of a length",
                    head + "Content-Length: 99999999999\r\n\r\n", "x"},
      endless_bytes{"chunks", chunked, "4\r\nxxxx\r\n"},
      endless_bytes{"one chunk", chunked + "7fffffff\r\n", "x"},
      endless_bytes{"size of a chunk", chunked, "0"},
      endless_bytes{"extension of a chunk", chunked + "4;", "x"},
      endless_bytes{"trailer", chunked + "4\r\nxxxx\r\n0\r\n",
                    "X-Field: value\r\n"},
      endless_bytes{"one field of a trailer",
                    chunked + "4\r\nxxxx\r\n0\r\nX-Field: ", "x"});
  CAPTURE(bytes.what);
  asio::io_context caller_io;
  asio::ip::tcp::socket socket(caller_io);
  socket.connect(ToTcp(address));
  CHECK(SendEndlessly(socket, bytes.start, bytes.repeated) < kMaxBytesTaken);
  CHECK(IsServed());
}

// Guards against docs/incidents/019: each body was bounded, not their sum.
TEST_CASE_METHOD(endless_request_fixture,
                 "endless: many bodies that do not end: the largest give way, "
                 "a sound one is served") {
  constexpr int kCallers = 8;
  constexpr std::size_t kSentBytes = 200 * 1024;
  asio::io_context caller_io;
  std::vector<asio::ip::tcp::socket> callers;
  for (int i = 0; i < kCallers; ++i) {
    callers.emplace_back(caller_io).connect(ToTcp(address));
    asio::write(callers.back(),
                asio::buffer("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: " +
                             std::to_string(kMaxBodyBytes) + "\r\n\r\n" +
                             std::string(kSentBytes, 'x')));
  }
  asio::ip::tcp::socket sound(caller_io);
  sound.connect(ToTcp(address));
  constexpr std::size_t kSoundBytes = 150 * 1024;
  asio::write(sound, asio::buffer("POST / HTTP/1.1\r\nHost: x\r\n"
                                  "Content-Length: " +
                                  std::to_string(kSoundBytes) + "\r\n\r\n" +
                                  std::string(kSoundBytes, 'x')));
  std::string answer(12, ' ');
  asio::read(sound, asio::buffer(answer));
  CHECK(answer == "HTTP/1.1 200");
  constexpr int kFitting = kBudgetBytes / kSentBytes;
  for (int tries = 0; tries < 500 && counters.given_up < kCallers - kFitting;
       ++tries) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  CHECK(counters.given_up >= kCallers - kFitting);
}

struct endless_reply_fixture : scripted_server {
  std::size_t sent = 0;

  result<http_reply> FetchFrom(const std::string& start,
                               const std::string& repeated) {
    return FetchWhile([&](asio::ip::tcp::socket& socket) {
      sent = SendEndlessly(socket, start, repeated);
    });
  }
};

TEST_CASE_METHOD(endless_reply_fixture,
                 "endless: server replies without end: given up") {
  const std::string head = "HTTP/1.1 200 OK\r\n";
  const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  const auto [start, repeated] = GENERATE_COPY(
      std::pair<std::string, std::string>("", "x"),
      std::pair<std::string, std::string>(head + "X-Field: ", "x"),
      std::pair<std::string, std::string>(head, "X-Field: value\r\n"),
      std::pair<std::string, std::string>("",
                                          "HTTP/1.1 102 Processing\r\n\r\n"),
      std::pair<std::string, std::string>(chunked, "0"),
      std::pair<std::string, std::string>(chunked + "4;", "x"),
      std::pair<std::string, std::string>(chunked + "4\r\nxxxx\r\n0\r\n",
                                          "X-Field: value\r\n"));
  CAPTURE(start, repeated);
  const auto reply = FetchFrom(start, repeated);
  // A complete head may have come before the bytes without end.
  CHECK((!reply || reply.value().body.empty()));
  CHECK(sent < kMaxBytesTaken);
}

}  // namespace
}  // namespace burdocklock::net
