#include "route_interface/command_handler.h"

#include <limits>
#include <optional>
#include <string>
#include <utility>

#include <nlohmann/json.hpp>

#include "app/command_call.h"
#include "config/key_hashing.h"
#include "framework/codec/bounded_parse.h"
#include "framework/codec/member_reader.h"
#include "gateway/call_parser.h"
#include "route_interface/rollout_document.h"
#include "targets/announcement_parser.h"

namespace burdocklock::route_interface {

namespace http = net::http;

using app::MakeProblem;

namespace {

constexpr std::string_view kConfigurationPath = "/v1/configuration";
// Followed by the name of a data centre and "/out" or "/in".
constexpr std::string_view kDataCentresPath = "/v1/data-centres/";
// Followed by the name of a service, and "/history" for those before, too.
constexpr std::string_view kRolloutsPath = "/v1/rollouts/";
constexpr std::string_view kHistory = "/history";
constexpr std::string_view kTargetsPath = "/v1/targets/";
constexpr std::string_view kAnnouncePath = "/v1/targets/announce";
constexpr std::string_view kWithdrawPath = "/v1/targets/withdraw";

bool HasAcceptedToken(const net::http_request& request,
                      const std::vector<config::key_hash>& tokens) {
  return config::IsAcceptedSecret(
      gateway::BearerToken(request[http::field::authorization]), tokens);
}

}  // namespace

net::keep_alive command_handler::Handle(net::http_connection& connection,
                                        net::http_request& request) {
  return net::WriteReply(connection, request, HandleCommand(request));
}

void command_handler::OnBadRequest(net::http_connection& connection,
                                   error_code code) {
  net::WriteReply(connection, {}, {.status = net::StatusOfUnread(code)});
}

net::json_reply command_handler::HandleCommand(
    const net::http_request& request) {
  const std::string_view path = request.target();
  const bool is_target_path = path.starts_with(kTargetsPath);
  if (!HasAcceptedToken(request,
                        is_target_path ? tokens_.targets : tokens_.operators)) {
    return MakeProblem(http::status::unauthorized, "the token is not known");
  }
  if (is_target_path) {
    return HandleTargetCommand(request);
  }
  if (path == kConfigurationPath) {
    return HandleConfiguration(request);
  }
  if (request.method() == http::verb::post &&
      path.starts_with(kDataCentresPath)) {
    return HandleOutage(request, path.substr(kDataCentresPath.size()));
  }
  if (request.method() == http::verb::get && path.starts_with(kRolloutsPath) &&
      path.ends_with(kHistory) &&
      path.size() > kRolloutsPath.size() + kHistory.size()) {
    const std::string_view name =
        path.substr(kRolloutsPath.size(),
                    path.size() - kRolloutsPath.size() - kHistory.size());
    return app::RunReadRolloutHistory(request, pool_id(std::string(name)),
                                      DescribeHistory, configuration_reader_,
                                      commands_);
  }
  if (path.starts_with(kRolloutsPath)) {
    return HandleRollout(
        request, pool_id(std::string(path.substr(kRolloutsPath.size()))));
  }
  return MakeProblem(http::status::not_found, "there is nothing here");
}

net::json_reply command_handler::HandleTargetCommand(
    const net::http_request& request) {
  if (request.method() == http::verb::post &&
      request.target() == kAnnouncePath) {
    return HandleAnnounce(request);
  }
  if (request.method() == http::verb::post &&
      request.target() == kWithdrawPath) {
    return HandleWithdraw(request);
  }
  return MakeProblem(http::status::not_found, "there is nothing here");
}

net::json_reply command_handler::HandleConfiguration(
    const net::http_request& request) {
  switch (request.method()) {
    case http::verb::get:
      return app::RunReadConfiguration(request, commands_);
    case http::verb::put:
      return app::RunReplaceConfiguration(request, configuration_reader_,
                                          commands_);
    default:
      return MakeProblem(http::status::method_not_allowed,
                         "the method must be GET or PUT");
  }
}

net::json_reply command_handler::HandleOutage(const net::http_request& request,
                                              std::string_view path_suffix) {
  const std::size_t slash = path_suffix.rfind('/');
  const std::string_view action =
      slash == std::string_view::npos ? "" : path_suffix.substr(slash + 1);
  if (action != "out" && action != "in") {
    return MakeProblem(http::status::not_found, "the order must be out or in");
  }
  return app::RunCommand(request, [&](control::command_done done) {
    commands_.SetOutage(
        data_centre_id(std::string(path_suffix.substr(0, slash))),
        action == "out", std::move(done));
  });
}

net::json_reply command_handler::HandleRollout(const net::http_request& request,
                                               const pool_id& service) {
  switch (request.method()) {
    case http::verb::get:
      return app::RunReadRollout(request, service, DescribeRollout, commands_);
    case http::verb::post: {
      auto order = app::ReadRolloutOrder(request.body(), "service", "version",
                                         "duration_s");
      if (order && order.value().pool != service) {
        return MakeProblem(http::status::bad_request,
                           "service: differs from that of the path");
      }
      return app::RunBeginRollout(request, order, configuration_reader_,
                                  commands_);
    }
    default:
      return MakeProblem(http::status::method_not_allowed,
                         "the method must be GET or POST");
  }
}

net::json_reply command_handler::HandleAnnounce(
    const net::http_request& request) {
  const auto announcement = targets::ParseAnnouncement(request.body());
  if (!announcement) {
    return MakeProblem(http::status::bad_request,
                       announcement.error().Message());
  }
  if (announcement.value().sequence == 0) {
    return MakeProblem(http::status::bad_request,
                       "sequence: must rise with each announcement, from 1");
  }
  commands_.Announce(announcement.value());
  return {};
}

net::json_reply command_handler::HandleWithdraw(
    const net::http_request& request) {
  const auto parsed = ParseTextOrDiscard(request.body());
  std::string problem;
  member_reader reader(parsed, "", problem);
  const target_id target(reader.String("target"));
  std::optional<incarnation> target_incarnation;
  if (reader.Find("incarnation") != nullptr) {
    target_incarnation = incarnation(reader.Unsigned(
        "incarnation", 0, std::numeric_limits<std::int64_t>::max()));
  }
  if (!problem.empty()) {
    return MakeProblem(http::status::bad_request, problem);
  }
  commands_.Withdraw(target, target_incarnation);
  return {};
}

}  // namespace burdocklock::route_interface
