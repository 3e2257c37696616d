#include "app/internal/suspension_watch.h"

#include <chrono>

#include <catch2/catch.hpp>

namespace burdocklock::app {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point kStart{seconds(1000)};

TEST_CASE("suspension: a thread runs when its timer is due: none") {
  suspension_watch watch;
  CHECK(watch.OnRun(kNever, kStart) == duration::zero());
  CHECK(watch.OnRun(kStart + seconds(5), kStart + seconds(5)) ==
        duration::zero());
  CHECK(watch.OnRun(kStart + seconds(9), kStart + seconds(6)) ==
        duration::zero());
  CHECK(watch.OnRun(kNever, kStart + seconds(60)) == duration::zero());
}

TEST_CASE("suspension: a thread runs long after its timer was due: told once") {
  suspension_watch watch;
  const time_point due = kStart + milliseconds(200);
  const time_point resumed = kStart + seconds(3);
  watch.OnRun(kNever, kStart);
  CHECK(watch.OnRun(due, resumed) == milliseconds(2800));
  // What had been posted runs before the timer.
  CHECK(watch.OnRun(due, resumed + milliseconds(1)) == duration::zero());
  CHECK(watch.OnRun(due, resumed + milliseconds(2)) == duration::zero());
}

TEST_CASE("suspension: it begins after the timer was due: counted from there") {
  suspension_watch watch;
  watch.OnRun(kNever, kStart);
  const time_point due = kStart + milliseconds(10);
  watch.OnRun(due, kStart + milliseconds(50));
  CHECK(watch.OnRun(due, kStart + milliseconds(2050)) == seconds(2));
}

}  // namespace
}  // namespace burdocklock::app
