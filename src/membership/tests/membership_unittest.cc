// Tests of liveness, the choice of coordinators, and data centre orders.
#include <algorithm>

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

#include "membership/data_centre_orders.h"
#include "membership/member_table.h"

namespace burdocklock::membership {
namespace {

using std::chrono::seconds;

member MakeMember(const std::string& name,
                  bool control,
                  std::uint64_t life = 1) {
  return {.daemon = daemon_id(name),
          .life = incarnation(life),
          .data_centre = data_centre_id("cheras"),
          .region = region_id("klang-valley"),
          .has_control_role = control};
}

struct member_fixture {
  member_table table{MakeMember("b", false), seconds(3)};
  time_point now{seconds(100)};
  const data_centre_id cheras{"cheras"};

  std::string Coordinator() {
    return table.Coordinator(cheras, now)->daemon.value();
  }
};

TEST_CASE_METHOD(member_fixture,
                 "members: no other member: coordinates its own data centre") {
  CHECK(Coordinator() == "b");
  CHECK(!table.Coordinator(data_centre_id("petaling"), now));
}

TEST_CASE_METHOD(member_fixture,
                 "members: control role: precedes smaller daemon ids") {
  table.RecordContact(MakeMember("a", false), now);
  CHECK(Coordinator() == "a");
  table.RecordContact(MakeMember("c", true), now);
  CHECK(Coordinator() == "c");
}

TEST_CASE_METHOD(member_fixture, "members: timed out or left: not alive") {
  table.RecordContact(MakeMember("a", false), now);
  now += seconds(3);
  CHECK(Coordinator() == "b");
  table.RecordContact(MakeMember("a", false), now);
  table.MarkLeft(daemon_id("a"));
  CHECK(Coordinator() == "b");
  table.RecordContact(MakeMember("a", false, 2), now);
  CHECK(Coordinator() == "a");
}

TEST_CASE_METHOD(member_fixture,
                 "members: late message of an earlier incarnation: ignored") {
  table.RecordContact(MakeMember("a", false, 2), now);
  CHECK(!table.RecordContact(MakeMember("a", true, 1), now + seconds(9)));
  CHECK(!table.IsAlive(daemon_id("a"), now + seconds(9)));
}

TEST_CASE(
    "orders: merged in any sequence: daemons converge, versions never "
    "decrease") {
  rc::prop("merge is commutative, idempotent and monotone", [] {
    const auto raw =
        *rc::gen::container<std::vector<std::tuple<int, bool, int>>>(
            rc::gen::tuple(rc::gen::inRange(1, 5), rc::gen::arbitrary<bool>(),
                           rc::gen::inRange(0, 3)));
    std::vector<data_centre_order> orders;
    for (const auto& [version, out, by] : raw) {
      orders.push_back({.data_centre = data_centre_id("cheras"),
                        .out = out,
                        .version = static_cast<std::uint64_t>(version),
                        .accepted_by = daemon_id(std::to_string(by))});
    }
    data_centre_orders first;
    std::uint64_t highest = 0;
    for (const auto& order : orders) {
      first.Merge(order);
      RC_ASSERT(first.All()[0].version >= highest);
      highest = first.All()[0].version;
    }
    data_centre_orders second;
    std::reverse(orders.begin(), orders.end());
    for (const auto& order : orders) {
      second.Merge(order);
      second.Merge(order);
    }
    RC_ASSERT(first.All() == second.All());
  });
}

TEST_CASE("orders: concurrent in and out with the same version: out wins") {
  const data_centre_id cheras("cheras");
  data_centre_orders local;
  data_centre_orders remote;
  const auto out = local.Accept(cheras, true, daemon_id("a"));
  const auto in = remote.Accept(cheras, false, daemon_id("b"));
  local.Merge(in);
  remote.Merge(out);
  CHECK(local.IsOut(cheras));
  CHECK(remote.IsOut(cheras));
}

}  // namespace
}  // namespace burdocklock::membership
