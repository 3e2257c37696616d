// Numbers a router's slot reports and applies the grants that answer them.
// Grants from another coordinator and outdated grants are rejected.
#include "allocation/slot_client.h"

namespace burdocklock::allocation {

namespace {

// Most reports for which the time of sending is kept until a grant answers.
constexpr std::size_t kMaxPendingReports = 256;

}  // namespace

void slot_client::PrepareReport(router_report& report,
                                const membership::member& coordinator,
                                time_point now) {
  recipient_ = coordinator;
  report.sequence = ++sequence_;
  report.applied_grant = applied_grant_;
  report.applied_from = applied_from_;
  sent_at_[sequence_] = now;
  if (sent_at_.size() > kMaxPendingReports) {
    sent_at_.erase(sent_at_.begin());
  }
}

bool slot_client::Apply(const grant_table& grant) {
  if (!recipient_ || recipient_->daemon != grant.sender.daemon ||
      recipient_->life != grant.sender.life) {
    return false;
  }
  const bool same_incarnation = grant.sender.life == applied_from_;
  if (same_incarnation && grant.version <= applied_grant_) {
    return false;
  }
  const auto sent = sent_at_.find(grant.answers);
  if (sent == sent_at_.end()) {
    return false;
  }
  applied_grant_ = grant.version;
  applied_from_ = grant.sender.life;
  leases_ = grant.leases;
  pool_statuses_ = grant.pool_statuses;
  valid_until_ = sent->second + lease_;
  last_answered_ = grant.answers;
  // Keeps the entry of the answered report, as later grants may answer it
  // again.
  sent_at_.erase(sent_at_.begin(), sent);
  return true;
}

}  // namespace burdocklock::allocation
