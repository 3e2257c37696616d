// Fair shares of customers in an overloaded pool with several routers.
#include <cmath>
#include <map>
#include <numeric>

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

#include "admission/fair_share.h"
#include "admission/flow_meter.h"
#include "admission/share_limiter.h"

namespace burdocklock::admission {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("max-min share: any demands: fits the capacity and uses all of it") {
  rc::prop("share", [](const std::vector<std::uint16_t>& demands,
                       std::uint16_t capacity) {
    std::vector<double> demand_rates(demands.begin(), demands.end());
    const double share = MaxMinShare(demand_rates, capacity);
    double allocated = 0;
    for (const double demand : demand_rates) {
      allocated += std::min(demand, share);
    }
    RC_ASSERT(allocated <= capacity + 1e-6);
    const double total =
        std::accumulate(demand_rates.begin(), demand_rates.end(), 0.0);
    RC_ASSERT((share == kNoLimit) == (total <= capacity));
    // An overloaded pool is allocated in full.
    RC_ASSERT(share == kNoLimit || allocated >= capacity - 1e-6);
  });
}

TEST_CASE("flow meter: steady flow: shows its rate") {
  flow_meter meter;
  time_point now{seconds(100)};
  for (int i = 0; i < 1000; ++i) {
    now += milliseconds(10);
    meter.Add(50, now);
  }
  CHECK(meter.Rate(now) == Approx(5000).epsilon(0.02));
  CHECK(meter.Rate(now + seconds(10)) < 50);
}

// Simulates two routers in front of a pool that starts at most `capacity`
// tokens per second and can queue up to `kQueueTokens`. Customers over their
// share are served only while at least `kSpareTokens` of the queue are free.
struct overload_fixture {
  static constexpr double kRequestTokens = 1000;
  static constexpr double kQueueTokens = 20'000;
  static constexpr double kSpareTokens = 0.7 * kQueueTokens;

  std::vector<share_limiter> routers{share_limiter(pool_id("p")),
                                     share_limiter(pool_id("p"))};
  time_point now{seconds(100)};
  double capacity = 100'000;
  double credit = kQueueTokens;
  std::map<customer_id, double> started;
  std::map<customer_id, double> refused;

  struct source {
    std::size_t router = 0;
    customer_id customer;
    double tokens_per_second = 0;
    double due = 0;
  };

