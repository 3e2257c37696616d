// See the header.
#include "app/command_call.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <memory>
#include <utility>

#include <nlohmann/json.hpp>

#include "app/internal/leadership_report.h"
#include "framework/codec/bounded_parse.h"
#include "framework/codec/format_text.h"
#include "framework/codec/member_reader.h"
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

net::json_reply MakeUnavailable(const command_outcome& outcome) {
  if (!outcome.led_by) {
    return MakeProblem(http::status::service_unavailable, "no leader is known");
  }
  nlohmann::ordered_json body{{"error", DescribeUnconfirmed(*outcome.led_by)}};
  AddLeadership(*outcome.led_by, body);
  return {.status = http::status::service_unavailable,
          .body = FormatText(body)};
}

net::json_reply MakeOutcomeReply(const command_outcome& outcome,
                                 const net::http_request& request) {
  switch (outcome.status) {
    case command_status::kDone:
      return {};
    case command_status::kUnknownDataCentre:
      return MakeProblem(http::status::not_found,
                         "there is no such data centre");
    case command_status::kConflict:
      return MakeProblem(http::status::conflict,
                         "another rollout of the service is in progress");
    case command_status::kNotEnabled:
      return MakeProblem(http::status::unprocessable_entity,
                         "the settings allow no rollouts");
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
  return MakeUnavailable(outcome);
}

bool HasService(const routes::configuration& configuration,
                const pool_id& service) {
  return std::any_of(configuration.services.begin(),
                     configuration.services.end(),
                     [&](const routes::service_terms& terms) {
                       return terms.service == service;
                     });
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
  if (const auto checked = routes::CheckNew(configuration.value()); !checked) {
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

net::json_reply RunBeginRollout(const net::http_request& request,
                                const result<rollouts::rollout_order>& order,
                                const routes::i_configuration_reader& reader,
                                control::i_control_commands& commands) {
  if (!order) {
    return MakeProblem(http::status::bad_request, order.error().Message());
  }
  const command_outcome read = RunAndWait(
      [&](command_done done) { commands.ReadConfiguration(std::move(done)); });
  if (read.status != command_status::kDone) {
    return MakeOutcomeReply(read, request);
  }
  if (read.document.empty()) {
    return MakeProblem(http::status::service_unavailable,
                       "there is no configuration yet");
  }
  const auto configuration = reader.Read(read.document);
  if (!configuration) {
    return MakeProblem(http::status::service_unavailable,
                       "the configuration in force cannot be read here: " +
                           configuration.error().Message());
  }
  if (!HasService(configuration.value(), order.value().pool)) {
    return MakeProblem(http::status::unprocessable_entity,
                       "there is no such service");
  }
  return RunCommand(request, [&](command_done done) {
    commands.BeginRollout(order.value(), std::move(done));
  });
}

net::json_reply RunReadRollout(
    const net::http_request& request,
    const pool_id& service,
    const std::function<std::string(const rollouts::rollout& known)>& write,
    control::i_control_commands& commands) {
  const command_outcome read = RunAndWait([&](command_done done) {
    commands.ReadRollout(service, std::move(done));
  });
  if (read.status != command_status::kDone) {
    return MakeOutcomeReply(read, request);
  }
  if (!read.rollout) {
    return MakeProblem(http::status::not_found,
                       "the service has had no rollout");
  }
  return {.body = write(*read.rollout)};
}

net::json_reply RunReadRolloutHistory(
    const net::http_request& request,
    const pool_id& service,
    const std::function<std::string(const rollout_history_view& view)>& write,
    const routes::i_configuration_reader& reader,
    control::i_control_commands& commands) {
  const command_outcome in_force = RunAndWait(
      [&](command_done done) { commands.ReadConfiguration(std::move(done)); });
  if (in_force.status != command_status::kDone) {
    return MakeOutcomeReply(in_force, request);
  }
  command_outcome read = RunAndWait([&](command_done done) {
    commands.ReadRollout(service, std::move(done));
  });
  if (read.status != command_status::kDone) {
    return MakeOutcomeReply(read, request);
  }
  const auto configuration = reader.Read(in_force.document);
  if (read.rollout_history.empty() &&
      !(configuration && HasService(configuration.value(), service))) {
    return MakeProblem(http::status::not_found, "there is no such service");
  }
  rollout_history_view view{.service = service,
                            .records = std::move(read.rollout_history)};
  if (configuration) {
    for (const routes::route& route : configuration.value().routes) {
      view.routes.push_back(route.name);
    }
  }
  return {.body = write(view)};
}

result<rollouts::rollout_order> ReadRolloutOrder(const std::string& body,
                                                 const char* pool_key,
                                                 const char* version_key,
                                                 const char* time_key) {
  constexpr std::size_t kMostNameBytes = 128;
  constexpr double kMostSeconds = 7 * 24 * 3600;
  constexpr double kMillisecondsPerSecond = 1000;
  const auto parsed = ParseTextOrDiscard(body);
  std::string problem;
  member_reader reader(parsed, "", problem);
  const std::string pool = reader.String(pool_key);
  const std::string version = reader.String(version_key);
  const double seconds = reader.Number(time_key);
  if (pool.size() > kMostNameBytes) {
    reader.Fail(pool_key, "is too long");
  }
  if (version.size() > kMostNameBytes) {
    reader.Fail(version_key, "is too long");
  }
  if (problem.empty() &&
      !(seconds >= 1 / kMillisecondsPerSecond && seconds <= kMostSeconds)) {
    reader.Fail(time_key, "must be above 0, and a week at most");
  }
  if (!problem.empty()) {
    return error{.code = error_code::kMalformed,
                 .step = "read rollout order",
                 .peer = {},
                 .detail = problem};
  }
  return rollouts::rollout_order{
      .pool = pool_id(pool),
      .version = software_version(version),
      .time = std::chrono::milliseconds(
          static_cast<std::int64_t>(seconds * kMillisecondsPerSecond))};
}

}  // namespace burdocklock::app
