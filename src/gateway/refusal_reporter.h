// Collects the refusals of one traffic thread and reports them to the control
// thread in batches: a refusal must cost little, as a flood brings many.
#pragma once

#include <chrono>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "framework/types/time.h"
#include "gateway/i_control.h"
#include "refusals/refusal_groups.h"

namespace burdocklock::gateway {

class refusal_reporter {
 public:
  static constexpr duration kPeriod = std::chrono::milliseconds(100);

  refusal_reporter(boost::asio::io_context& io, i_control& control);
  /// Reports what is left.
  ~refusal_reporter();
  refusal_reporter(const refusal_reporter&) = delete;
  refusal_reporter& operator=(const refusal_reporter&) = delete;

  void Add(refusals::named_refusal refused);
  void Report();

 private:
  i_control& control_;
  boost::asio::steady_timer timer_;
  std::vector<refusals::named_refusal> refused_;
};

}  // namespace burdocklock::gateway