  void Run(std::vector<source> sources, duration time) {
    constexpr milliseconds kStep{10};
    for (const time_point end = now + time; now < end; now += kStep) {
      credit = std::min(credit + capacity * ToSeconds(kStep), kQueueTokens);
      std::vector<source*> over;
      for (source& source : sources) {
        source.due += source.tokens_per_second * ToSeconds(kStep);
        while (source.due >= kRequestTokens) {
          source.due -= kRequestTokens;
          routers[source.router].OnArrival(source.customer, kRequestTokens,
                                           now);
          if (routers[source.router].IsOverShare(source.customer, now)) {
            over.push_back(&source);
          } else {
            Serve(source);
          }
        }
      }
      for (source* source : over) {
        if (credit >= kSpareTokens) {
          Serve(*source);
        } else {
          refused[source->customer] += kRequestTokens;
        }
      }
      if ((now.time_since_epoch() / kStep) % 20 == 0) {
        const auto first = routers[0].LocalFlows(now);
        const auto second = routers[1].LocalFlows(now);
        routers[0].SetRemoteFlows(second, now);
        routers[1].SetRemoteFlows(first, now);
      }
    }
  }
  void Serve(const source& source) {
    if (credit < kRequestTokens) {
      refused[source.customer] += kRequestTokens;
      return;
    }
    credit -= kRequestTokens;
    started[source.customer] += kRequestTokens;
    routers[source.router].OnSent(source.customer, kRequestTokens, now);
  }
};

TEST_CASE_METHOD(
    overload_fixture,
    "shares: pool is not overloaded: no customer is over its share") {
  Run({{.router = 0, .customer = customer_id("a"), .tokens_per_second = 60e3},
       {.router = 1, .customer = customer_id("b"), .tokens_per_second = 30e3}},
      seconds(10));
  CHECK(refused.empty());
}

TEST_CASE_METHOD(overload_fixture,
                 "shares: one customer sends 8 times its usual load at one "
                 "router: the demands of the others are met") {
  Run({{.router = 0,
        .customer = customer_id("hot"),
        .tokens_per_second = 240e3},
       {.router = 0, .customer = customer_id("a"), .tokens_per_second = 20e3},
       {.router = 1, .customer = customer_id("b"), .tokens_per_second = 20e3}},
      seconds(4));
  started.clear();
  refused.clear();
  Run({{.router = 0,
        .customer = customer_id("hot"),
        .tokens_per_second = 240e3},
       {.router = 0, .customer = customer_id("a"), .tokens_per_second = 20e3},
       {.router = 1, .customer = customer_id("b"), .tokens_per_second = 20e3}},
      seconds(6));
  CHECK(started[customer_id("a")] >= 0.9 * 20e3 * 6);
  CHECK(started[customer_id("b")] >= 0.9 * 20e3 * 6);
  // The remaining capacity does not stay idle.
  CHECK(started[customer_id("hot")] >= 0.85 * 60e3 * 6);
}

TEST_CASE_METHOD(overload_fixture,
                 "shares: an overloading customer on both routers: limited to "
                 "its share over both") {
  const std::vector<source> load = {
      {.router = 0, .customer = customer_id("hot"), .tokens_per_second = 150e3},
      {.router = 1, .customer = customer_id("hot"), .tokens_per_second = 150e3},
      {.router = 0, .customer = customer_id("a"), .tokens_per_second = 40e3},
      {.router = 1, .customer = customer_id("b"), .tokens_per_second = 40e3}};
  Run(load, seconds(4));
  started.clear();
  Run(load, seconds(6));
  const double share = 100e3 / 3 * 6;
  CHECK(started[customer_id("a")] >= 0.8 * share);
  CHECK(started[customer_id("b")] >= 0.8 * share);
}

// Rates of one customer at one router.
customer_flow Flow(const char* customer,
                   double demand,
                   double started,
                   double waiting = 0) {
  return {.pool = pool_id("p"),
          .customer = customer_id(customer),
          .demand = demand,
          .started = started,
          .waiting = waiting};
}

TEST_CASE(
    "shares: requests wait at another router: taken from what is "
    "started, not from what is known") {
  const time_point now{seconds(100)};
  share_limiter limiter(pool_id("p"));
  limiter.SetKnownCapacity(100e3);
  limiter.SetRemoteFlows({Flow("a", 50e3, 40e3), Flow("b", 50e3, 20e3)}, now);
  CHECK(limiter.share() == kNoLimit);
  limiter.SetRemoteFlows({Flow("a", 50e3, 40e3), Flow("b", 50e3, 20e3, 30e3)},
                         now);
  CHECK(limiter.share() == Approx(30e3));
}

TEST_CASE(
    "shares: little was started and requests wait: a quarter of the "
    "known capacity is shared") {
  const time_point now{seconds(100)};
  share_limiter limiter(pool_id("p"));
  limiter.SetKnownCapacity(100e3);
  limiter.SetRemoteFlows({Flow("a", 50e3, 0, 30e3), Flow("b", 50e3, 0, 30e3)},
                         now);
  CHECK(limiter.share() == Approx(12.5e3));
}

// Parts of targets that exceed the whole overfill them.
TEST_CASE(
    "shares: any load of several routers: their parts of the targets "
    "add up to one") {
  rc::prop("parts", [](const std::vector<std::vector<std::uint16_t>>& loads) {
    const time_point now{seconds(100)};
    std::vector<share_limiter> routers(loads.size(),
                                       share_limiter(pool_id("p")));
    std::vector<std::vector<customer_flow>> flows(loads.size());
    for (std::size_t r = 0; r < loads.size(); ++r) {
      double waiting = 0;
      for (std::size_t c = 0; c < loads[r].size(); ++c) {
        const customer_id customer("c" + std::to_string(c));
        routers[r].OnArrival(customer, 10.0 + loads[r][c], now);
        routers[r].OnSent(customer, loads[r][c] / 3.0, now);
        waiting += loads[r][c] % 7;
      }
      routers[r].SetWaiting(waiting);
      flows[r] = routers[r].LocalFlows(now);
      for (customer_flow& flow : flows[r]) {
        flow.waiting = waiting / static_cast<double>(flows[r].size());
      }
    }
    double parts = 0;
    bool any = false;
    for (std::size_t r = 0; r < loads.size(); ++r) {
      std::map<customer_id, customer_flow> others;
      for (std::size_t o = 0; o < loads.size(); ++o) {
        for (const customer_flow& flow : flows[o]) {
          if (o != r) {
            customer_flow& sum = others[flow.customer];
            sum.pool = flow.pool;
            sum.customer = flow.customer;
            sum.demand += flow.demand;
            sum.started += flow.started;
            sum.waiting += flow.waiting;
          }
        }
      }
      std::vector<customer_flow> list;
      for (const auto& [customer, flow] : others) {
        list.push_back(flow);
      }
      routers[r].SetRemoteFlows(list, now);
      parts += routers[r].LocalFraction(now);
      any |= !flows[r].empty();
    }
    RC_PRE(any);
    RC_ASSERT(std::abs(parts - 1) < 1e-6);
  });
}

// Work sent to spare capacity is a debt that later shares would pay for.
TEST_CASE(
    "shares: spare capacity was used for long: within its share a second "
    "after it is no longer used") {
  share_limiter limiter(pool_id("p"));
  const customer_id first("first");
  const customer_id second("second");
  time_point now{seconds(100)};
  const auto arrive = [&] {
    now += milliseconds(10);
    limiter.OnArrival(first, 2000, now);
    limiter.OnArrival(second, 1000, now);
  };
  for (int i = 0; i < 2000; ++i) {
    arrive();
    limiter.OnSent(first, 1000, now);
  }
  REQUIRE(limiter.IsOverShare(first, now));
  for (int i = 0; i < 105; ++i) {
    arrive();
    limiter.OnSent(second, 1000, now);
  }
  CHECK_FALSE(limiter.IsOverShare(first, now));
}

TEST_CASE(
    "shares: work admitted before is asked for again and again: no more than "
    "an advance of two seconds, and new work waits until it is paid back") {
  share_limiter limiter(pool_id("p"), {.basis = capacity_basis::kKnown});
  limiter.SetKnownCapacity(100e3);
  const customer_id again("again");
  const customer_id other("other");
  constexpr double kShare = 50e3;
  constexpr double kTokens = 1000;
  constexpr int kSeconds = 20;
  time_point now{seconds(100)};
  double sent = 0;
  const auto step = [&] {
    now += milliseconds(10);
    limiter.OnArrival(again, 3 * kTokens, now);
    limiter.OnArrival(other, kTokens, now);
    limiter.OnSent(other, kShare / 100, now);
  };
  // Until the demand is known there is no limit.
  for (int i = 0; i < 300; ++i) {
    step();
    limiter.OnSent(again, kShare / 100, now);
  }
  for (int i = 0; i < kSeconds * 100; ++i) {
    step();
    for (int n = 0; n < 3 && !limiter.IsOverAdvance(again, now); ++n) {
      limiter.OnSentAgain(again, kTokens, now);
      sent += kTokens;
    }
  }
  CHECK(sent >= kShare * kSeconds);
  CHECK(sent <= 1.05 * kShare * (kSeconds + 3));
  int waited_ms = 0;
  for (; limiter.IsOverShare(again, now); waited_ms += 10) {
    step();
  }
  CHECK(waited_ms >= 1500);
  CHECK(waited_ms <= 2500);
}

}  // namespace
}  // namespace burdocklock::admission
