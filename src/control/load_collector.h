// Aggregates load reports of routers.
#pragma once

#include <map>

#include "admission/types/fleet_load.h"
#include "framework/types/ids.h"
#include "framework/types/time.h"

namespace burdocklock::control {

class load_collector {
 public:
  void OnReport(const daemon_id& router,
                admission::fleet_load load,
                time_point now);
  /// Sum over all other routers with a recent report.
  [[nodiscard]] admission::fleet_load LoadOfOthers(const daemon_id& router,
                                                   time_point now) const;

 private:
  struct entry {
    admission::fleet_load load;
    time_point reported;
  };

  std::map<daemon_id, entry> routers_;
};

}  // namespace burdocklock::control
