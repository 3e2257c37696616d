// Stand-in for a plain service: files orders, notes each one that it ran, and
// serves certificates, which may be fetched as often as one likes.
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <string>
#include <thread>

#include <CLI/CLI.hpp>
#include <boost/asio/signal_set.hpp>
#include <nlohmann/json.hpp>

#include "framework/fiber/fiber_thread.h"
#include "framework/fiber/sleep.h"
#include "framework/fiber/use_fiber.h"
#include "framework/net/http_server.h"
#include "stand_in/announcer.h"
#include "stand_in/fault_plan.h"
#include "stand_in/journal.h"

namespace {

using namespace burdocklock;  // NOLINT(google-build-using-namespace)
namespace http = net::http;
using stand_in::fault;

constexpr char kRequestIdField[] = "X-Request-Id";

class service_handler : public net::i_http_handler {
 public:
  service_handler(boost::asio::io_context& io,
                  duration work_time,
                  stand_in::fault_plan& faults,
                  stand_in::journal& journal)
      : io_(io), work_time_(work_time), faults_(faults), journal_(journal) {}

  net::keep_alive Handle(net::http_connection& connection,
                         net::http_request& request) override {
    ++active_;
    const net::keep_alive keep = Work(connection, request);
    --active_;
    return keep;
  }

  void OnBadRequest(net::http_connection&, error_code) override {}

  [[nodiscard]] std::size_t active() const { return active_; }

 private:
  net::keep_alive Work(net::http_connection& connection,
                       net::http_request& request) {
    const fault fault = faults_.Next();
    if (fault == fault::kNotAdmitted) {
      return Reply(connection, request, http::status::service_unavailable,
                   R"({"error":"not admitted"})", "no");
    }
    journal_.RequestBegun(std::string(request[kRequestIdField]));
    const bool is_order = request.method() == http::verb::post &&
                          request.target().starts_with("/orders");
    if (is_order) {
      journal_.OrderRun(std::string(request["Idempotency-Key"]));
    }
    if (fault == fault::kDie) {
      std::_Exit(1);
    }
    if (fault == fault::kHang || fault == fault::kStall) {
      char byte = 0;
      connection.stream.async_read_some(net::asio::buffer(&byte, 1), use_fiber);
      return net::keep_alive::kNo;
    }
    SleepFor(io_, work_time_);
    if (fault == fault::kReset) {
      return net::keep_alive::kNo;
    }
    if (fault == fault::kCross || fault == fault::kCrossLate) {
      request.set(kRequestIdField, "another-0-1");
    }
    const nlohmann::ordered_json body = {
        {"path", std::string(request.target())},
        {"order", std::string(request["Idempotency-Key"])},
        {"request", std::string(request[kRequestIdField])}};
    return Reply(connection, request,
                 is_order ? http::status::created : http::status::ok,
                 body.dump());
  }

  static net::keep_alive Reply(net::http_connection& connection,
                               const net::http_request& request,
                               http::status status,
                               std::string body,
                               const char* admitted = nullptr) {
    net::http_response response(status, request.version());
    response.set(http::field::content_type, "application/json");
    response.set(kRequestIdField, request[kRequestIdField]);
    if (admitted != nullptr) {
      response.set("X-Admitted", admitted);
    }
    response.keep_alive(request.keep_alive());
    response.body() = std::move(body);
    return connection.Write(response) && request.keep_alive()
               ? net::keep_alive::kYes
               : net::keep_alive::kNo;
  }

  boost::asio::io_context& io_;
  duration work_time_;
  stand_in::fault_plan& faults_;
  stand_in::journal& journal_;
  std::size_t active_ = 0;
};

struct service_options {
  std::string name = "service";
  std::string service = "service";
  std::string listen = "127.0.0.1:0";
  std::string entry_hosts;
  std::string token;
  std::string data_centre = "local";
  std::uint32_t slots = 32;
  std::uint32_t work_us = 2'000;
  std::string faults;
  std::string journal;
  unsigned fault_period = 0;
};

constexpr std::chrono::milliseconds kLeaveCheckPeriod{20};

int RunService(boost::asio::io_context& io, const service_options& options) {
  stand_in::fault_plan faults;
  std::deque<fault> kinds;
  for (const std::string& name : stand_in::SplitList(options.faults)) {
    kinds.push_back(stand_in::ParseFault(name));
  }
  faults.SetPeriodic(kinds, options.fault_period);
  stand_in::journal journal(options.journal);
  service_handler handler(io, std::chrono::microseconds(options.work_us),
                          faults, journal);
  net::http_server server(
      io, {.listen = stand_in::ParseEndpoints(options.listen).at(0)}, handler);
  const auto bound = server.Start();
  if (!bound) {
    std::cerr << bound.error().Message() << '\n';
    return 1;
  }
  std::cout << ToString(bound.value()) << std::endl;
  std::string state = "ready";
  const std::uint64_t incarnation = stand_in::WallMilliseconds();
  const auto announcer = std::make_shared<stand_in::announcer>(
      io,
      stand_in::announcer_options{
          .entry_hosts = stand_in::ParseEndpoints(options.entry_hosts),
          .token = options.token},
      [&]() -> nlohmann::json {
        return {{"target", options.name},
                {"incarnation", incarnation},
                {"data_centre", options.data_centre},
                {"kind", "service"},
                {"address", ToString(bound.value())},
                {"service", options.service},
                {"state", state},
                {"slots", options.slots},
                {"cold_slots", std::min(4U, options.slots)},
                {"fencing", "ignores"}};
      },
      [&]() -> nlohmann::json {
        return {{"running", handler.active()}, {"waiting", 0}, {"kv_used", 0}};
      });
  SpawnFiber([announcer] { announcer->Run(); });
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait(use_fiber);
  state = "leaving";
  announcer->Stop();
  announcer->AnnounceOnce();
  while (handler.active() > 0) {
    SleepFor(io, kLeaveCheckPeriod);
  }
  server.Stop();
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Stand-in plain service.");
  service_options options;
  app.add_option("--name", options.name, "Target name");
  app.add_option("--service", options.service, "Service name");
  app.add_option("--listen", options.listen, "Address to listen on");
  app.add_option("--entry-hosts", options.entry_hosts,
                 "Entry hosts to announce at, separated by commas");
  app.add_option("--token", options.token, "Target token");
  app.add_option("--data-centre", options.data_centre, "Data centre");
  app.add_option("--slots", options.slots, "Calls borne at once");
  app.add_option("--work-us", options.work_us, "Time that a call takes");
  app.add_option("--faults", options.faults,
                 "Kinds of periodic faults, separated by commas");
  app.add_option("--fault-period", options.fault_period,
                 "Every how many calls a fault occurs; 0 for never");
  app.add_option("--journal", options.journal,
                 "File that lists the calls and orders run");
  CLI11_PARSE(app, argc, argv);
  boost::asio::io_context io{1};
  int exit_code = 0;
  std::thread worker([&] {
    RunFiberThread(io, [&] { exit_code = RunService(io, options); });
  });
  worker.join();
  return exit_code;
}
