// Parses fault names and selects the fault of the next request: queued faults
// first, then periodic ones.
#include "stand_in/fault_plan.h"

#include <array>
#include <utility>

namespace burdocklock::stand_in {

fault ParseFault(const std::string& name) {
  static constexpr std::array<std::pair<const char*, fault>, 9> kFaultNames = {{
      {"hang", fault::kHang},
      {"reset", fault::kReset},
      {"cross", fault::kCross},
      {"cross_late", fault::kCrossLate},
      {"stall", fault::kStall},
      {"die", fault::kDie},
      {"cold", fault::kCold},
      {"error", fault::kError},
      {"not_admitted", fault::kNotAdmitted},
  }};
  for (const auto& [fault_name, value] : kFaultNames) {
    if (name == fault_name) {
      return value;
    }
  }
  return fault::kNone;
}

void fault_plan::Add(fault fault, unsigned count) {
  queued_.insert(queued_.end(), count, fault);
}

void fault_plan::SetPeriodic(std::deque<fault> kinds, unsigned period) {
  periodic_ = std::move(kinds);
  period_ = period;
}

fault fault_plan::Next() {
  if (!queued_.empty()) {
    const fault next = queued_.front();
    queued_.pop_front();
    return next;
  }
  ++request_count_;
  if (period_ == 0 || periodic_.empty() || request_count_ % period_ != 0) {
    return fault::kNone;
  }
  const fault next = periodic_.front();
  periodic_.pop_front();
  periodic_.push_back(next);
  return next;
}

}  // namespace burdocklock::stand_in
