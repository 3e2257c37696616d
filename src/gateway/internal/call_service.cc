// See the header.
#include "gateway/internal/call_service.h"

#include <chrono>
#include <memory>
#include <utility>

#include "admission/retry_elsewhere.h"
#include "gateway/internal/caller_exchange.h"
#include "gateway/request_fingerprint.h"

namespace burdocklock::gateway {

using refusals::refusal_reason;

namespace {

// Processor time of a call of a plain service, relative to a generation, whose
// answer comes in many parts.
constexpr double kServiceCallCost = 0.2;

double ProcessorCost(const routing::request_spec& spec) {
  return spec.kind == routing::call_kind::kServiceCall ? kServiceCallCost : 1;
}

}  // namespace

net::keep_alive call_service::Serve(net::http_connection& connection,
                                    const net::http_request& request,
                                    outgoing_call call) {
  const time_point now = std::chrono::steady_clock::now();
  const std::optional<routing::drain_window> drain =
      context_.control.DrainWindow();
  if (drain && !drain->Accepts(now, call.spec.time_limit)) {
    return Refuse(
        connection, request, call.request_name,
        {.customer = call.spec.customer,
         .request = call.spec.id,
         .reason = refusal_reason::kDraining,
         .retry_after = admission::RetryElsewhereAfter(call.spec.id)});
  }
  // Work for a caller that left while its request waited to be read would be
  // taken from those that are there.
  if (connection.Arrived() == net::http_connection::arrival::kEnd) {
    ++context_.shared.left_unread;
    return net::keep_alive::kNo;
  }
  const double cost = ProcessorCost(call.spec);
  if (!context_.guard.Admit(call.spec.customer, cost, now)) {
    return Refuse(
        connection, request, call.request_name,
        {.customer = call.spec.customer,
         .request = call.spec.id,
         .reason = refusal_reason::kRouterBusy,
         .retry_after = admission::RetryElsewhereAfter(call.spec.id)});
  }
  call.spec.fingerprint = FingerprintOf(
      call.spec.customer,
      {.method = request.method_string(),
       .path = request.target(),
       .body = request.body(),
       .prompt = call.spec.prompt ? &*call.spec.prompt : nullptr});
  const bool keep = request.keep_alive() && !drain;
  response_writer writer(connection, request, call.request_name, keep,
                         context_.dialect);
  std::make_shared<caller_exchange>(context_, connection, std::move(call),
                                    writer)
      ->Run();
  context_.guard.OnEnded(cost);
  // As the answer said; after a drain has begun, the next one closes it.
  return writer.keep_alive();
}

net::keep_alive call_service::Refuse(net::http_connection& connection,
                                     const net::http_request& request,
                                     const std::string& name,
                                     refusals::refusal refusal) {
  const request_seq id = *refusal.request;
  const bool keep = request.keep_alive() && !context_.control.IsDraining() &&
                    request.method() != net::http::verb::unknown &&
                    refusal.reason != refusal_reason::kRouterBusy;
  response_writer writer(connection, request, name, keep, context_.dialect);
  outgoing_call refused_call{.spec = {.id = id, .caller_name = name},
                             .request_name = name,
                             .request = {}};
  std::make_shared<caller_exchange>(context_, connection,
                                    std::move(refused_call), writer)
      ->RunRefused(std::move(refusal));
  return writer.keep_alive();
}

void call_service::RefuseUnread(net::http_connection& connection,
                                error_code code) {
  const net::http_request unread;
  const request_seq id = context_.control.NextRequest();
  const std::string name = context_.control.RequestName(id);
  if (code == error_code::kNoResources) {
    Refuse(connection, unread, name,
           {.request = id,
            .reason = refusal_reason::kRouterBusy,
            .retry_after = admission::RetryElsewhereAfter(id),
            .detail = "no room for the request's body"});
    return;
  }
  Refuse(connection, unread, name,
         {.request = id,
          .reason = code == error_code::kTooLarge
                        ? refusal_reason::kRequestTooLarge
                        : refusal_reason::kMalformedRequest,
          .detail = "the request could not be read"});
}

}  // namespace burdocklock::gateway
