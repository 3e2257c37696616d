// See the header.
#include "gateway/internal/problem_document.h"

#include <nlohmann/json.hpp>

namespace burdocklock::gateway {

std::string FormatProblem(const refusals::refusal& refusal,
                          const problem_ids& names) {
  nlohmann::ordered_json document;
  document["type"] =
      std::string("urn:burdocklock:refusal:") + ToString(refusal.reason);
  document["title"] = refusals::Describe(refusal.reason);
  document["status"] = HttpStatus(refusal.reason, refusal.run);
  document["refusal_id"] = names.refusal;
  document["request_id"] = names.request;
  document["customer"] = refusal.customer.value();
  document["reason"] = ToString(refusal.reason);
  document["run"] = ToString(refusal.run);
  if (refusal.retry_after) {
    document["retry_after_s"] =
        std::chrono::duration<double>(*refusal.retry_after).count();
  }
  if (!refusal.detail.empty()) {
    document["detail"] = refusal.detail;
  }
  return document.dump(-1, ' ', false,
                       nlohmann::ordered_json::error_handler_t::replace);
}

}  // namespace burdocklock::gateway
