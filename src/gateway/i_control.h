// Interface between the traffic threads and the control thread.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "config/sheet_index.h"
#include "framework/net/closed_connection.h"
#include "framework/types/ids.h"
#include "framework/types/time.h"
#include "refusals/refusal_groups.h"
#include "routes/route_index.h"
#include "routing/types/attempt.h"
#include "routing/types/drain_window.h"
#include "routing/types/effect.h"
#include "routing/types/request.h"
#include "targets/types/announcement.h"

namespace burdocklock::gateway {

/// Commands from the control thread to the traffic side of a request.
using exchange_order = std::variant<routing::start_attempt,
                                    routing::cancel_attempt,
                                    routing::refuse_request,
                                    routing::forward_error_response,
                                    routing::truncate_response>;

/// The traffic side of one request. Each `start_attempt` is answered by
/// exactly one `attempt_completed` or `attempt_failed`.
class i_exchange {
 public:
  virtual ~i_exchange() = default;

  /// Queues an order; callable from any thread.
  virtual void Deliver(exchange_order order) = 0;
};

struct progress_entry {
  request_seq request;
  attempt_number attempt;
  std::uint32_t tokens = 0;
};

/// Output of all streams of one traffic thread in one reporting period.
struct progress_batch {
  std::vector<progress_entry> entries;
  /// A sample of the times between tokens.
  std::vector<duration> token_gaps;
};

/// All members are callable from any thread and do not block.
class i_control {
 public:
  virtual ~i_control() = default;

  virtual request_seq NextRequest() = 0;
  /// Request ID, unique across all daemons and their restarts.
  [[nodiscard]] virtual std::string RequestName(request_seq request) const = 0;
  /// Refusal ID, unique across all daemons and their restarts.
  [[nodiscard]] virtual std::string RefusalName(refusal_seq refusal) const = 0;
  [[nodiscard]] virtual std::shared_ptr<const config::sheet_index> Sheet()
      const = 0;
  /// The current routes; nullptr until a configuration has been received.
  [[nodiscard]] virtual std::shared_ptr<const routes::route_index> Routes()
      const = 0;
  [[nodiscard]] virtual bool IsDraining() const = 0;
  /// Whether new callers are accepted and served.
  [[nodiscard]] virtual bool IsReady() const = 0;
  /// Set once the daemon is shutting down.
  [[nodiscard]] virtual std::optional<routing::drain_window> DrainWindow()
      const = 0;

  virtual void Submit(const routing::request_spec& spec,
                      std::shared_ptr<i_exchange> exchange) = 0;
  /// ID for a refusal that is decided on the traffic side; it must be reported.
  virtual refusal_seq NextRefusal() = 0;
  virtual void ReportRefusals(std::vector<refusals::named_refusal> refused) = 0;
  virtual void ReportAttempt(request_seq request,
                             attempt_number attempt,
                             routing::attempt_event event) = 0;
  virtual void ReportProgress(progress_batch batch) = 0;
  virtual void ReportCallerLeft(request_seq request) = 0;
  virtual void Announce(targets::announcement announcement) = 0;
  /// A request crossed the close of its caller's connection.
  virtual void ReportCrossedClose(const net::crossed_close& crossed) = 0;
  /// A caller's connection was closed because of an exception.
  virtual void ReportFailedConnection(const std::string& cause) = 0;
};

}  // namespace burdocklock::gateway
