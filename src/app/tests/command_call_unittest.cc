// Commands whose checks need the configuration in force.
#include "app/command_call.h"

#include <string>
#include <utility>

#include <catch2/catch.hpp>

namespace burdocklock::app {
namespace {

namespace http = net::http;

// Holds a configuration and counts the rollouts that were begun.
class counting_commands : public control::i_control_commands {
 public:
  void ReplaceConfiguration(std::uint64_t,
                            std::string,
                            control::command_done) override {}
  void ReadConfiguration(control::command_done done) override {
    done({.status = control::command_status::kDone, .document = "document"});
  }
  void SetOutage(const data_centre_id&, bool, control::command_done) override {}
  void BeginRollout(const rollouts::rollout_order&,
                    control::command_done done) override {
    ++begun;
    done({.status = control::command_status::kDone});
  }
  void ReadRollout(const pool_id&, control::command_done) override {}
  void Announce(const targets::announcement&) override {}
  void Withdraw(const target_id&, std::optional<incarnation>) override {}

  int begun = 0;
};

// Yields the configuration with the service "desk", or an error.
struct scripted_reader : routes::i_configuration_reader {
  bool readable = true;

  [[nodiscard]] result<routes::configuration> Read(
      std::string_view) const override {
    if (!readable) {
      return error{.code = error_code::kMalformed, .step = "read", .peer = {}};
    }
    routes::configuration read;
    read.services = {{.service = pool_id("desk")}};
    return read;
  }
};

struct rollout_command_fixture {
  counting_commands commands;
  scripted_reader reader;

  http::status Begin(const std::string& service) {
    return RunBeginRollout(net::http_request(http::verb::post, "/", 11),
                           rollouts::rollout_order{.pool = pool_id(service)},
                           reader, commands)
        .status;
  }
};

// Guards against docs/incidents/031: a configuration that could not be read had
// any service.
TEST_CASE_METHOD(rollout_command_fixture,
                 "rollout: configuration in force cannot be read: not begun") {
  CHECK(Begin("desk") == http::status::ok);
  CHECK(Begin("other") == http::status::unprocessable_entity);
  reader.readable = false;
  CHECK(Begin("desk") == http::status::service_unavailable);
  CHECK(Begin("other") == http::status::service_unavailable);
  CHECK(commands.begun == 1);
}

}  // namespace
}  // namespace burdocklock::app
