// Calls in which something throws, over loopback, with a control side that
// gives each call to one target.
#include <atomic>
#include <chrono>
#include <future>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <boost/asio/post.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "framework/fiber/fiber_thread.h"
#include "framework/fiber/use_fiber.h"
#include "framework/net/tests/blocking_caller.h"
#include "gateway/routed_dialect.h"
#include "gateway/traffic_service.h"

namespace burdocklock::gateway {
namespace {

using net::blocking_caller;

constexpr char kAsk[] = "GET /a/ HTTP/1.1\r\nHost: x\r\n\r\n";

enum class throwing_part {
  kNone,
  /// While the answer's head is read, in an attempt.
  kAttempt,
  /// While the refusal is written, outside an attempt.
  kRefusal,
  /// After the call was admitted, before it is served.
  kAdmittedCall,
};

class throwing_dialect : public routed_dialect {
 public:
  explicit throwing_dialect(throwing_part part)
      : routed_dialect({.name = "X-Name",
                        .time_left = "X-Time-Left",
                        .customer = "X-Customer",
                        .target = "X-Target",
                        .resume_after = "X-Resume",
                        .copy_from = "X-Copy",
                        .rate_limit = "X-Rate",
                        .leaving = "X-Leaving"}),
        part_(part) {}

  [[nodiscard]] result<call_facts> ReadCall(
      const net::http_request&) const override {
    return call_facts{.name = "call", .host_name = "x"};
  }
  [[nodiscard]] net::http_request BuildTargetRequest(
      const net::http_request& received,
      const call_identity& identity) const override {
    if (part_ == throwing_part::kAdmittedCall) {
      throw std::length_error("admitted call");
    }
    return routed_dialect::BuildTargetRequest(received, identity);
  }
  [[nodiscard]] routing::answer_head ReadAnswerHead(
      const net::http_response_head& head,
      time_point received) const override {
    if (part_ == throwing_part::kAttempt) {
      throw std::length_error("attempt");
    }
    return routed_dialect::ReadAnswerHead(head, received);
  }
  [[nodiscard]] head_verdict Judge(const net::http_response_head&,
                                   const outgoing_call&) const override {
    return head_verdict::kAnswer;
  }
  [[nodiscard]] bool fractional_retry_after() const override { return false; }

 private:
  throwing_part part_;
};

// Starts one attempt for each call, and refuses the call if that fails.
class one_attempt_control : public i_control {
 public:
  one_attempt_control(endpoint target, throwing_part part)
      : target_(std::move(target)), part_(part) {
    routes::configuration configuration;
    configuration.routes = {
        {.name = "all",
         .host_name = "x",
         .path_prefix = "/",
         .timeout = std::chrono::seconds(20),
         .services = {{.service = pool_id("desk"), .weight = 1}},
         .anonymous = true}};
    configuration.services = {{.service = pool_id("desk")}};
    routes_ = std::make_shared<routes::route_index>(configuration);
  }

  request_seq NextRequest() override { return request_seq(++last_request_); }
  [[nodiscard]] std::string RequestName(request_seq) const override {
    return "request";
  }
  [[nodiscard]] std::string RefusalName(refusal_seq) const override {
    if (part_ == throwing_part::kRefusal) {
      throw std::length_error("refusal");
    }
    return "refusal";
  }
  [[nodiscard]] std::shared_ptr<const config::sheet_index> Sheet()
      const override {
    return nullptr;
  }
  [[nodiscard]] std::shared_ptr<const routes::route_index> Routes()
      const override {
    return routes_;
  }
  [[nodiscard]] bool IsDraining() const override { return false; }
  [[nodiscard]] bool IsReady() const override { return true; }
  [[nodiscard]] std::optional<routing::drain_window> DrainWindow()
      const override {
    return std::nullopt;
  }
  void Submit(const routing::request_spec& spec,
              std::shared_ptr<i_exchange> exchange) override {
    exchange_ = std::move(exchange);
    if (part_ == throwing_part::kRefusal) {
      exchange_->Deliver(routing::refuse_request{.refusal = {}});
      return;
    }
    exchange_->Deliver(routing::start_attempt{.request = spec.id,
                                              .attempt = attempt_number(1),
                                              .target = target_id("t1"),
                                              .address = target_});
  }
  refusal_seq NextRefusal() override { return refusal_seq(1); }
  void ReportRefusals(std::vector<refusals::named_refusal>) override {}
  void ReportAttempt(request_seq,
                     attempt_number,
                     routing::attempt_event event) override {
    if (const auto* failed = std::get_if<routing::attempt_failed>(&event)) {
      failures.push_back(failed->step + ": " + failed->detail);
      exchange_->Deliver(routing::refuse_request{
          .refusal = {.reason = refusals::refusal_reason::kTargetFailed,
                      .run = refusals::run_state::kUnknown}});
    }
  }
  void ReportProgress(progress_batch) override {}
  void ReportCallerLeft(request_seq) override { ++callers_left; }
  void Announce(targets::announcement) override {}
  void ReportCrossedClose(const net::crossed_close&) override {}
  void ReportFailedConnection(const std::string& cause) override {
    failed_connections.push_back(cause);
  }

