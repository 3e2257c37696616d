// The links that a daemon keeps to control hosts.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "control/i_link_port.h"
#include "framework/types/time.h"

namespace burdocklock::control {

struct link_options {
  duration heartbeat_interval = std::chrono::milliseconds(500);
  /// A link silent for this time is given up and opened anew.
  duration idle_timeout = std::chrono::milliseconds(1500);
};

/// Invariant: there is one link to each wanted address.
class link_set {
 public:
  link_set(i_link_port& port, link_options options)
      : port_(port), options_(options) {}

  /// Opens and closes links so that these addresses are served.
  void SetPeers(const std::set<endpoint>& peers, time_point now);
  void OnUp(link_id link, time_point now);
  void OnDown(link_id link);
  void OnReceived(link_id link, time_point now);
  /// Opens silent links anew.
  void ReopenIdleLinks(time_point now);

  [[nodiscard]] bool Owns(link_id link) const;
  [[nodiscard]] bool IsUp(link_id link) const;
  /// Something was heard on some link within the silence limit.
  [[nodiscard]] bool AnyActive(time_point now) const;
  [[nodiscard]] std::vector<link_id> OpenLinks() const;
  [[nodiscard]] std::optional<link_id> FindLink(const endpoint& peer) const;

 private:
  struct entry {
    endpoint peer;
    bool up = false;
    time_point last_seen;
    bool has_received = false;
  };

  i_link_port& port_;
  link_options options_;
  std::map<link_id, entry> links_;
};

}  // namespace burdocklock::control
