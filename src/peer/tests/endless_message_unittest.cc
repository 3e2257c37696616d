// Peers that send bytes without end over a link instead of messages.
#include <atomic>
#include <chrono>
#include <cstdint>
#include <future>
#include <memory>
#include <string>
#include <thread>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "peer/peer_network.h"

namespace burdocklock::peer {
namespace {

namespace asio = boost::asio;

constexpr std::size_t kMaxMessageBytes = 256 * 1024;
// Socket buffers come on top of what the reader has taken.
constexpr std::size_t kMaxBytesTaken = 16 * 1024 * 1024;
constexpr std::size_t kPieceBytes = 16 * 1024;

struct endless_message_fixture {
  asio::io_context io{1};
  std::atomic<int> messages = 0;
  std::unique_ptr<peer_network> subject;
  std::unique_ptr<peer_network> sound;
  std::thread thread;
  std::uint16_t port = 0;

  endless_message_fixture() {
    std::string problem;
    subject = std::make_unique<peer_network>(
        io, peer_options{.max_message_bytes = kMaxMessageBytes},
        peer_handlers{.on_up = [](std::uint64_t) {},
                      .on_message =
                          [this](std::uint64_t, const std::string&) {
                            ++messages;
                            return true;
                          },
                      .on_down = [](std::uint64_t, const std::string&) {}});
    port = subject->Start(problem);
    REQUIRE(port != 0);
    sound = std::make_unique<peer_network>(
        io,
        peer_options{.peers = {"ws://127.0.0.1:" + std::to_string(port)},
                     .listen = false},
        peer_handlers{
            .on_up = [this](std::uint64_t link) { sound->Send(link, "m"); },
            .on_message = [](std::uint64_t,
                             const std::string&) { return true; },
            .on_down = [](std::uint64_t, const std::string&) {}});
    sound->Start(problem);
    thread = std::thread([this] { io.run(); });
    REQUIRE(Receives(1));
  }
  ~endless_message_fixture() {
    std::promise<void> stopped;
    asio::post(io, [&] {
      sound->Stop();
      subject->Stop();
      stopped.set_value();
    });
    stopped.get_future().get();
    io.stop();
    thread.join();
  }

  bool Receives(int count) const {
    for (int tries = 0; tries < 500 && messages < count; ++tries) {
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return messages >= count;
  }
  void CheckSoundLink() {
    const int before = messages;
    asio::post(io, [this] { sound->Send(1, "m"); });
    CHECK(Receives(before + 1));
  }

  static std::size_t SendEndlessly(asio::ip::tcp::socket& socket, char letter) {
    const std::string piece(kPieceBytes, letter);
    boost::system::error_code ec;
    std::size_t sent = 0;
    while (!ec && sent < 4 * kMaxBytesTaken) {
      sent += asio::write(socket, asio::buffer(piece), ec);
    }
    return sent;
  }
  void OpenLink(asio::ip::tcp::socket& socket) const {
    const std::string request =
        "GET / HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\n"
        "Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"
        "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n";
    asio::write(socket, asio::buffer(request));
    std::string reply;
    asio::read_until(socket, asio::dynamic_buffer(reply), "\r\n\r\n");
    REQUIRE(reply.starts_with("HTTP/1.1 101"));
  }
};

TEST_CASE_METHOD(endless_message_fixture,
                 "link: handshake without end: closed, other links go on") {
  const std::string start =
      GENERATE(as<std::string>(), "", "GET /", "GET / HTTP/1.1\r\nX-Field: ");
  CAPTURE(start);
  asio::io_context own_io;
  asio::ip::tcp::socket socket(own_io);
  socket.connect({asio::ip::address_v4::loopback(), port});
  asio::write(socket, asio::buffer(start));
  CHECK(SendEndlessly(socket, 'x') < kMaxBytesTaken);
  CheckSoundLink();
}

TEST_CASE_METHOD(endless_message_fixture,
                 "link: message without end: closed, other links go on") {
  // A binary frame of 2^40 bytes, and a first fragment of as many.
  const char first_byte = GENERATE('\x82', '\x02');
  const std::string frame{first_byte, '\xff', 0, 0, 1, 0, 0,
                          0,          0,      0, 0, 0, 0, 0};
  asio::io_context own_io;
  asio::ip::tcp::socket socket(own_io);
  socket.connect({asio::ip::address_v4::loopback(), port});
  OpenLink(socket);
  asio::write(socket, asio::buffer(frame));
  CHECK(SendEndlessly(socket, 'x') < kMaxBytesTaken);
  CheckSoundLink();
}

TEST_CASE_METHOD(endless_message_fixture,
                 "link: fragments without end: closed, other links go on") {
  asio::io_context own_io;
  asio::ip::tcp::socket socket(own_io);
  socket.connect({asio::ip::address_v4::loopback(), port});
  OpenLink(socket);
  // Masked with zeros, 16 KiB each, none of them the last.
  std::string fragment{'\x00', '\xfe', '\x40', '\x00', 0, 0, 0, 0};
  fragment += std::string(kPieceBytes, 'x');
  std::string piece = fragment;
  piece[0] = '\x02';
  boost::system::error_code ec;
  std::size_t sent = 0;
  while (!ec && sent < 4 * kMaxBytesTaken) {
    sent += asio::write(socket, asio::buffer(piece), ec);
    piece[0] = '\x00';
  }
  CHECK(sent < kMaxBytesTaken);
  CheckSoundLink();
}

}  // namespace
}  // namespace burdocklock::peer
