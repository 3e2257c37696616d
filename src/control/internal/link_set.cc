// See the header.
#include "control/link_set.h"

#include <algorithm>

namespace burdocklock::control {

void link_set::SetWanted(const std::set<endpoint>& wanted, time_point now) {
  std::set<endpoint> missing = wanted;
  for (auto it = links_.begin(); it != links_.end();) {
    if (missing.erase(it->second.peer) > 0) {
      ++it;
      continue;
    }
    port_.Close(it->first);
    it = links_.erase(it);
  }
  for (const endpoint& peer : missing) {
    links_[port_.Open(peer)] = {.peer = peer, .last_heard = now};
  }
}

void link_set::OnUp(link_id link, time_point now) {
  const auto found = links_.find(link);
  if (found != links_.end()) {
    found->second.up = true;
    found->second.last_heard = now;
  }
}

void link_set::OnDown(link_id link) {
  const auto found = links_.find(link);
  if (found != links_.end()) {
    found->second.up = false;
  }
}

void link_set::OnHeard(link_id link, time_point now) {
  const auto found = links_.find(link);
  if (found != links_.end()) {
    found->second.last_heard = now;
    found->second.ever_heard = true;
  }
}

void link_set::Check(time_point now) {
  for (auto& [link, entry] : links_) {
    if (now - entry.last_heard >= options_.silence) {
      entry.last_heard = now;
      entry.ever_heard = false;
      entry.up = false;
      port_.Reopen(link);
    }
  }
}

bool link_set::Owns(link_id link) const {
  return links_.contains(link);
}

bool link_set::IsUp(link_id link) const {
  const auto found = links_.find(link);
  return found != links_.end() && found->second.up;
}

bool link_set::AnyHeard(time_point now) const {
  return std::any_of(links_.begin(), links_.end(), [&](const auto& link) {
    return link.second.ever_heard &&
           now - link.second.last_heard < options_.silence;
  });
}

std::vector<link_id> link_set::Up() const {
  std::vector<link_id> up;
  for (const auto& [link, entry] : links_) {
    if (entry.up) {
      up.push_back(link);
    }
  }
  return up;
}

std::optional<link_id> link_set::To(const endpoint& peer) const {
  for (const auto& [link, entry] : links_) {
    if (entry.peer == peer) {
      return link;
    }
  }
  return std::nullopt;
}

}  // namespace burdocklock::control
