// Tests of the fleet's invariants under message loss, partitions, restarts and
// operators' orders.
#include <cmath>

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

#include "fleet/tests/fake_fleet.h"

namespace burdocklock::fleet {
namespace {

const std::vector<std::string> kDataCentres = {"a", "b", "c", "a"};

struct fleet_fixture {
  fake_fleet fleet{kDataCentres, 5};

  fleet_fixture() {
    fleet.AddTarget("t-a", "a", 8, 2);
    fleet.AddTarget("t-b", "b", 8, 2);
    fleet.AddTarget("t-c", "c", 8, 2);
    fleet.Run(seconds(5));
  }
  void FloodAll() {
    for (std::size_t i = 0; i < kDataCentres.size(); ++i) {
      Flood(i, "large", 2000);
    }
    fleet.Run(seconds(10));
  }
  // Fraction of slots in use over two seconds, at one target or at all.
  double Utilisation(const std::string& target = "") {
    double busy = 0;
    constexpr int kSamples = 200;
    for (int i = 0; i < kSamples; ++i) {
      fleet.Run(milliseconds(10));
      busy += target.empty() ? static_cast<double>(fleet.Running()) / 24
                             : fleet.targets[target_id(target)].running / 8.0;
    }
    return busy / kSamples;
  }
  void Flood(std::size_t at, const std::string& customer, int count) {
    for (int i = 0; i < count; ++i) {
      fleet.Request(at, customer, 10);
    }
  }
};

TEST_CASE_METHOD(fleet_fixture,
                 "fleet: all requests at one router: every slot is used") {
  Flood(3, "large", 3000);
  fleet.Run(seconds(15));
  CHECK(Utilisation() >= 0.97);
}

TEST_CASE_METHOD(fleet_fixture,
                 "fleet: customers on different routers: equal service") {
  Flood(0, "everywhere", 2000);
  Flood(1, "everywhere", 2000);
  Flood(2, "everywhere", 2000);
  Flood(3, "single", 2000);
  fleet.Run(seconds(15));
  const double everywhere = fleet.Served("everywhere");
  const double single = fleet.Served("single");
  double largest_gap = 0;
  for (int i = 0; i < 200; ++i) {
    fleet.Run(milliseconds(100));
    largest_gap = std::max(largest_gap,
                           std::abs((fleet.Served("everywhere") - everywhere) -
                                    (fleet.Served("single") - single)));
  }
  // docs/design/002-fair-fleet.md: all slots for one report period and one
  // request time, in tokens.
  const double slots = 24;
  const double tokens_per_slot_second = 10 / 0.4;
  const double bound = slots * tokens_per_slot_second * (1.0 + 0.4);
  CHECK(largest_gap <= bound);
}

TEST_CASE_METHOD(
    fleet_fixture,
    "fleet: data centre out: no new requests there after 3 s, cold "
    "on return") {
  FloodAll();
  const auto daemon_index = GENERATE(1U, 2U);
  const bool disconnected = GENERATE(false, true);
  if (disconnected && daemon_index != 1) {
    return;  // Only daemon 1, which is in b, can reach its targets then.
  }
  fleet.Partition("b", disconnected);
  const time_point ordered_at = fleet.now;
  fleet.OrderDataCentre(daemon_index, "b", true);
  fleet.Run(seconds(10));
  CHECK(fleet.last_start["b"] <= ordered_at + seconds(3));
  CHECK(fleet.targets[target_id("t-b")].running == 0);

  fleet.Partition("b", false);
  fleet.Run(seconds(3));
  fleet.targets[target_id("t-b")].max_running = 0;
  fleet.OrderDataCentre(daemon_index, "b", false);
  fleet.Run(milliseconds(300));
  CHECK(fleet.targets[target_id("t-b")].max_running <= 2);
  fleet.Run(seconds(10));
  CHECK(Utilisation("t-b") >= 0.97);
}

TEST_CASE_METHOD(fleet_fixture,
                 "fleet: data centre disconnected: both sides keep serving") {
  FloodAll();
  fleet.Partition("b", true);
  fleet.Run(seconds(12));
  CHECK(Utilisation() >= 0.97);
  fleet.Partition("b", false);
  fleet.Run(seconds(8));
  CHECK(Utilisation() >= 0.97);
}

TEST_CASE_METHOD(
    fleet_fixture,
    "fleet: coordinator dies: another takes over, no target exceeds "
    "its slots") {
  FloodAll();
  fleet.Kill(0);
  fleet.Run(seconds(12));
  CHECK(Utilisation("t-a") >= 0.97);
  fleet.Restart(0);
  Flood(0, "large", 2000);
  fleet.Run(seconds(12));
  CHECK(Utilisation() >= 0.97);
  for (const auto& [id, target] : fleet.targets) {
    CHECK(target.max_running <= target.announced.slots);
  }
}

TEST_CASE_METHOD(
    fleet_fixture,
    "fleet: every router of a data centre dies: another data centre "
    "uses its targets") {
  FloodAll();
  fleet.Kill(1);
  fleet.Run(seconds(20));
  CHECK(Utilisation("t-b") >= 0.97);
}

TEST_CASE(
    "fleet: loss, partitions, kills and orders: no target exceeds its "
    "slots, and all requests complete") {
  rc::prop("max_running <= slots", [] {
    fake_fleet fleet(kDataCentres, *rc::gen::inRange(1U, 1'000'000U));
    fleet.AddTarget("t-a", "a", 8, 2);
    fleet.AddTarget("t-b", "b", 6, 1);
    fleet.AddTarget("t-c", "c", 4, 2);
    fleet.loss_per_mille = *rc::gen::inRange(0U, 200U);
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        20, rc::gen::pair(rc::gen::inRange(0, 8), rc::gen::inRange(0, 4)));
    for (const auto& [choice, which] : steps) {
      const auto index = static_cast<std::size_t>(which);
      if (choice <= 2) {
        for (int i = 0; i < 30; ++i) {
          fleet.Request(index, "c" + std::to_string(choice), 10);
        }
      } else if (choice == 3) {
        fleet.Partition(kDataCentres[index],
                        !fleet.disconnected.contains(kDataCentres[index]));
      } else if (choice == 4) {
        if (fleet.daemons[index]->alive) {
          fleet.Kill(index);
        } else {
          fleet.Restart(index);
        }
      } else if (choice == 5 && fleet.daemons[index]->alive) {
        fleet.OrderDataCentre(index, kDataCentres[index], which % 2 == 0);
      }
      fleet.Run(milliseconds(700));
      for (const auto& [id, target] : fleet.targets) {
        RC_ASSERT(target.max_running <= target.announced.slots);
      }
    }
    fleet.loss_per_mille = 0;
    for (std::size_t i = 0; i < kDataCentres.size(); ++i) {
      fleet.Partition(kDataCentres[i], false);
      if (!fleet.daemons[i]->alive) {
        fleet.Restart(i);
      }
    }
    fleet.Run(seconds(10));
    for (const char* data_centre : {"a", "b", "c"}) {
      fleet.OrderDataCentre(0, data_centre, false);
    }
    fleet.Run(seconds(60));
    RC_ASSERT(fleet.Waiting() == 0U);
    RC_ASSERT(fleet.Running() == 0U);
  });
}

}  // namespace
}  // namespace burdocklock::fleet
