// See the header.
#include "gateway/routed_handler.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <utility>

#include "gateway/request_fingerprint.h"

namespace burdocklock::gateway {

using refusals::refusal_reason;

namespace {

// Retry-After before the first configuration arrives: the usual time for a
// daemon that has just started to receive its routes.
constexpr std::chrono::milliseconds kConfigurationRetryAfter{500};

}  // namespace

namespace {

routing::call_kind KindOf(const routes::route& route) {
  return route.kind == routes::route_kind::kStreaming
             ? routing::call_kind::kStreamedGeneration
             : routing::call_kind::kServiceCall;
}

// Names the stream and, if the caller takes it up, where it may go on. What the
// caller has of it binds it also after its route has become not resumable.
void DescribeStream(const routes::route& route,
                    const call_facts& facts,
                    routing::request_spec& spec) {
  spec.taken_up = facts.has_events || !facts.resumes.empty();
  if (!spec.taken_up) {
    if (route.resumable) {
      spec.stream = StreamKeyOf(spec.customer, facts.name);
    }
    return;
  }
  if (!facts.resumes.empty()) {
    spec.stream = StreamKeyOf(spec.customer, facts.resumes);
  }
  // Also those without weight: what began there goes on there.
  for (const routes::weighted_service& entry : route.services) {
    spec.route_pools.push_back(entry.service);
  }
}

}  // namespace

routing::request_spec BuildRequestSpec(const routes::route& route,
                                       const customer_id& customer,
                                       const call_facts& facts) {
  const bool streamed = route.kind == routes::route_kind::kStreaming;
  routing::request_spec spec{
      .caller_name = facts.name,
      .customer = customer,
      .pool = PickService(route, std::hash<std::string>{}(facts.name)),
      .kind = KindOf(route),
      .repeatable = route.kind == routes::route_kind::kIdempotent ||
                    (streamed && route.resumable),
      .patience = facts.patience,
      .latency_objective = route.latency_objective,
      .max_attempts = route.max_attempts,
      .resumable = streamed && route.resumable,
      .route = rollouts::KeyOf(route.name)};
  spec.time_limit =
      facts.patience ? std::min(*facts.patience, route.timeout) : route.timeout;
  if (streamed && facts.prompt) {
    spec.prompt = facts.prompt;
    spec.prompt_tokens = facts.prompt->input_tokens;
  }
  if (streamed) {
    DescribeStream(route, facts, spec);
  }
  return spec;
}

net::keep_alive routed_handler::Handle(net::http_connection& connection,
                                       net::http_request& request) {
  const time_point arrived = std::chrono::steady_clock::now();
  const request_seq id = context_.control.NextRequest();
  auto read = dialect_.ReadCall(request);
  if (!read) {
    return calls_.Refuse(connection, request, {},
                         {.request = id,
                          .reason = refusal_reason::kMalformedRequest,
                          .detail = read.error().detail});
  }
  call_facts& facts = read.value();
  if (facts.name.empty()) {
    facts.name = context_.control.RequestName(id);
  }
  const auto routes = context_.control.Routes();
  if (!routes) {
    return calls_.Refuse(connection, request, facts.name,
                         {.request = id,
                          .reason = refusal_reason::kNoConfiguration,
                          .retry_after = kConfigurationRetryAfter});
  }
  const routes::route* route = routes->Match(facts.host_name, request.target());
  if (route == nullptr) {
    return calls_.Refuse(
        connection, request, facts.name,
        {.request = id, .reason = refusal_reason::kUnknownRoute});
  }
  customer_id customer;
  if (routes->NeedsKey(*route)) {
    const routes::route_customer* owner = routes->FindByKey(facts.api_key);
    if (owner == nullptr) {
      return calls_.Refuse(
          connection, request, facts.name,
          {.request = id, .reason = refusal_reason::kUnknownKey});
    }
    customer = owner->customer;
  }
  routing::request_spec spec = BuildRequestSpec(*route, customer, facts);
  spec.id = id;
  std::optional<counted_call> admitted;
  const net::keep_alive keep =
      calls_.Admit(connection, request, spec, facts.name, admitted);
  if (!admitted) {
    return keep;
  }
  outgoing_call call{.spec = std::move(spec),
                     .request_name = facts.name,
                     .request = dialect_.BuildTargetRequest(
                         request, {.name = facts.name, .customer = customer})};
  call.deadline = arrived + *call.spec.time_limit;
  return calls_.Serve(connection, request, std::move(call));
}

// What it does not find is refused with its own reason by `Handle`.
bool routed_handler::RefuseAtOnce(net::http_connection& connection,
                                  net::http_request& request) {
  const auto routes = context_.control.Routes();
  const auto read = dialect_.ReadCall(request);
  if (!routes || !read) {
    return false;
  }
  const call_facts& facts = read.value();
  const routes::route* route = routes->Match(facts.host_name, request.target());
  const routes::route_customer* owner =
      route != nullptr && routes->NeedsKey(*route)
          ? routes->FindByKey(facts.api_key)
          : nullptr;
  if (route == nullptr || (owner == nullptr && routes->NeedsKey(*route))) {
    return false;
  }
  routing::request_spec spec;
  spec.kind = KindOf(*route);
  spec.id = context_.control.NextRequest();
  spec.customer = owner == nullptr ? customer_id() : owner->customer;
  return calls_.RefuseAtOnce(
      connection, request, spec,
      facts.name.empty() ? context_.control.RequestName(spec.id) : facts.name);
}

void routed_handler::OnBadRequest(net::http_connection& connection,
                                  error_code code) {
  calls_.RefuseUnread(connection, code);
}

}  // namespace burdocklock::gateway
