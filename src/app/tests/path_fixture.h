// A control host and a router over loopback, for end-to-end tests of one
// interface adapter.
#pragma once

#include <chrono>
#include <filesystem>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <utility>

#include <unistd.h>

#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>

#include "app/control_host.h"
#include "app/daemon.h"
#include "app/i_interface_adapter.h"
#include "framework/fiber/fiber_thread.h"
#include "framework/net/http_client.h"

namespace burdocklock::app {

class null_logger : public i_logger {
 public:
  void Log(const log_record&) override {}
};

/// Returns a loopback address with a free port. Ports are below the ephemeral
/// range, from which the system assigns ports to outgoing connections, and each
/// test process uses a range of its own, so a port found free stays free until
/// it is used.
inline endpoint FreeAddress() {
  constexpr int kFirstPort = 20'000;
  constexpr int kRanges = 500;
  constexpr int kPortsPerRange = 24;
  static int last = 0;
  for (int tries = 0; tries < kPortsPerRange; ++tries) {
    last = (last + 1) % kPortsPerRange;
    const int port =
        kFirstPort + (::getpid() % kRanges) * kPortsPerRange + last;
    boost::asio::io_context io;
    boost::asio::ip::tcp::acceptor probe(io);
    boost::system::error_code ec;
    probe.open(boost::asio::ip::tcp::v4());
    probe.set_option(boost::asio::ip::tcp::acceptor::reuse_address(true));
    probe.bind({boost::asio::ip::address_v4::loopback(),
                static_cast<std::uint16_t>(port)},
               ec);
    if (!ec) {
      return {.port = static_cast<std::uint16_t>(port)};
    }
  }
  FAIL("no free port in the range of this process");
  return {};
}

/// Changes to the router of a fixture before it starts.
struct router_changes {
  std::function<void(config::settings& settings)> settings;
  /// Logger of the router alone; the fixture's if nullptr.
  i_logger* logger = nullptr;
};

/// Starts without a configuration. The data centre is named "z".
template <typename Adapter>
struct path_fixture {
  null_logger logger;
  Adapter adapter;
  std::filesystem::path folder;
  config::settings control_settings;
  config::settings router_settings;
  std::unique_ptr<control_host> control;
  std::unique_ptr<daemon> router;
  std::thread control_thread;
  std::thread router_thread;
  daemon_addresses addresses;
  i_logger* router_logger = nullptr;
  /// Adapter of the routers that are started from now on, as of other software
  /// than the control host; the fixture's if nullptr.
  const i_interface_adapter* router_adapter = nullptr;

  explicit path_fixture(Adapter used = Adapter(),
                        const router_changes& changes = {})
      : adapter(std::move(used)) {
    std::string name =
        (std::filesystem::temp_directory_path() / "burdocklock-XXXXXX")
            .string();
    REQUIRE(::mkdtemp(name.data()) != nullptr);
    folder = name;
    MakeSettings();
    if (changes.settings) {
      changes.settings(router_settings);
    }
    router_logger = changes.logger != nullptr ? changes.logger : &logger;
    StartControl();
    StartRouter();
  }
  ~path_fixture() {
    StopRouter();
    StopControl();
    std::filesystem::remove_all(folder);
  }

  void MakeSettings() {
    const endpoint links = FreeAddress();
    control_settings.daemon = daemon_id("c");
    control_settings.data_folder = folder.string();
    control_settings.interface = config::caller_interface::kRoutes;
    control_settings.operators.port = 0;
    control_settings.peer_listener = links;
    control_settings.commands = FreeAddress();
    control_settings.control = {.hosts = {links},
                                .first_start = true,
                                .tolerated_disk_losses = 0,
                                .data_centres = {data_centre_id("z")}};
    router_settings = control_settings;
    router_settings.daemon = daemon_id("r");
    router_settings.data_centre = data_centre_id("z");
    router_settings.peer_listener = {};
    router_settings.callers.port = 0;
    router_settings.readiness = FreeAddress();
    router_settings.limits.share_control_thread = true;
    router_settings.timeouts.drain_notice = std::chrono::milliseconds(100);
    router_settings.timeouts.shutdown = std::chrono::milliseconds(2600);
  }
  void StartControl() {
    std::promise<void> started;
    control = std::make_unique<control_host>(control_settings, logger, adapter,
                                             settings_source());
    control_thread = std::thread([&] {
      REQUIRE(control->Run([&] { started.set_value(); }).has_value());
    });
    started.get_future().get();
  }
  void StartRouter() {
    std::promise<daemon_addresses> started;
    router = std::make_unique<daemon>(
        router_settings, config::sheet(), *router_logger,
        router_adapter != nullptr ? router_adapter : &adapter);
    router_thread = std::thread([&] {
      REQUIRE(router->Run([&](const auto& bound) { started.set_value(bound); })
                  .has_value());
    });
    addresses = started.get_future().get();
  }
  void StopRouter() {
    router->Stop();
    router_thread.join();
  }
  void StopControl() {
    control->Stop();
    control_thread.join();
  }

  // Returns a reply with status 0 if the exchange fails.
  static net::http_reply Call(const endpoint& to, net::http_request request) {
    net::http_reply reply;
    // Must outlive its thread because the thread's scheduler refers to it.
    boost::asio::io_context io{1};
    std::thread caller([&] {
      RunFiberThread(io, [&] {
        auto got =
            net::Fetch(io, to, std::move(request), std::chrono::seconds(5));
        if (got) {
          reply = std::move(got.value());
        }
      });
    });
    caller.join();
    return reply;
  }
  static bool Until(const std::function<bool()>& condition) {
    const auto deadline =
        std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (!condition()) {
      if (std::chrono::steady_clock::now() > deadline) {
        return false;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return true;
  }
  [[nodiscard]] unsigned Readiness(const std::string& path) const {
    return Call(router_settings.readiness,
                net::http_request(net::http::verb::get, path, 11))
        .status;
  }
};

}  // namespace burdocklock::app
