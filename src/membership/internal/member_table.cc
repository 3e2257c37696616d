// Tracks which daemons are alive and selects the coordinator of each data
// centre.
#include "membership/member_table.h"

#include <algorithm>
#include <utility>

namespace burdocklock::membership {

namespace {

bool Precedes(const member& a, const member& b) {
  if (a.has_control_role != b.has_control_role) {
    return a.has_control_role;
  }
  return a.daemon < b.daemon;
}

}  // namespace

member_table::member_table(member self, duration timeout)
    : self_(std::move(self)), timeout_(timeout) {}

bool member_table::RecordContact(const member& member, time_point now) {
  if (member.daemon == self_.daemon) {
    return false;
  }
  entry& known = others_[member.daemon];
  if (member.life < known.info.life) {
    return false;
  }
  if (member.life > known.info.life) {
    known.left = false;
  }
  known.info = member;
  known.last_contact = now;
  return true;
}

void member_table::MarkLeft(const daemon_id& daemon) {
  const auto found = others_.find(daemon);
  if (found != others_.end()) {
    found->second.left = true;
  }
}

bool member_table::IsAlive(const entry& entry, time_point now) const {
  return !entry.left && now - entry.last_contact < timeout_;
}

bool member_table::IsAlive(const daemon_id& daemon, time_point now) const {
  if (daemon == self_.daemon) {
    return true;
  }
  const auto found = others_.find(daemon);
  return found != others_.end() && IsAlive(found->second, now);
}

std::vector<member> member_table::Alive(time_point now) const {
  std::vector<member> alive = {self_};
  for (const auto& [daemon, entry] : others_) {
    if (IsAlive(entry, now)) {
      alive.push_back(entry.info);
    }
  }
  return alive;
}

std::optional<member> member_table::Coordinator(
    const data_centre_id& data_centre,
    time_point now) const {
  std::optional<member> first;
  for (const member& candidate : Alive(now)) {
    if (candidate.data_centre != data_centre) {
      continue;
    }
    const bool is_leaving_self =
        self_leaving_ && candidate.daemon == self_.daemon;
    if (is_leaving_self) {
      continue;
    }
    if (!first || Precedes(candidate, *first)) {
      first = candidate;
    }
  }
  if (!first && self_.data_centre == data_centre) {
    return self_;
  }
  return first;
}

std::vector<data_centre_id> member_table::DataCentres(time_point now) const {
  std::vector<data_centre_id> data_centres;
  for (const member& member : Alive(now)) {
    if (member.region == self_.region) {
      data_centres.push_back(member.data_centre);
    }
  }
  std::sort(data_centres.begin(), data_centres.end());
  data_centres.erase(std::unique(data_centres.begin(), data_centres.end()),
                     data_centres.end());
  return data_centres;
}

}  // namespace burdocklock::membership
