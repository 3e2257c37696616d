// See the header.
#include "gateway/internal/openai_dialect.h"

#include <boost/beast/core/string.hpp>

#include "gateway/sse_scanner.h"

namespace burdocklock::gateway {

using routing::call_kind;

namespace {

constexpr char kRequestIdField[] = "X-Request-Id";
constexpr char kAdmittedField[] = "X-Admitted";
constexpr unsigned kFirstServerError = 500;
constexpr unsigned kOk = 200;

}  // namespace

void openai_dialect::Prepare(const attempt_parameters&,
                             net::http_request&) const {}

bool openai_dialect::IsNamed(const net::http_response_head& head,
                             const outgoing_call& call) const {
  return head.fields[kRequestIdField] == call.request_name;
}

head_verdict openai_dialect::Judge(const net::http_response_head& head,
                                   const outgoing_call& call) const {
  if (!IsNamed(head, call)) {
    return head_verdict::kMalformed;
  }
  if (boost::beast::iequals(head.fields[kAdmittedField], "no")) {
    return head_verdict::kNotAdmitted;
  }
  // Errors of plain services are forwarded to the caller unchanged.
  return head.status >= kFirstServerError &&
                 call.spec.kind != call_kind::kServiceCall
             ? head_verdict::kHiddenFailure
             : head_verdict::kAnswer;
}

std::unique_ptr<i_stream_scanner> openai_dialect::MakeScanner(
    const outgoing_call& call,
    const std::optional<std::string>&) const {
  return std::make_unique<sse_scanner>(call.request_name);
}

response_summary openai_dialect::Summarise(const outgoing_call& call,
                                           unsigned status,
                                           std::string_view body) const {
  if (call.spec.kind == call_kind::kServiceCall || status != kOk) {
    return {.matches_request = true};
  }
  return SummariseResponse(body, call.request_name);
}

std::string_view openai_dialect::request_id_field() const {
  return kRequestIdField;
}

}  // namespace burdocklock::gateway
