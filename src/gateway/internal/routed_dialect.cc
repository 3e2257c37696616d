// See the header.
#include "gateway/routed_dialect.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <cmath>
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
// An absurd value must not keep a target from work for good.
constexpr std::chrono::minutes kMaxPause{10};
constexpr unsigned kServiceUnavailable = 503;

std::optional<double> ParseNumber(std::string_view text) {
  double value = 0;
  const auto [end, problem] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  const bool is_valid = problem == std::errc() &&
                        end == text.data() + text.size() &&
                        std::isfinite(value) && value >= 0;
  return is_valid ? std::optional(value) : std::nullopt;
}

std::optional<double> ReadRateLimit(std::string_view text) {
  const auto per_second = ParseNumber(text);
  return per_second && *per_second <= kMaxRateLimit ? per_second : std::nullopt;
}

std::optional<duration> ReadPause(const net::http_response_head& head) {
  if (head.status != kServiceUnavailable) {
    return std::nullopt;
  }
  const auto seconds = ParseNumber(head.fields[http::field::retry_after]);
  if (!seconds || *seconds == 0) {
    return std::nullopt;
  }
  using fractional_seconds = std::chrono::duration<double>;
  return std::chrono::ceil<duration>(
      std::min(fractional_seconds(*seconds), fractional_seconds(kMaxPause)));
}

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

routing::answer_head routed_dialect::ReadAnswerHead(
    const net::http_response_head& head,
    time_point received) const {
  return {.received = received,
          .rate_limit = ReadRateLimit(head.fields[fields_.rate_limit]),
          .leaving = head.fields[fields_.leaving] == "1",
          .pause = ReadPause(head)};
}

bool routed_dialect::IsNamed(const net::http_response_head& head,
                             const outgoing_call& call) const {
  return head.fields[fields_.name] == call.request_name;
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
