// Tests of the bound on bytes that are kept.
#include "framework/net/byte_budget.h"

#include <memory>
#include <vector>

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

namespace burdocklock::net {
namespace {

constexpr std::size_t kKib = 1024;

struct byte_budget_fixture {
  byte_budget budget{1000 * kKib};
  std::vector<int> stopped;

  std::unique_ptr<byte_hold> Hold(int name) {
    return std::make_unique<byte_hold>(
        budget, [this, name] { stopped.push_back(name); });
  }
};

TEST_CASE_METHOD(byte_budget_fixture,
                 "budget: message without end beside others: it gives way, "
                 "whoever asks for room") {
  const auto sound = Hold(1);
  const auto endless = Hold(2);
  REQUIRE(sound->Resize(300 * kKib));
  REQUIRE(endless->Resize(700 * kKib));
  CHECK(sound->Resize(310 * kKib));
  CHECK(stopped == std::vector{2});
  CHECK(endless->given_up());
  CHECK_FALSE(endless->Resize(710 * kKib));
  CHECK(budget.counted() == 310 * kKib);
  CHECK(budget.given_up() == 1);
}

TEST_CASE_METHOD(byte_budget_fixture,
                 "budget: largest asks for more than there is: refused, others "
                 "go on") {
  const auto sound = Hold(1);
  const auto endless = Hold(2);
  REQUIRE(sound->Resize(300 * kKib));
  REQUIRE(endless->Resize(700 * kKib));
  CHECK_FALSE(endless->Resize(701 * kKib));
  CHECK(stopped.empty());
  CHECK(sound->Resize(900 * kKib));
}

TEST_CASE_METHOD(byte_budget_fixture,
                 "budget: complete message: kept, and its room is freed with "
                 "it") {
  auto complete = Hold(1);
  const auto other = Hold(2);
  REQUIRE(complete->Resize(800 * kKib));
  complete->Complete();
  CHECK_FALSE(other->Resize(300 * kKib));
  CHECK_FALSE(complete->given_up());
  complete.reset();
  const auto next = Hold(3);
  CHECK(next->Resize(300 * kKib));
}

TEST_CASE_METHOD(byte_budget_fixture,
                 "budget: spent: small messages have room") {
  const auto large = Hold(1);
  REQUIRE(large->Resize(1000 * kKib));
  large->Complete();
  const auto small = Hold(2);
  CHECK(small->Resize(byte_budget::kUncountedBytes));
  CHECK_FALSE(small->Resize(byte_budget::kUncountedBytes + 1));
}

TEST_CASE("budget: any order of growth: never beyond the capacity") {
  rc::prop("counted <= capacity", [] {
    const std::size_t capacity = *rc::gen::inRange(20, 400) * kKib;
    byte_budget budget(capacity);
    std::vector<std::unique_ptr<byte_hold>> holds(8);
    const auto steps =
        *rc::gen::container<std::vector<std::pair<unsigned, unsigned>>>(
            rc::gen::pair(rc::gen::inRange(0U, 8U),
                          rc::gen::inRange(0U, 300U)));
    for (const auto& [which, size] : steps) {
      auto& hold = holds[which];
      if (!hold || size == 0) {
        hold = std::make_unique<byte_hold>(budget, [] {});
      } else if (size == 1) {
        hold->Complete();
      } else if (!hold->Resize(size * kKib)) {
        RC_ASSERT(hold->given_up());
      }
      RC_ASSERT(budget.counted() <= capacity);
    }
    holds.clear();
    RC_ASSERT(budget.counted() == 0U);
  });
}

}  // namespace
}  // namespace burdocklock::net
