// Routers whose processors cannot serve all their callers, in virtual time.
#include "admission/processor_guard.h"

#include <algorithm>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

namespace burdocklock::admission {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

// One event loop that serves what has arrived in each turn before it looks for
// more.
class simulated_router {
 public:
  static constexpr microseconds kServe{4000};
  static constexpr microseconds kRefuse{400};
  static constexpr std::size_t kMaxPerTurn = 32;

  void Arrive(const customer_id& customer, time_point now) {
    arrived_.push_back({customer, now});
  }
  // Runs turns until `now`.
  void RunUntil(time_point now) {
    while (free_at_ <= now && !arrived_.empty()) {
      const time_point turn_started = std::max(free_at_, arrived_.front().at);
      time_point at = turn_started;
      for (std::size_t left = std::min(arrived_.size(), kMaxPerTurn); left > 0;
           --left) {
        const call next = arrived_.front();
        if (next.at > turn_started) {
          break;
        }
        arrived_.pop_front();
        const bool admitted = guard.Admit(next.customer, 1, at);
        at += admitted ? kServe : kRefuse;
        guard.OnEnded(admitted ? 1 : 0);
        ++(admitted ? served : refused)[next.customer];
        if (callers_return_at_once) {
          arrived_.push_back({next.customer, at + milliseconds(1)});
        }
        longest_wait = std::max(longest_wait, at - next.at);
      }
      free_at_ = at;
      guard.OnTurn(at - turn_started, at);
    }
    if (arrived_.empty() && free_at_ + milliseconds(20) <= now) {
      free_at_ = now;
      guard.OnTurn(duration::zero(), now);
    }
  }

  processor_guard guard;
  bool callers_return_at_once = false;
  std::map<customer_id, int> served;
  std::map<customer_id, int> refused;
  duration longest_wait{};

 private:
  struct call {
    customer_id customer;
    time_point at;
  };
  std::deque<call> arrived_;
  time_point free_at_{seconds(100)};
};

struct busy_routers_fixture {
  time_point now{seconds(100)};
  std::vector<simulated_router> routers{4};
  const customer_id large{"large"};
  const customer_id small{"small"};

  // New callers of the large customer all reach the first router in rotation;
  // one that reports heavy overload leaves the rotation two seconds later.
  void Run(double large_per_second, double small_per_second, duration time) {
    constexpr microseconds kStep{500};
    std::map<std::size_t, time_point> overloaded_since;
    double large_due = 0;
    double small_due = 0;
    for (const time_point end = now + time; now < end; now += kStep) {
      large_due += large_per_second * ToSeconds(kStep);
      small_due += small_per_second * ToSeconds(kStep);
      std::size_t first = routers.size();
      for (std::size_t i = routers.size(); i-- > 0;) {
        if (!routers[i].guard.IsHeavilyOverloaded()) {
          overloaded_since.erase(i);
        }
        const auto since = overloaded_since.try_emplace(i, now).first->second;
        const bool out =
            routers[i].guard.IsHeavilyOverloaded() && now - since >= seconds(2);
        if (!routers[i].guard.IsHeavilyOverloaded()) {
          overloaded_since.erase(i);
        }
        first = out ? first : i;
      }
      for (; large_due >= 1; --large_due) {
        routers[first % routers.size()].Arrive(large, now);
      }
      for (; small_due >= 1; --small_due) {
        routers[0].Arrive(small, now);
      }
      for (simulated_router& router : routers) {
        router.RunUntil(now);
      }
    }
  }
};

TEST_CASE_METHOD(busy_routers_fixture,
                 "processor guard: time is left: nothing is refused") {
  Run(150, 20, seconds(10));
  for (const simulated_router& router : routers) {
    CHECK(router.refused.empty());
    CHECK_FALSE(router.guard.IsHeavilyOverloaded());
  }
}

TEST_CASE_METHOD(busy_routers_fixture,
                 "processor guard: three times the processor's rate: no call "
                 "waits a second, the small customer is served") {
  Run(750, 20, seconds(20));
  for (const simulated_router& router : routers) {
    CHECK(router.longest_wait < seconds(1));
  }
  CHECK(routers[0].served[small] >= 19 * routers[0].refused[small]);
}

TEST_CASE_METHOD(busy_routers_fixture,
                 "processor guard: three times the processor's rate: reports "
                 "heavy overload, and its end") {
  Run(750, 0, seconds(3));
  CHECK(routers[0].guard.IsHeavilyOverloaded());
  Run(50, 0, seconds(6));
  for (const simulated_router& router : routers) {
    CHECK_FALSE(router.guard.IsHeavilyOverloaded());
  }
}

// A loop without a pause, in turns of one length. Each begins with one call.
struct busy_loop_fixture {
  processor_guard guard;
  time_point now{seconds(100)};

  // Returns how many calls are refused.
  int Run(duration turn, duration caller_wait, duration time) {
    int refused = 0;
    for (const time_point end = now + time; now < end;) {
      const bool admitted = guard.Admit(customer_id("large"), 1, now);
      refused += admitted ? 0 : 1;
      guard.OnCallerWait(caller_wait);
      now += turn;
      guard.OnEnded(admitted ? 1 : 0);
      guard.OnTurn(turn, now);
    }
    return refused;
  }
};

TEST_CASE_METHOD(busy_loop_fixture,
                 "processor guard: always busy in short turns: nothing is "
                 "refused") {
  CHECK(Run(milliseconds(4), duration::zero(), seconds(10)) == 0);
}

TEST_CASE_METHOD(
    busy_loop_fixture,
    "processor guard: always busy and callers wait to be accepted: "
    "calls are refused") {
  CHECK(Run(milliseconds(4), milliseconds(200), seconds(10)) > 0);
}

TEST_CASE_METHOD(busy_loop_fixture,
                 "processor guard: always busy in long turns and then in short "
                 "ones: refusing ends") {
  REQUIRE(Run(milliseconds(60), duration::zero(), seconds(10)) > 0);
  Run(milliseconds(4), duration::zero(), seconds(20));
  CHECK(Run(milliseconds(4), duration::zero(), seconds(10)) == 0);
}

TEST_CASE_METHOD(
    busy_loop_fixture,
    "processor guard: calls come in waves: no more is refused than "
    "admitted when the limit begins") {
  constexpr milliseconds kTurn{60};
  int admitted = 0;
  int refused = 0;
  for (int wave = 0; wave < 8; ++wave) {
    const int admitted_before = admitted;
    for (int call = 0; call < 100; ++call) {
      ++(guard.Admit(customer_id("large"), 1, now) ? admitted : refused);
    }
    for (int turn = 0; turn < 5; ++turn) {
      now += kTurn;
      guard.OnTurn(kTurn, now);
    }
    guard.OnEnded(admitted - admitted_before);
  }
  CHECK(refused > 0);
  CHECK(admitted >= refused);
}

TEST_CASE_METHOD(busy_routers_fixture,
                 "processor guard: refused callers return at once: two fifths "
                 "of the processor go to calls that are served") {
  simulated_router& router = routers[0];
  router.callers_return_at_once = true;
  for (int caller = 0; caller < 500; ++caller) {
    router.Arrive(large, now);
  }
  Run(0, 0, seconds(5));
  router.served.clear();
  Run(0, 0, seconds(10));
  const double serving =
      ToSeconds(simulated_router::kServe) * router.served[large] / 10;
  CHECK(serving >= 0.4);
}

}  // namespace
}  // namespace burdocklock::admission
