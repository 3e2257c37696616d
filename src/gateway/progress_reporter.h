// Collects the output of one traffic thread's streams and reports it to the
// control thread in batches, to avoid sending a message per token.
#pragma once

#include <cstddef>
#include <unordered_set>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "framework/types/ids.h"
#include "framework/types/time.h"
#include "gateway/i_control.h"

namespace burdocklock::gateway {

class progress_reporter;

/// Progress of one running attempt; reported periodically until destroyed.
class attempt_progress_meter {
 public:
  attempt_progress_meter(progress_reporter& reporter,
                         request_seq request,
                         attempt_number attempt);
  /// Reports the remaining tokens.
  ~attempt_progress_meter();
  attempt_progress_meter(const attempt_progress_meter&) = delete;
  attempt_progress_meter& operator=(const attempt_progress_meter&) = delete;

  /// Records received output; `tokens` may be zero.
  void Add(std::uint32_t tokens) {
    tokens_ += tokens;
    active_ = true;
  }
  /// While a write to the caller is blocked the attempt counts as active.
  void SetBlocked(bool blocked) { blocked_ = blocked; }

 private:
  friend class progress_reporter;

  progress_reporter& reporter_;
  request_seq request_;
  attempt_number attempt_;
  std::uint32_t tokens_ = 0;
  bool active_ = false;
  bool blocked_ = false;
};

class progress_reporter {
 public:
  static constexpr duration kPeriod = std::chrono::milliseconds(100);
  static constexpr std::size_t kMaxGapSamples = 64;

  progress_reporter(boost::asio::io_context& context, i_control& control);

  void AddTokenGap(duration gap);

 private:
  friend class attempt_progress_meter;

  void Register(attempt_progress_meter& meter);
  void Unregister(attempt_progress_meter& meter);
  static void Collect(attempt_progress_meter& meter, progress_batch& batch);
  void ReportAll();
  void Schedule();

  i_control& control_;
  boost::asio::steady_timer timer_;
  bool scheduled_ = false;
  std::unordered_set<attempt_progress_meter*> meters_;
  std::vector<duration> gaps_;
};

}  // namespace burdocklock::gateway
