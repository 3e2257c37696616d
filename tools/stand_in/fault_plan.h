// Fault injection for simulated targets.
#pragma once

#include <deque>
#include <string>

namespace burdocklock::stand_in {

enum class fault {
  kNone,
  /// Accepts the request and never responds; the connection stays open.
  kHang,
  /// Closes the connection in the middle of the response.
  kReset,
  /// Responds with the ID of another request.
  kCross,
  /// Sends an event with the ID of another request in the middle of a stream.
  kCrossLate,
  /// Stops sending in the middle of a stream and keeps the connection open.
  kStall,
  /// Exits the process without a response.
  kDie,
  /// Becomes cold without announcing it.
  kCold,
  /// Executes the request and responds with status 500.
  kError,
  /// Rejects the request before execution and marks the response accordingly.
  kNotAdmitted,
};

/// Returns kNone for an unknown name.
fault ParseFault(const std::string& name);

/// Selects the fault for each request: queued faults first, in the order in
/// which they were added, then periodic faults.
class fault_plan {
 public:
  /// Queues `fault` for `count` requests.
  void Add(fault fault, unsigned count);
  /// Injects a fault into every `period`-th request, cycling through `kinds`.
  /// A period of 0 disables periodic faults.
  void SetPeriodic(std::deque<fault> kinds, unsigned period);
  fault Next();

 private:
  std::deque<fault> queued_;
  std::deque<fault> periodic_;
  unsigned period_ = 0;
  unsigned request_count_ = 0;
};

}  // namespace burdocklock::stand_in
