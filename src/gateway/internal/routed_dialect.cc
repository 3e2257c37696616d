// See the header.
#include "gateway/routed_dialect.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <system_error>
#include <utility>

#include "gateway/forwarded_fields.h"
#include "gateway/numbered_event_scanner.h"

namespace burdocklock::gateway {

namespace http = net::http;

using std::chrono::milliseconds;

namespace {

// No target takes more requests per second; larger numbers are errors.
constexpr double kMaxRateLimit = 1e9;

}  // namespace

routed_dialect::routed_dialect(call_fields fields)
    : fields_(std::move(fields)) {
  fields_.set_by_routers.insert(
      fields_.set_by_routers.end(),
      {fields_.time_left, fields_.customer, fields_.target, fields_.copy_from});
}

net::http_request routed_dialect::BuildTargetRequest(
    const net::http_request& received,
    const call_identity& identity) const {
  net::http_request request(received.method(), received.target(), 11);
  request.method_string(received.method_string());
  CopyForwardedFields(received, request);
  for (const char* field : fields_.set_by_routers) {
    request.erase(field);
  }
  request.set(http::field::host, received[http::field::host]);
  request.set(fields_.name, identity.name);
  if (!identity.customer.value().empty()) {
    request.set(fields_.customer, identity.customer.value());
  }
  request.body() = received.body();
  return request;
}

void routed_dialect::Prepare(const attempt_parameters& parameters,
                             net::http_request& request) const {
  request.set(fields_.target, parameters.target.value());
  if (parameters.time_left) {
    const auto left =
        std::chrono::duration_cast<milliseconds>(*parameters.time_left).count();
    request.set(fields_.time_left,
                std::to_string(std::max<std::int64_t>(left, 1)));
  }
  if (parameters.resume_after) {
    request.set(fields_.resume_after, *parameters.resume_after);
  }
  if (parameters.copy_from) {
    request.set(fields_.copy_from, ToString(*parameters.copy_from));
  }
}

bool routed_dialect::IsNamed(const net::http_response_head& head,
                             const outgoing_call& call) const {
  return head.fields[fields_.name] == call.request_name;
}

std::optional<double> routed_dialect::ReadRateLimit(
    const net::http_response_head& head) const {
  const std::string_view text = head.fields[fields_.rate_limit];
  double per_second = 0;
  const auto [end, problem] =
      std::from_chars(text.data(), text.data() + text.size(), per_second);
  const bool is_valid = problem == std::errc() &&
                        end == text.data() + text.size() && per_second >= 0 &&
                        per_second <= kMaxRateLimit;
  return is_valid ? std::optional(per_second) : std::nullopt;
}

std::unique_ptr<i_stream_scanner> routed_dialect::MakeScanner(
    const outgoing_call&,
    const std::optional<std::string>& resume_after) const {
  return std::make_unique<numbered_event_scanner>(
      resume_after ? ParseEventNumber(*resume_after) : std::nullopt);
}

response_summary routed_dialect::Summarise(const outgoing_call&,
                                           unsigned,
                                           std::string_view) const {
  return {.matches_request = true};
}

head_verdict routed_dialect::JudgeStatus(const net::http_response_head& head,
                                         const outgoing_call& call) {
  constexpr unsigned kFirstServerError = 500;
  return head.status >= kFirstServerError && call.spec.repeatable
             ? head_verdict::kFailure
             : head_verdict::kAnswer;
}

}  // namespace burdocklock::gateway
