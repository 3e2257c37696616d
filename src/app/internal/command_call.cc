// See the header.
#include "app/command_call.h"

#include <memory>
#include <utility>

#include <nlohmann/json.hpp>

#include "framework/codec/format_text.h"
#include "framework/fiber/use_fiber.h"
#include "routes/configuration_checks.h"

namespace burdocklock::app {

namespace http = net::http;

using control::command_done;
using control::command_outcome;
using control::command_status;

namespace {

command_outcome RunAndWait(
    const std::function<void(command_done done)>& command) {
  struct pending {
    fiber_event done;
    command_outcome outcome;
  };
  const auto state = std::make_shared<pending>();
  command([state](const command_outcome& outcome) {
    state->outcome = outcome;
    state->done.Set();
  });
  state->done.Wait();
  return state->outcome;
}

net::json_reply MakeOutcomeReply(const command_outcome& outcome,
                                 const net::http_request& request) {
  switch (outcome.status) {
    case command_status::kDone:
      return {};
    case command_status::kUnknownDataCentre:
      return MakeProblem(http::status::not_found,
                         "there is no such data centre");
    case command_status::kNotLeader:
      if (outcome.leader) {
        return {.status = http::status::temporary_redirect,
                .location = "http://" + ToString(*outcome.leader) +
                            std::string(request.target())};
      }
      break;
    case command_status::kUnknown:
      break;
  }
  return MakeProblem(http::status::service_unavailable, "no leader is known");
}

}  // namespace

net::json_reply MakeProblem(http::status status, const std::string& detail) {
  return {.status = status,
          .body = FormatText(nlohmann::json{{"error", detail}})};
}

net::json_reply RunCommand(
    const net::http_request& request,
    const std::function<void(command_done done)>& command) {
  return MakeOutcomeReply(RunAndWait(command), request);
}

net::json_reply RunReplaceConfiguration(
    const net::http_request& request,
    const routes::i_configuration_reader& reader,
    control::i_control_commands& commands) {
  const auto configuration = reader.Read(request.body());
  if (!configuration) {
    return MakeProblem(http::status::bad_request,
                       configuration.error().Message());
  }
  if (const auto checked = routes::Check(configuration.value()); !checked) {
    return MakeProblem(http::status::bad_request, checked.error().Message());
  }
  return RunCommand(request, [&](command_done done) {
    commands.ReplaceConfiguration(configuration.value().version.value(),
                                  request.body(), std::move(done));
  });
}

net::json_reply RunReadConfiguration(const net::http_request& request,
                                     control::i_control_commands& commands) {
  command_outcome outcome = RunAndWait(
      [&](command_done done) { commands.ReadConfiguration(std::move(done)); });
  if (outcome.status != command_status::kDone) {
    return MakeOutcomeReply(outcome, request);
  }
  if (outcome.document.empty()) {
    return MakeProblem(http::status::service_unavailable,
                       "there is no configuration yet");
  }
  return {.body = std::move(outcome.document)};
}

}  // namespace burdocklock::app
