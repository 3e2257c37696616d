// Refusals grouped for the log.
#include "refusals/refusal_groups.h"

#include <cstddef>
#include <set>

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

namespace burdocklock::refusals {
namespace {

named_refusal Refused(std::uint64_t id,
                      const std::string& customer,
                      refusal_reason reason = refusal_reason::kRouterBusy) {
  return {.made = {.id = refusal_seq(id),
                   .customer = customer_id(customer),
                   .reason = reason},
          .request_name = "q" + std::to_string(id)};
}

TEST_CASE("refusals of one kind, few: each is apart") {
  const auto groups = GroupByKind({Refused(1, "a"), Refused(2, "a")});
  REQUIRE(groups.size() == 2);
  CHECK(groups[1][0].request_name == "q2");
}

TEST_CASE("refusals of a flood: one group for each kind") {
  std::vector<named_refusal> refused;
  for (std::uint64_t id = 1; id <= 60; ++id) {
    refused.push_back(Refused(id, id % 2 == 0 ? "even" : "odd"));
  }
  refused.push_back(Refused(61, "odd", refusal_reason::kUnknownRoute));
  const auto groups = GroupByKind(std::move(refused));
  REQUIRE(groups.size() == 3);
  CHECK(groups[0].size() == 30);
  CHECK(groups[1].size() == 30);
  CHECK(groups[2].size() == 1);
}

TEST_CASE("refusals of any kinds: each is in one group, with its own kind") {
  rc::prop("nothing is lost or joined", [](const std::vector<bool>& kinds) {
    std::vector<named_refusal> refused;
    for (const bool one : kinds) {
      refused.push_back(Refused(refused.size() + 1, one ? "a" : "b"));
    }
    std::set<refusal_seq> seen;
    for (const auto& group : GroupByKind(refused)) {
      for (const named_refusal& one : group) {
        RC_ASSERT(one.made.customer == group.front().made.customer);
        RC_ASSERT(seen.insert(one.made.id).second);
      }
    }
    RC_ASSERT(seen.size() == kinds.size());
  });
}

}  // namespace
}  // namespace burdocklock::refusals
