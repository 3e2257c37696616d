// Interface: protocol between callers of routes and the targets behind them.
#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

#include "framework/net/http_types.h"
#include "framework/types/error.h"
#include "framework/types/ids.h"
#include "gateway/i_target_dialect.h"
#include "targets/types/prompt.h"

namespace burdocklock::gateway {

/// Properties of a call, read from its request.
struct call_facts {
  /// Request ID chosen by the caller; empty if it gave none.
  std::string name;
  std::string host_name;
  /// Empty if there is none.
  std::string api_key;
  /// Time limit set by the caller.
  std::optional<std::chrono::milliseconds> patience;
  /// Set for generation requests.
  std::optional<targets::prompt> prompt;
  /// Request ID of the try that received the first event of the stream that the
  /// caller takes up; empty if it names none.
  std::string resumes = {};
  /// The caller has received events of the stream.
  bool has_events = false;
};

/// Identifies a request towards targets.
struct call_identity {
  std::string name;
  /// Empty if the call needs no key.
  customer_id customer;
};

class i_call_dialect : public i_target_dialect {
 public:
  /// Fails if a field cannot be read.
  [[nodiscard]] virtual result<call_facts> ReadCall(
      const net::http_request& request) const = 0;
  /// The request to send to targets, without the fields that `Prepare` sets.
  [[nodiscard]] virtual net::http_request BuildTargetRequest(
      const net::http_request& received,
      const call_identity& identity) const = 0;
};

}  // namespace burdocklock::gateway
