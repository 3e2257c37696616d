// See the header.
#include "gateway/progress_reporter.h"

#include <utility>

namespace burdocklock::gateway {

progress_reporter::progress_reporter(boost::asio::io_context& context,
                                     i_control& control)
    : control_(control), timer_(context) {}

void progress_reporter::AddTokens(request_seq request,
                                  attempt_number attempt,
                                  std::uint32_t tokens) {
  stream_progress& progress = pending_[request];
  if (progress.attempt != attempt) {
    progress = {.attempt = attempt};
  }
  progress.tokens += tokens;
  Schedule();
}

void progress_reporter::AddTokenGap(duration gap) {
  if (gaps_.size() < kMaxGapSamples) {
    gaps_.push_back(gap);
  }
}

void progress_reporter::SetBlocked(request_seq request,
                                   attempt_number attempt,
                                   bool blocked) {
  if (!blocked) {
    blocked_.erase(request);
    return;
  }
  blocked_[request] = attempt;
  Schedule();
}

void progress_reporter::Flush() {
  progress_batch batch;
  batch.entries.reserve(pending_.size() + blocked_.size());
  for (const auto& [request, progress] : pending_) {
    batch.entries.push_back({.request = request,
                             .attempt = progress.attempt,
                             .tokens = progress.tokens});
  }
  for (const auto& [request, attempt] : blocked_) {
    batch.entries.push_back({.request = request, .attempt = attempt});
  }
  batch.token_gaps = std::exchange(gaps_, {});
  pending_.clear();
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
    Flush();
    if (!blocked_.empty()) {
      Schedule();
    }
  });
}

}  // namespace burdocklock::gateway
