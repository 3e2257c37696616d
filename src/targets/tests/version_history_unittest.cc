// Since when all targets of a pool have announced the same software version.
#include "targets/version_history.h"

#include <chrono>
#include <string>

#include <catch2/catch.hpp>

namespace burdocklock::targets {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct version_history_fixture {
  version_history subject;
  time_point now{seconds(100)};

  void Hear(const std::string& version, duration age = duration::zero()) {
    subject.OnAnnouncement(pool_id("p"), software_version(version), now - age);
  }
  void HearFor(const std::string& version, seconds time) {
    for (int i = 0; i < time.count(); ++i) {
      now += seconds(1);
      Hear(version);
    }
  }
  [[nodiscard]] bool IsOnly(const std::string& version, seconds time) const {
    return subject.OnlyVersion(pool_id("p"), time, now) ==
           software_version(version);
  }
};

TEST_CASE_METHOD(version_history_fixture,
                 "versions of a pool: one alone for a time: it is the only one "
                 "for that time") {
  Hear("v1");
  HearFor("v1", seconds(10));
  CHECK(IsOnly("v1", seconds(10)));
  CHECK_FALSE(IsOnly("v1", seconds(11)));
}

TEST_CASE_METHOD(version_history_fixture,
                 "versions of a pool: another one, also once or late: neither "
                 "is the only one until it has gone for the time") {
  HearFor("v1", seconds(20));
  const auto age = GENERATE(milliseconds(0), milliseconds(4000));
  Hear("v2", age);
  CHECK_FALSE(IsOnly("v1", seconds(1)));
  CHECK_FALSE(IsOnly("v2", seconds(1)));
  HearFor("v1", seconds(5));
  CHECK_FALSE(IsOnly("v1", seconds(5)));
  CHECK(IsOnly("v1", seconds(4)));
}

TEST_CASE_METHOD(version_history_fixture,
                 "versions of a pool: nothing was heard lately: none is known "
                 "to be the only one") {
  HearFor("v1", seconds(20));
  now += milliseconds(2600);
  CHECK_FALSE(IsOnly("v1", seconds(1)));
  CHECK_FALSE(
      subject.OnlyVersion(pool_id("other"), seconds(0), now).has_value());
}

}  // namespace
}  // namespace burdocklock::targets
