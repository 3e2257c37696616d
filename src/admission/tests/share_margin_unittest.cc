// The figure that tells how close customers are to getting far less than their
// share.
#include "admission/share_margin.h"

#include <chrono>

#include <catch2/catch.hpp>

namespace burdocklock::admission {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct two_customers_fixture {
  // Reports come every 450 ms.
  void Play(double demand, double started, duration time) {
    for (const time_point end = now + time; now < end;
         now += milliseconds(450)) {
      margin.OnTotals({{.pool = pool_id("llm"),
                        .customer = customer_id("narrow"),
                        .demand = demand,
                        .started = started},
                       {.pool = pool_id("llm"),
                        .customer = customer_id("wide"),
                        .demand = 9000,
                        .started = 3000}},
                      now);
    }
  }
  [[nodiscard]] double Least() const { return margin.Least().value().margin; }

  share_margin margin;
  time_point now{seconds(50)};
};

TEST_CASE_METHOD(two_customers_fixture,
                 "share margin: a customer begins a third of what the best "
                 "served one begins: it is named") {
  Play(9000, 1000, seconds(8));
  CHECK(margin.Least()->customer == customer_id("narrow"));
  CHECK(Least() == Approx(1.0 / 3));
}

TEST_CASE_METHOD(two_customers_fixture,
                 "share margin: a customer asks little and gets it: it has its "
                 "share") {
  Play(1000, 1000, seconds(8));
  CHECK(Least() >= 1);
}

TEST_CASE_METHOD(two_customers_fixture,
                 "share margin: a customer is starved for two of six seconds: "
                 "the window tells") {
  Play(9000, 3000, seconds(8));
  Play(9000, 0, seconds(2));
  CHECK(Least() > 0.55);
  CHECK(Least() < 0.8);
}

TEST_CASE_METHOD(two_customers_fixture,
                 "share margin: no reports for three seconds: nothing is told "
                 "until the window is seen again") {
  Play(9000, 1000, seconds(8));
  now += seconds(3);
  Play(9000, 3000, seconds(2));
  CHECK_FALSE(margin.Least().has_value());
  Play(9000, 3000, seconds(5));
  CHECK(Least() >= 1);
}

}  // namespace
}  // namespace burdocklock::admission
