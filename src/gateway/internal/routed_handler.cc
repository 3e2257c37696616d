// See the header.
#include "gateway/routed_handler.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <utility>

namespace burdocklock::gateway {

using refusals::refusal_reason;

namespace {

// Time in which a daemon that has just started usually learns its routes.
constexpr std::chrono::milliseconds kConfigurationWait{500};

}  // namespace

routing::request_spec SpecifyCall(const routes::route& route,
                                  const customer_id& customer,
                                  const call_facts& facts) {
  const bool streamed = route.kind == routes::route_kind::kStreaming;
  routing::request_spec spec{
      .caller_name = facts.name,
      .customer = customer,
      .pool = PickService(route, std::hash<std::string>{}(facts.name)),
      .kind = streamed ? routing::call_kind::kStreamedGeneration
                       : routing::call_kind::kServiceCall,
      .repeatable = route.kind == routes::route_kind::kIdempotent ||
                    (streamed && route.resumable),
      .latency_objective = route.latency_objective,
      .max_attempts = route.max_attempts,
      .resumable = streamed && route.resumable};
  spec.time_limit =
      facts.patience ? std::min(*facts.patience, route.timeout) : route.timeout;
  if (streamed && facts.prompt) {
    spec.prompt = facts.prompt;
    spec.prompt_tokens = facts.prompt->input_tokens;
  }
  return spec;
}

net::keep_alive routed_handler::Handle(net::http_connection& connection,
                                       net::http_request& request) {
  const time_point arrived = std::chrono::steady_clock::now();
  const auto facts = dialect_.ReadCall(request);
  if (!facts) {
    return Refuse(connection, request, {}, refusal_reason::kMalformedRequest,
                  facts.error().detail);
  }
  const std::string& name = facts.value().name;
  const auto routes = context_.control.Routes();
  if (!routes) {
    return Refuse(connection, request, name, refusal_reason::kNoConfiguration,
                  {});
  }
  const routes::route* route =
      routes->Match(facts.value().host_name, request.target());
  if (route == nullptr) {
    return Refuse(connection, request, name, refusal_reason::kUnknownRoute, {});
  }
  customer_id customer;
  if (routes->NeedsKey(*route)) {
    const routes::route_customer* owner =
        routes->FindByKey(facts.value().api_key);
    if (owner == nullptr) {
      return Refuse(connection, request, name, refusal_reason::kUnknownKey, {});
    }
    customer = owner->customer;
  }
  outgoing_call call{.spec = SpecifyCall(*route, customer, facts.value()),
                     .request_name = name,
                     .request = dialect_.BuildTargetRequest(request, customer)};
  call.spec.id = context_.control.NextRequest();
  call.deadline = arrived + *call.spec.time_limit;
  return calls_.Serve(connection, request, std::move(call));
}

void routed_handler::OnBadRequest(net::http_connection& connection,
                                  error_code code) {
  calls_.RefuseUnread(connection, code);
}

net::keep_alive routed_handler::Refuse(net::http_connection& connection,
                                       const net::http_request& request,
                                       const std::string& name,
                                       refusal_reason reason,
                                       std::string detail) {
  refusals::refusal refusal{.request = context_.control.NextRequest(),
                            .reason = reason,
                            .detail = std::move(detail)};
  if (reason == refusal_reason::kNoConfiguration) {
    refusal.retry_after = kConfigurationWait;
  }
  return calls_.Refuse(connection, request, name, std::move(refusal));
}

}  // namespace burdocklock::gateway
