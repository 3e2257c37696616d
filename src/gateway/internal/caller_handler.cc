// See the header.
#include "gateway/caller_handler.h"

#include <algorithm>
#include <array>
#include <utility>

#include <nlohmann/json.hpp>

#include "config/key_hashing.h"
#include "framework/codec/format_text.h"
#include "gateway/call_parser.h"
#include "gateway/forwarded_fields.h"
#include "targets/announcement_parser.h"

namespace burdocklock::gateway {

namespace http = net::http;
using refusals::refusal_reason;

namespace {

constexpr char kRequestIdField[] = "X-Request-Id";
constexpr char kCustomerField[] = "X-Customer";
constexpr char kJson[] = "application/json";
constexpr std::array<http::verb, 5> kServiceMethods = {
    http::verb::get, http::verb::post, http::verb::put, http::verb::patch,
    http::verb::delete_};

call_input MakeCallInput(const net::http_request& request) {
  return {.method = request.method_string(),
          .path = request.target(),
          .authorization = request[http::field::authorization],
          .body = request.body()};
}

net::http_request BuildTargetRequest(const net::http_request& received,
                                     const parsed_call& call,
                                     const std::string& request_name) {
  net::http_request request(received.method(), call.target_path, 11);
  if (call.spec.kind == routing::call_kind::kServiceCall) {
    CopyForwardedFields(received, request);
  } else {
    request.set(http::field::content_type, kJson);
  }
  request.set(http::field::host, call.spec.pool.value());
  request.set(kRequestIdField, request_name);
  request.set(kCustomerField, call.spec.customer.value());
  request.body() = received.body();
  return request;
}

bool IsKnownMethod(const net::http_request& request) {
  return std::find(kServiceMethods.begin(), kServiceMethods.end(),
                   request.method()) != kServiceMethods.end();
}

}  // namespace

caller_handler::caller_handler(traffic_context& context,
                               const gateway_options& options)
    : context_(context), calls_(context), options_(options) {}

net::keep_alive caller_handler::Handle(net::http_connection& connection,
                                       net::http_request& request) {
  const std::string_view path = request.target();
  if (path == "/healthz") {
    return Reply(connection, request, 200, "text/plain", "ok\n");
  }
  if (path == "/readyz") {
    const bool ready = context_.control.IsReady();
    return Reply(connection, request, ready ? 200 : 503, "text/plain",
                 ready ? "ready\n" : "not ready\n");
  }
  if (path == "/v1/targets/announce") {
    return HandleAnnouncement(connection, request);
  }
  if (path == "/v1/models") {
    return HandleModels(connection, request);
  }
  return HandleCall(connection, request);
}

void caller_handler::OnBadRequest(net::http_connection& connection,
                                  error_code code) {
  calls_.RefuseUnread(connection, code);
}

net::keep_alive caller_handler::HandleCall(net::http_connection& connection,
                                           net::http_request& request) {
  if (!IsKnownMethod(request)) {
    return Refuse(connection, request,
                  {.reason = refusal_reason::kMalformedRequest,
                   .detail = "the method is not supported"});
  }
  const auto sheet = context_.control.Sheet();
  call_result parsed = ParseCall(MakeCallInput(request), *sheet);
  if (auto* rejected = std::get_if<rejected_call>(&parsed)) {
    return Refuse(connection, request,
                  {.customer = rejected->customer,
                   .reason = rejected->reason,
                   .detail = rejected->detail});
  }
  parsed_call& call = std::get<parsed_call>(parsed);
  call.spec.id = context_.control.NextRequest();
  const std::string name = context_.control.RequestName(call.spec.id);
  std::optional<counted_call> admitted;
  const net::keep_alive keep =
      calls_.Admit(connection, request, call.spec, name, admitted);
  if (!admitted) {
    return keep;
  }
  return calls_.Serve(connection, request,
                      {.spec = call.spec,
                       .request_name = name,
                       .request = BuildTargetRequest(request, call, name)});
}

net::keep_alive caller_handler::Refuse(net::http_connection& connection,
                                       const net::http_request& request,
                                       refusals::refusal refusal) {
  const request_seq id = context_.control.NextRequest();
  refusal.request = id;
  return calls_.Refuse(connection, request, context_.control.RequestName(id),
                       std::move(refusal));
}

net::keep_alive caller_handler::HandleModels(net::http_connection& connection,
                                             const net::http_request& request) {
  const auto sheet = context_.control.Sheet();
  const std::string_view key = BearerToken(request[http::field::authorization]);
  const config::customer* customer = sheet->FindByKey(key);
  if (customer == nullptr) {
    return Refuse(connection, request, {.reason = refusal_reason::kUnknownKey});
  }
  nlohmann::ordered_json models = nlohmann::ordered_json::array();
  for (const pool_id& model : customer->models) {
    models.push_back({{"id", model.value()},
                      {"object", "model"},
                      {"created", 0},
                      {"owned_by", "burdocklock"}});
  }
  const nlohmann::ordered_json list = {{"object", "list"}, {"data", models}};
  return Reply(connection, request, 200, kJson, FormatText(list));
}

net::keep_alive caller_handler::HandleAnnouncement(
    net::http_connection& connection,
    const net::http_request& request) {
  const std::string_view token =
      BearerToken(request[http::field::authorization]);
  if (!config::IsAcceptedSecret(token, options_.target_tokens)) {
    return Reply(connection, request, 401, kJson,
                 R"({"error":"unknown target token"})");
  }
  if (request.method() != http::verb::post) {
    return Reply(connection, request, 405, kJson,
                 R"({"error":"the method must be POST"})");
  }
  const auto announcement = targets::ParseAnnouncement(request.body());
  if (!announcement) {
    const nlohmann::json problem = {{"error", announcement.error().detail}};
    return Reply(connection, request, 400, kJson, FormatText(problem));
  }
  context_.control.Announce(announcement.value());
  return Reply(connection, request, 202, kJson, R"({"accepted":true})");
}

net::keep_alive caller_handler::Reply(net::http_connection& connection,
                                      const net::http_request& request,
                                      unsigned status,
                                      const std::string& content_type,
                                      std::string body) {
  net::http_response response(http::int_to_status(status), request.version());
  response.set(http::field::content_type, content_type);
  const bool keep = request.keep_alive() && !context_.control.IsDraining();
  response.keep_alive(keep);
  response.body() = std::move(body);
  const bool written = connection.Write(response);
  return written && keep ? net::keep_alive::kYes : net::keep_alive::kNo;
}

}  // namespace burdocklock::gateway
