// Faults that a stand-in shows on request.
#pragma once

#include <deque>
#include <string>

namespace burdocklock::stand_in {

enum class fault {
  kNone,
  /// Takes the request and never answers; the connection stays open.
  kHang,
  /// Closes the connection in the middle of the answer.
  kReset,
  /// Answers with another request's name.
  kCross,
  /// Names another request in the middle of a stream.
  kCrossLate,
  /// Goes silent in the middle of a stream.
  kStall,
  /// Ends the process.
  kDie,
  /// Turns cold without a word.
  kCold,
  /// Answers 500 after it has run the request.
  kError,
  /// Refuses the request before it runs it, and says so.
  kNotAdmitted,
};

/// The fault of that name; kNone for an unknown one.
fault ParseFault(const std::string& name);

/// Faults for the next requests, in the order in which they were added, and a
/// share of random faults.
class fault_plan {
 public:
  /// `count` requests get `fault`, after those added before.
  void Add(fault fault, unsigned count);
  /// Every `period`-th request gets a fault, in turn of `kinds`; 0 for never.
  void SetPeriodic(std::deque<fault> kinds, unsigned period);
  fault Next();

 private:
  std::deque<fault> planned_;
  std::deque<fault> periodic_;
  unsigned period_ = 0;
  unsigned seen_ = 0;
};

}  // namespace burdocklock::stand_in
