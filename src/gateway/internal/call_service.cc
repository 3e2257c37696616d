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
constexpr double kThousandths = 1000;

double ProcessorCost(const routing::request_spec& spec) {
  return spec.kind == routing::call_kind::kServiceCall ? kServiceCallCost : 1;
}

void CountArrival(const routing::request_spec& spec, traffic_state& shared) {
  shared.arrived_cost +=
      static_cast<std::uint64_t>(ProcessorCost(spec) * kThousandths);
}

}  // namespace

net::keep_alive call_service::Admit(net::http_connection& connection,
                                    const net::http_request& request,
                                    const routing::request_spec& spec,
                                    const std::string& name,
                                    std::optional<counted_call>& admitted) {
  CountArrival(spec, context_.shared);
  const time_point now = std::chrono::steady_clock::now();
  refusals::refusal refusal{
      .customer = spec.customer,
      .request = spec.id,
      .retry_after = admission::RetryElsewhereAfter(spec.id)};
  const std::optional<routing::drain_window> drain =
      context_.control.DrainWindow();
  if (drain && !drain->Accepts(now, spec.time_limit)) {
    refusal.reason = refusal_reason::kDraining;
    return Refuse(connection, request, name, std::move(refusal));
  }
  // Work for a caller that left while its request waited to be read would be
  // taken from those that are there.
  if (connection.Arrived() == net::http_connection::arrival::kEnd) {
    ++context_.shared.left_unread;
    return net::keep_alive::kNo;
  }
  admission::router_use use = context_.Use();
  // Those come after this one.
  use.unread_calls = 0;
  if (!context_.intake.HasRoomForCall(spec.customer, use) ||
      !context_.guard.Admit(spec.customer, ProcessorCost(spec), now)) {
    refusal.reason = refusal_reason::kRouterBusy;
    return Refuse(connection, request, name, std::move(refusal));
  }
  admitted.emplace(context_, spec.customer, ProcessorCost(spec));
  return net::keep_alive::kYes;
}

bool call_service::RefuseAtOnce(net::http_connection& connection,
                                const net::http_request& request,
                                const routing::request_spec& spec,
                                const std::string& name) {
  if (context_.intake.HasRoomForCall(spec.customer, context_.Use())) {
    return false;
  }
  CountArrival(spec, context_.shared);
  Refuse(connection, request, name,
         {.customer = spec.customer,
          .request = spec.id,
          .reason = refusal_reason::kRouterBusy,
          .retry_after = admission::RetryElsewhereAfter(spec.id)});
  return true;
}

net::keep_alive call_service::Serve(net::http_connection& connection,
                                    net::http_request& request,
                                    outgoing_call call) {
  call.spec.fingerprint = FingerprintOf(
      call.spec.customer,
      {.method = request.method_string(),
       .path = request.target(),
       .body = request.body(),
       .prompt = call.spec.prompt ? &*call.spec.prompt : nullptr});
  // The call has its own.
  std::string().swap(request.body());
  const bool keep = request.keep_alive() && !context_.control.IsDraining();
  response_writer writer(connection, request, call.request_name, keep,
                         context_.dialect);
  std::make_shared<caller_exchange>(context_, connection, std::move(call),
                                    writer)
      ->Run();
  // As the answer said; after a drain has begun, the next one closes it.
  return writer.keep_alive();
}

net::keep_alive call_service::Refuse(net::http_connection& connection,
                                     const net::http_request& request,
                                     const std::string& name,
                                     refusals::refusal refusal) {
  refusal.id = context_.control.NextRefusal();
  const bool keep =
      request.keep_alive() && !context_.control.IsDraining() &&
      request.method() != net::http::verb::unknown &&
      refusal.reason != refusal_reason::kRouterBusy &&
      !context_.intake.MovesRefused(std::chrono::steady_clock::now());
  response_writer writer(connection, request, name, keep, context_.dialect);
  if (auto permit = writer.TakeHeadPermit()) {
    writer.WriteProblem(*std::move(permit), refusal,
                        context_.control.RefusalName(refusal.id));
  }
  context_.refusals.Add({.made = std::move(refusal), .request_name = name});
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
