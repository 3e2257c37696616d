// See the header.
#include "gateway/refusal_reporter.h"

#include <utility>

namespace burdocklock::gateway {

refusal_reporter::refusal_reporter(boost::asio::io_context& io,
                                   i_control& control)
    : control_(control), timer_(io) {}

refusal_reporter::~refusal_reporter() {
  Report();
}

void refusal_reporter::Add(refusals::named_refusal refused) {
  refused_.push_back(std::move(refused));
  if (refused_.size() > 1) {
    return;
  }
  timer_.expires_after(kPeriod);
  timer_.async_wait([this](const boost::system::error_code& ec) {
    if (!ec) {
      Report();
    }
  });
}

void refusal_reporter::Report() {
  if (!refused_.empty()) {
    control_.ReportRefusals(std::exchange(refused_, {}));
  }
}

}  // namespace burdocklock::gateway
