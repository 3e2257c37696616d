// Opens, closes and reopens the links to control hosts, and tracks which of
// them are up and active.
#include "control/link_set.h"

#include <algorithm>

namespace burdocklock::control {

void link_set::SetPeers(const std::set<endpoint>& peers, time_point now) {
  std::set<endpoint> missing = peers;
  for (auto it = links_.begin(); it != links_.end();) {
    if (missing.erase(it->second.peer) > 0) {
      ++it;
      continue;
    }
    port_.Close(it->first);
    it = links_.erase(it);
  }
  for (const endpoint& peer : missing) {
    links_[port_.Open(peer)] = {
        .peer = peer, .name = ToString(peer), .last_seen = now};
  }
}

void link_set::OnUp(link_id link, time_point now) {
  const auto found = links_.find(link);
  if (found != links_.end()) {
    found->second.up = true;
    found->second.last_seen = now;
  }
}

void link_set::OnDown(link_id link) {
  const auto found = links_.find(link);
  if (found != links_.end()) {
    found->second.up = false;
  }
}

void link_set::OnReceived(link_id link, time_point now) {
  const auto found = links_.find(link);
  if (found != links_.end()) {
    found->second.last_seen = now;
    found->second.has_received = true;
  }
}

void link_set::ReopenIdleLinks(time_point now) {
  for (auto& [link, entry] : links_) {
    if (now - entry.last_seen >= options_.idle_timeout) {
      entry.last_seen = now;
      entry.has_received = false;
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

bool link_set::IsActive(link_id link, time_point now) const {
  const auto found = links_.find(link);
  return found != links_.end() && found->second.up &&
         found->second.has_received &&
         now - found->second.last_seen < options_.idle_timeout;
}

bool link_set::AnyActive(time_point now) const {
  return std::any_of(links_.begin(), links_.end(), [&](const auto& link) {
    return link.second.has_received &&
           now - link.second.last_seen < options_.idle_timeout;
  });
}

std::vector<link_id> link_set::OpenLinks() const {
  std::vector<link_id> up;
  for (const auto& [link, entry] : links_) {
    if (entry.up) {
      up.push_back(link);
    }
  }
  return up;
}

std::vector<named_link> link_set::NamedLinks() const {
  std::vector<named_link> all;
  all.reserve(links_.size());
  for (const auto& [link, entry] : links_) {
    all.push_back({.link = link, .name = entry.name, .up = entry.up});
  }
  return all;
}

std::optional<link_id> link_set::FindLink(const endpoint& peer) const {
  for (const auto& [link, entry] : links_) {
    if (entry.peer == peer) {
      return link;
    }
  }
  return std::nullopt;
}

}  // namespace burdocklock::control
