// See the header.
#include "gateway/internal/problem_document.h"

#include "framework/codec/json_writer.h"

namespace burdocklock::gateway {

std::string FormatProblem(const refusals::refusal& refusal,
                          const problem_ids& names) {
  json_object_writer document;
  document.Add("type", std::string("urn:burdocklock:refusal:") +
                           ToString(refusal.reason));
  document.Add("title", refusals::Describe(refusal.reason));
  document.Add("status", HttpStatus(refusal.reason, refusal.run));
  document.Add("refusal_id", names.refusal);
  document.Add("request_id", names.request);
  document.Add("customer", refusal.customer.value());
  document.Add("reason", ToString(refusal.reason));
  document.Add("run", ToString(refusal.run));
  if (refusal.retry_after) {
    document.Add("retry_after_s",
                 std::chrono::duration<double>(*refusal.retry_after).count());
  }
  if (!refusal.detail.empty()) {
    document.Add("detail", refusal.detail);
  }
  return document.Take();
}

}  // namespace burdocklock::gateway