  // Of one thread; to be read once it has ended.
  std::vector<std::string> failures;
  std::vector<std::string> failed_connections;
  int callers_left = 0;

 private:
  endpoint target_;
  throwing_part part_;
  std::shared_ptr<const routes::route_index> routes_;
  std::shared_ptr<i_exchange> exchange_;
  std::uint64_t last_request_ = 0;
};

// A target that answers each connection's first request.
class one_answer_target {
 public:
  one_answer_target() {
    thread_ = std::thread([this] {
      boost::system::error_code ec;
      while (!ec) {
        asio_socket socket(io_);
        acceptor_.accept(socket, ec);
        std::string request;
        boost::asio::read_until(socket, boost::asio::dynamic_buffer(request),
                                "\r\n\r\n", ec);
        boost::asio::write(
            socket,
            boost::asio::buffer(
                std::string("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")),
            ec);
        ec = ended_ ? boost::asio::error::eof : boost::system::error_code();
      }
    });
  }
  ~one_answer_target() {
    ended_ = true;
    asio_socket last(io_);
    boost::system::error_code ignored;
    last.connect(acceptor_.local_endpoint(), ignored);
    last.close(ignored);
    thread_.join();
  }
  [[nodiscard]] endpoint address() const {
    return {.port = acceptor_.local_endpoint().port()};
  }

 private:
  using asio_socket = boost::asio::ip::tcp::socket;

  boost::asio::io_context io_;
  boost::asio::ip::tcp::acceptor acceptor_{
      io_,
      {boost::asio::ip::address_v4::loopback(), 0}};
  std::atomic<bool> ended_ = false;
  std::thread thread_;
};

struct throwing_call_fixture {
  one_answer_target target;
  std::optional<throwing_dialect> dialect;
  std::optional<one_attempt_control> control;
  traffic_state shared;
  boost::asio::io_context io{1};
  fiber_event stop;
  std::thread thread;
  endpoint address;

  void Start(throwing_part part) {
    dialect.emplace(part);
    control.emplace(target.address(), part);
    std::promise<endpoint> bound;
    thread = std::thread([this, &bound] {
      traffic_service subject(io, {}, *control, &*dialect, shared);
      RunFiberThread(
          io,
          [&] {
            bound.set_value(subject.Start().value());
            stop.Wait();
            subject.Stop();
          },
          [&subject](duration busy, time_point now) {
            subject.OnTurn(busy, now);
          });
      subject.OnTurn({}, std::chrono::steady_clock::now());
    });
    address = bound.get_future().get();
  }
  /// Also waits for all connections to end.
  void Stop() {
    boost::asio::post(io, [this] { stop.Set(); });
    thread.join();
  }
};

TEST_CASE_METHOD(throwing_call_fixture, "call: nothing throws: answered") {
  Start(throwing_part::kNone);
  CHECK(blocking_caller(address).Ask(kAsk) == 200);
  Stop();
  CHECK(control->failures.empty());
  CHECK(shared.in_progress == 0);
}

// The cases below guard against docs/incidents/027: an exception in one call
// ended the process.
TEST_CASE_METHOD(
    throwing_call_fixture,
    "call: an attempt throws: it fails, the caller is told and stays") {
  Start(throwing_part::kAttempt);
  {
    blocking_caller caller(address);
    CHECK(caller.Ask(kAsk) == 502);
    CHECK(caller.Ask(kAsk) == 502);
  }
  Stop();
  CHECK(control->failures == std::vector<std::string>(2, "exception: attempt"));
  CHECK(control->failed_connections.empty());
  CHECK(shared.in_progress == 0);
}

TEST_CASE_METHOD(throwing_call_fixture,
                 "call: its end throws: the connection ends, nothing is left") {
  Start(throwing_part::kRefusal);
  CHECK(blocking_caller(address).Ask(kAsk) == 0);
  CHECK(blocking_caller(address).Ask(kAsk) == 0);
  Stop();
  CHECK(control->failed_connections == std::vector<std::string>(2, "refusal"));
  CHECK(control->callers_left == 2);
  CHECK(shared.in_progress == 0);
  CHECK(shared.callers.open == 0);
}

TEST_CASE_METHOD(
    throwing_call_fixture,
    "call: it throws once admitted: the connection ends, nothing is left") {
  Start(throwing_part::kAdmittedCall);
  CHECK(blocking_caller(address).Ask(kAsk) == 0);
  Stop();
  CHECK(control->failed_connections ==
        std::vector<std::string>{"admitted call"});
  CHECK(shared.in_progress == 0);
}

}  // namespace
}  // namespace burdocklock::gateway
