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
  duration heartbeat = std::chrono::milliseconds(500);
  /// A link silent for this time is given up and opened anew.
  duration silence = std::chrono::milliseconds(1500);
};

/// Invariant: there is one link to each wanted address.
class link_set {
 public:
  link_set(i_link_port& port, link_options options)
      : port_(port), options_(options) {}

  /// Opens and closes links so that these addresses are served.
  void SetWanted(const std::set<endpoint>& wanted, time_point now);
  void OnUp(link_id link, time_point now);
  void OnDown(link_id link);
  void OnHeard(link_id link, time_point now);
  /// Opens silent links anew.
  void Check(time_point now);

  [[nodiscard]] bool Owns(link_id link) const;
  [[nodiscard]] bool IsUp(link_id link) const;
  /// Something was heard on some link within the silence limit.
  [[nodiscard]] bool AnyHeard(time_point now) const;
  [[nodiscard]] std::vector<link_id> Up() const;
  [[nodiscard]] std::optional<link_id> To(const endpoint& peer) const;

 private:
  struct entry {
    endpoint peer;
    bool up = false;
    time_point last_heard;
    bool ever_heard = false;
  };

  i_link_port& port_;
  link_options options_;
  std::map<link_id, entry> links_;
};

}  // namespace burdocklock::control
