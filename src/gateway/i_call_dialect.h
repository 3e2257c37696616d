// Port: how callers of routes and the targets behind them are spoken to.
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

/// What a request says about itself.
struct call_facts {
  /// The caller's own name of this request; empty if it gave none.
  std::string name;
  std::string host_name;
  /// Empty if there is none.
  std::string api_key;
  /// How long the caller waits.
  std::optional<std::chrono::milliseconds> patience;
  /// Of a generation.
  std::optional<targets::prompt> prompt;
};

/// What a request is known by on its way.
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
  /// The request as targets get it, but for what `Prepare` adds.
  [[nodiscard]] virtual net::http_request BuildTargetRequest(
      const net::http_request& received,
      const call_identity& identity) const = 0;
};

}  // namespace burdocklock::gateway
