// See the header.
#include "gateway/progress_reporter.h"

#include <utility>

namespace burdocklock::gateway {

attempt_progress_meter::attempt_progress_meter(progress_reporter& reporter,
                                               request_seq request,
                                               attempt_number attempt)
    : reporter_(reporter), request_(request), attempt_(attempt) {
  reporter_.Register(*this);
}

attempt_progress_meter::~attempt_progress_meter() {
  reporter_.Unregister(*this);
}

progress_reporter::progress_reporter(boost::asio::io_context& context,
                                     i_control& control)
    : control_(control), timer_(context) {}

void progress_reporter::AddTokenGap(duration gap) {
  if (gaps_.size() < kMaxGapSamples) {
    gaps_.push_back(gap);
  }
}

void progress_reporter::Register(attempt_progress_meter& meter) {
  meters_.insert(&meter);
  Schedule();
}

void progress_reporter::Unregister(attempt_progress_meter& meter) {
  meters_.erase(&meter);
  progress_batch batch;
  meter.blocked_ = false;
  if (meter.tokens_ > 0) {
    Collect(meter, batch);
    control_.ReportProgress(std::move(batch));
  }
}

void progress_reporter::Collect(attempt_progress_meter& meter,
                                progress_batch& batch) {
  if (!meter.active_ && !meter.blocked_) {
    return;
  }
  batch.entries.push_back({.request = meter.request_,
                           .attempt = meter.attempt_,
                           .tokens = std::exchange(meter.tokens_, 0)});
  meter.active_ = false;
}

void progress_reporter::ReportAll() {
  progress_batch batch;
  for (attempt_progress_meter* meter : meters_) {
    Collect(*meter, batch);
  }
  batch.token_gaps = std::exchange(gaps_, {});
  if (!batch.entries.empty()) {
    control_.ReportProgress(std::move(batch));
  }
}

void progress_reporter::Schedule() {
  if (scheduled_) {
    return;
  }
  scheduled_ = true;
  timer_.expires_after(kPeriod);
  timer_.async_wait([this](const boost::system::error_code& ec) {
    if (ec) {
      return;
    }
    scheduled_ = false;
    ReportAll();
    if (!meters_.empty()) {
      Schedule();
    }
  });
}

}  // namespace burdocklock::gateway
