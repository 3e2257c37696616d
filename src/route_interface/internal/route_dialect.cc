#include "route_interface/route_dialect.h"

#include <algorithm>
#include <charconv>
#include <chrono>

#include <boost/beast/core/string.hpp>

#include "gateway/call_parser.h"
#include "gateway/prompt_fields.h"

namespace burdocklock::route_interface {

namespace http = net::http;

using gateway::head_verdict;
using std::chrono::milliseconds;

namespace {

// Identifies one request of the caller; targets echo it in their responses.
constexpr char kRequestId[] = "X-Request-Id";
// How long the caller waits, counted from when it sent the request.
constexpr char kTimeLeft[] = "X-Time-Left-Ms";
constexpr char kPromptTokens[] = "X-Prompt-Tokens";
constexpr char kPromptParts[] = "X-Prompt-Parts";
constexpr char kExpectedTokens[] = "X-Expected-Tokens";
constexpr char kCustomer[] = "X-Customer";
// Id of the intended target; a different target at this address responds with
// 421.
constexpr char kTarget[] = "X-Target";
// Another target that has part of the prompt cached, as "ip:port".
constexpr char kCopyFrom[] = "X-Copy-From";
// Requests per second that the target takes from all routers together.
constexpr char kRateLimit[] = "X-Rate-Limit";
// "1" in the responses of a target that is about to end.
constexpr char kLeaving[] = "X-Leaving";
constexpr char kLastEventId[] = "Last-Event-ID";
// The caller's request that received the first event of the stream.
constexpr char kResumes[] = "X-Resumes";
// "no" in the response of a target that did not execute the request.
constexpr char kAdmitted[] = "X-Admitted";

constexpr std::size_t kMaxRequestIdLength = 128;

bool IsValidRequestId(std::string_view name) {
  return name.size() <= kMaxRequestIdLength &&
         std::all_of(name.begin(), name.end(), [](char c) {
           constexpr char kFirstVisible = '!';
           constexpr char kLastVisible = '~';
           return c >= kFirstVisible && c <= kLastVisible;
         });
}

error MalformedField(const char* field) {
  return {.code = error_code::kMalformed,
          .step = "read call",
          .peer = {},
          .detail = std::string(field) + " is malformed"};
}

}  // namespace

route_dialect::route_dialect()
    : routed_dialect({.name = kRequestId,
                      .time_left = kTimeLeft,
                      .customer = kCustomer,
                      .target = kTarget,
                      .resume_after = kLastEventId,
                      .copy_from = kCopyFrom,
                      .rate_limit = kRateLimit,
                      .leaving = kLeaving,
                      .set_by_routers = {}}) {}

result<gateway::call_facts> route_dialect::ReadCall(
    const net::http_request& request) const {
  gateway::call_facts facts{
      .name = std::string(request[kRequestId]),
      .host_name = std::string(request[http::field::host]),
      .api_key = std::string(
          gateway::BearerToken(request[http::field::authorization])),
      .resumes = std::string(request[kResumes]),
      .has_events = !request[kLastEventId].empty()};
  if (!IsValidRequestId(facts.name)) {
    return MalformedField(kRequestId);
  }
  if (!IsValidRequestId(facts.resumes)) {
    return MalformedField(kResumes);
  }
  if (request.count(kPromptTokens) > 0) {
    facts.prompt =
        gateway::ReadPromptFields(request[kPromptTokens], request[kPromptParts],
                                  request[kExpectedTokens]);
    if (!facts.prompt) {
      return MalformedField(kPromptTokens);
    }
  }
  if (request.count(kTimeLeft) > 0) {
    std::uint32_t time_left_ms = 0;
    const std::string_view text = request[kTimeLeft];
    const auto [end, problem] =
        std::from_chars(text.data(), text.data() + text.size(), time_left_ms);
    if (problem != std::errc() || end != text.data() + text.size()) {
      return MalformedField(kTimeLeft);
    }
    facts.patience = milliseconds(time_left_ms);
  }
  return facts;
}

head_verdict route_dialect::Judge(const net::http_response_head& head,
                                  const gateway::outgoing_call& call) const {
  const std::string_view name = head.fields[kRequestId];
  if (!name.empty() && name != call.request_name) {
    return head_verdict::kOtherRequest;
  }
  if (head.status == kOtherTargetStatus) {
    return head_verdict::kOtherTarget;
  }
  if (name.empty()) {
    return head_verdict::kMalformed;
  }
  if (boost::beast::iequals(head.fields[kAdmitted], "no")) {
    return head_verdict::kNotAdmitted;
  }
  return JudgeStatus(head, call);
}

}  // namespace burdocklock::route_interface
