// See the header.
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

// Names one try of the caller; targets repeat it in their answers.
constexpr char kName[] = "X-Request-Id";
// How long the caller waits, from when it sent the request.
constexpr char kTimeLeft[] = "X-Time-Left-Ms";
constexpr char kPromptTokens[] = "X-Prompt-Tokens";
constexpr char kPromptParts[] = "X-Prompt-Parts";
constexpr char kCustomer[] = "X-Customer";
// The target that is meant; another one at the address answers 421.
constexpr char kTarget[] = "X-Target";
// Another target that keeps part of the prompt, as "ip:port".
constexpr char kCopyFrom[] = "X-Copy-From";
constexpr char kResumeAfter[] = "Last-Event-ID";
// "no" in the answer of a target that has not run the request.
constexpr char kAdmitted[] = "X-Admitted";

constexpr std::size_t kMaxNameLength = 128;

bool IsPlainName(std::string_view name) {
  return name.size() <= kMaxNameLength &&
         std::all_of(name.begin(), name.end(), [](char c) {
           constexpr char kFirstVisible = '!';
           constexpr char kLastVisible = '~';
           return c >= kFirstVisible && c <= kLastVisible;
         });
}

error Unreadable(const char* field) {
  return {.code = error_code::kMalformed,
          .step = "read call",
          .peer = {},
          .detail = std::string(field) + " is malformed"};
}

}  // namespace

route_dialect::route_dialect()
    : routed_dialect({.name = kName,
                      .time_left = kTimeLeft,
                      .customer = kCustomer,
                      .target = kTarget,
                      .resume_after = kResumeAfter,
                      .copy_from = kCopyFrom,
                      .set_by_routers = {}}) {}

result<gateway::call_facts> route_dialect::ReadCall(
    const net::http_request& request) const {
  gateway::call_facts facts{
      .name = std::string(request[kName]),
      .host_name = std::string(request[http::field::host]),
      .api_key = std::string(
          gateway::BearerToken(request[http::field::authorization]))};
  if (!IsPlainName(facts.name)) {
    return Unreadable(kName);
  }
  if (request.count(kPromptTokens) > 0) {
    facts.prompt = gateway::ReadPromptFields(request[kPromptTokens],
                                             request[kPromptParts]);
    if (!facts.prompt) {
      return Unreadable(kPromptTokens);
    }
  }
  if (request.count(kTimeLeft) > 0) {
    std::uint32_t time_ms = 0;
    const std::string_view text = request[kTimeLeft];
    const auto [end, problem] =
        std::from_chars(text.data(), text.data() + text.size(), time_ms);
    if (problem != std::errc() || end != text.data() + text.size()) {
      return Unreadable(kTimeLeft);
    }
    facts.patience = milliseconds(time_ms);
  }
  return facts;
}

head_verdict route_dialect::Judge(const net::http_response_head& head,
                                  const gateway::outgoing_call& call) const {
  const std::string_view name = head.fields[kName];
  if (head.status == kOtherTargetStatus) {
    return head_verdict::kOtherTarget;
  }
  if (name.empty()) {
    return head_verdict::kMalformed;
  }
  if (name != call.request_name) {
    return head_verdict::kOtherRequest;
  }
  if (boost::beast::iequals(head.fields[kAdmitted], "no")) {
    return head_verdict::kNotAdmitted;
  }
  return JudgeStatus(head, call);
}

}  // namespace burdocklock::route_interface
