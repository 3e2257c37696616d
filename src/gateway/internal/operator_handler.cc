// See the header.
#include "gateway/operator_handler.h"

#include <utility>

#include "config/key_hashing.h"
#include "framework/net/json_reply.h"
#include "gateway/call_parser.h"

namespace burdocklock::gateway {

namespace http = net::http;

namespace {

constexpr char kText[] = "text/plain; version=0.0.4";

constexpr std::string_view kDataCentres = "/v1/data-centres/";

bool IsPlatformPath(std::string_view path) {
  return path == "/healthz" || path == "/readyz" || path == "/metrics";
}

}  // namespace

operator_handler::operator_handler(i_operations& operations,
                                   std::vector<config::key_hash> tokens)
    : operations_(operations), tokens_(std::move(tokens)) {}

net::keep_alive operator_handler::Handle(net::http_connection& connection,
                                         net::http_request& request) {
  const std::string_view path = request.target();
  reply reply =
      IsPlatformPath(path) ? HandlePlatform(path) : HandleOperator(request);
  net::http_response response(http::int_to_status(reply.status),
                              request.version());
  response.set(http::field::content_type, reply.content_type);
  response.keep_alive(request.keep_alive());
  response.body() = std::move(reply.body);
  const bool written = connection.Write(response);
  return written && request.keep_alive() ? net::keep_alive::kYes
                                         : net::keep_alive::kNo;
}

void operator_handler::OnBadRequest(net::http_connection& connection,
                                    error_code code) {
  net::http_response response(net::StatusOfUnread(code), 11);
  response.keep_alive(false);
  connection.Write(response);
}

operator_handler::reply operator_handler::HandlePlatform(
    std::string_view path) const {
  if (path == "/metrics") {
    return {.content_type = kText, .body = operations_.Metrics()};
  }
  const bool ready = path == "/healthz" || operations_.IsReady();
  return {.status = ready ? 200U : 503U,
          .content_type = "text/plain",
          .body = ready ? "ok\n" : "not ready\n"};
}

operator_handler::reply operator_handler::HandleOperator(
    const net::http_request& request) const {
  const std::string_view token =
      BearerToken(request[http::field::authorization]);
  if (!config::IsAcceptedSecret(token, tokens_)) {
    return {.status = 401, .body = R"({"error":"unknown operator token"})"};
  }
  const std::string_view path = request.target();
  if (request.method() == http::verb::get) {
    if (path == "/v1/status") {
      return {.body = operations_.StatusJson()};
    }
    if (path == "/v1/targets") {
      return {.body = operations_.TargetsJson()};
    }
    if (path == "/v1/customers") {
      return {.body = operations_.CustomersJson()};
    }
    if (path == "/v1/members") {
      return {.body = operations_.MembersJson()};
    }
  }
  if (request.method() == http::verb::post && path.starts_with(kDataCentres)) {
    return OrderDataCentre(path.substr(kDataCentres.size()));
  }
  if (request.method() == http::verb::post && path == "/v1/drain") {
    operations_.Drain("operator");
    return {.status = 202, .body = R"({"draining":true})"};
  }
  return {.status = 404, .body = R"({"error":"there is nothing here"})"};
}

operator_handler::reply operator_handler::OrderDataCentre(
    std::string_view rest) const {
  const std::size_t slash = rest.find('/');
  const std::string name(rest.substr(0, slash));
  const std::string_view order =
      slash == std::string_view::npos ? "" : rest.substr(slash + 1);
  if (order != "out" && order != "in") {
    return {.status = 404,
            .body = R"({"error":"the order must be out or in"})"};
  }
  if (!operations_.OrderDataCentre(name, order == "out")) {
    return {.status = 404, .body = R"({"error":"no such data centre"})"};
  }
  return {.status = 202, .body = R"({"accepted":true})"};
}

}  // namespace burdocklock::gateway
