// See the header.
#include "allocation/slot_client.h"

namespace burdocklock::allocation {

namespace {

// Reports whose answers may still arrive.
constexpr std::size_t kMaxUnanswered = 256;

}  // namespace

void slot_client::Stamp(router_report& report,
                        const membership::member& coordinator,
                        time_point now) {
  asked_ = coordinator;
  report.sequence = ++sequence_;
  report.applied_grant = applied_grant_;
  report.applied_from = applied_from_;
  sent_[sequence_] = now;
  if (sent_.size() > kMaxUnanswered) {
    sent_.erase(sent_.begin());
  }
}

bool slot_client::Apply(const grant_table& grant) {
  if (!asked_ || asked_->daemon != grant.sender.daemon ||
      asked_->life != grant.sender.life) {
    return false;
  }
  const bool same_process = grant.sender.life == applied_from_;
  if (same_process && grant.version <= applied_grant_) {
    return false;
  }
  const auto sent = sent_.find(grant.answers);
  if (sent == sent_.end()) {
    return false;
  }
  applied_grant_ = grant.version;
  applied_from_ = grant.sender.life;
  leases_ = grant.leases;
  standings_ = grant.standings;
  valid_until_ = sent->second + lease_;
  answered_ = grant.answers;
  // Later grants may answer the same report again.
  sent_.erase(sent_.begin(), sent);
  return true;
}

}  // namespace burdocklock::allocation
