// Collects the output of one traffic thread's streams and reports it to the
// control thread in batches, so that a token costs no message of its own.
#pragma once

#include <cstddef>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "framework/types/ids.h"
#include "framework/types/time.h"
#include "gateway/i_control.h"

namespace burdocklock::gateway {

class progress_reporter {
 public:
  static constexpr duration kPeriod = std::chrono::milliseconds(100);
  static constexpr std::size_t kMaxGapSamples = 64;

  progress_reporter(boost::asio::io_context& context, i_control& control);

  void AddTokens(request_seq request,
                 attempt_number attempt,
                 std::uint32_t tokens);
  void AddTokenGap(duration gap);
  /// While a caller is slow to take its answer the stream counts as alive.
  void SetBlocked(request_seq request, attempt_number attempt, bool blocked);
  /// Reports at once what is pending; call before an attempt's end is
  /// reported.
  void Flush();

 private:
  struct stream_progress {
    attempt_number attempt;
    std::uint32_t tokens = 0;
  };

  void Schedule();

  i_control& control_;
  boost::asio::steady_timer timer_;
  bool scheduled_ = false;
  std::unordered_map<request_seq, stream_progress> pending_;
  std::unordered_map<request_seq, attempt_number> blocked_;
  std::vector<duration> gaps_;
};

}  // namespace burdocklock::gateway
