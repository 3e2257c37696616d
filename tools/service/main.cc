// Simulated HTTP service: executes orders, which it records in a
// journal, and serves certificates, which are safe to fetch repeatedly.
#include <cstdlib>
#include <string>

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include "framework/fiber/sleep.h"
#include "framework/fiber/use_fiber.h"
#include "framework/net/http_server.h"
#include "stand_in/fault_plan.h"
#include "stand_in/journal.h"
#include "stand_in/target_process.h"

namespace {

using namespace burdocklock;  // NOLINT(google-build-using-namespace)
namespace http = net::http;
using stand_in::fault;

constexpr char kRequestIdField[] = "X-Request-Id";

class service_handler : public net::i_http_handler {
 public:
  service_handler(boost::asio::io_context& io,
                  duration processing_time,
                  stand_in::fault_plan& faults,
                  stand_in::journal& journal)
      : io_(io),
        processing_time_(processing_time),
        faults_(faults),
        journal_(journal) {}

  net::keep_alive Handle(net::http_connection& connection,
                         net::http_request& request) override {
    ++active_;
    const net::keep_alive result = HandleRequest(connection, request);
    --active_;
    return result;
  }

  void OnBadRequest(net::http_connection&, error_code) override {}

  [[nodiscard]] std::size_t active() const { return active_; }

 private:
  net::keep_alive HandleRequest(net::http_connection& connection,
                                net::http_request& request) {
    const fault fault = faults_.Next();
    if (fault == fault::kNotAdmitted) {
      return Reply(connection, request, http::status::service_unavailable,
                   R"({"error":"not admitted"})", "no");
    }
    journal_.RecordRequest(std::string(request[kRequestIdField]));
    const bool is_order = request.method() == http::verb::post &&
                          request.target().starts_with("/orders");
    if (is_order) {
      journal_.RecordOrder(std::string(request["Idempotency-Key"]));
    }
    if (fault == fault::kDie) {
      std::_Exit(1);
    }
    if (fault == fault::kHang || fault == fault::kStall) {
      char byte = 0;
      connection.stream.async_read_some(net::asio::buffer(&byte, 1), use_fiber);
      return net::keep_alive::kNo;
    }
    SleepFor(io_, processing_time_);
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
  duration processing_time_;
  stand_in::fault_plan& faults_;
  stand_in::journal& journal_;
  std::size_t active_ = 0;
};

struct service_options {
  stand_in::target_options target{.slots = 32, .cold_slots = 4};
  std::string service = "service";
  std::uint32_t work_us = 2'000;
};

int RunService(boost::asio::io_context& io, const service_options& options) {
  stand_in::fault_plan faults = stand_in::MakeFaultPlan(options.target);
  stand_in::journal journal(options.target.journal);
  service_handler handler(io, std::chrono::microseconds(options.work_us),
                          faults, journal);
  const stand_in::target_process process{
      .options = options.target,
      .description = {{"kind", "service"},
                      {"service", options.service},
                      {"fencing", "ignores"}},
      .active_requests = [&] { return handler.active(); },
      .load = [&]() -> nlohmann::json {
        return {{"running", handler.active()}, {"waiting", 0}, {"kv_used", 0}};
      }};
  return stand_in::RunTarget(io, process, handler);
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Simulated HTTP service.");
  service_options options;
  stand_in::AddTargetOptions(app, options.target);
  app.add_option("--service", options.service, "Service name");
  app.add_option("--work-us", options.work_us,
                 "Processing time of a call in microseconds");
  CLI11_PARSE(app, argc, argv);
  return stand_in::RunOnFiberThread(
      [&](boost::asio::io_context& io) { return RunService(io, options); });
}
