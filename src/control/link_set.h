// Outbound links of a daemon to control hosts.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "control/i_link_port.h"
#include "framework/types/time.h"

namespace burdocklock::control {

struct link_options {
  duration heartbeat_interval = std::chrono::milliseconds(500);
  /// A link without incoming messages for this time is reopened.
  duration idle_timeout = std::chrono::milliseconds(1500);
};

struct named_link {
  link_id link;
  std::string name;
  bool up = false;
};

/// Invariant: there is exactly one link to each peer in the set.
class link_set {
 public:
  link_set(i_link_port& port, link_options options)
      : port_(port), options_(options) {}

  /// Opens links to new peers and closes those to removed ones.
  void SetPeers(const std::set<endpoint>& peers, time_point now);
  void OnUp(link_id link, time_point now);
  void OnDown(link_id link);
  void OnReceived(link_id link, time_point now);
  /// Reopens links that have exceeded the idle timeout.
  void ReopenIdleLinks(time_point now);

  [[nodiscard]] bool Owns(link_id link) const;
  [[nodiscard]] bool IsUp(link_id link) const;
  /// True if the link is up and a message arrived on it within the idle
  /// timeout.
  [[nodiscard]] bool IsActive(link_id link, time_point now) const;
  /// True if a message arrived on any link within the idle timeout.
  [[nodiscard]] bool AnyActive(time_point now) const;
  [[nodiscard]] std::vector<link_id> OpenLinks() const;
  /// All links in the set, up or not, with the names of their peers.
  [[nodiscard]] std::vector<named_link> NamedLinks() const;
  [[nodiscard]] std::optional<link_id> FindLink(const endpoint& peer) const;

 private:
  struct entry {
    endpoint peer;
    std::string name;
    bool up = false;
    time_point last_seen;
    bool has_received = false;
  };

  i_link_port& port_;
  link_options options_;
  std::map<link_id, entry> links_;
};

}  // namespace burdocklock::control
