// See the header.
#include "refusals/refusal_groups.h"

#include <cstddef>
#include <map>
#include <tuple>
#include <utility>

namespace burdocklock::refusals {

namespace {

// So many of a kind, or fewer, are left apart.
constexpr std::size_t kFewOfKind = 4;

using kind = std::tuple<customer_id, refusal_reason, run_state>;
using group = std::vector<named_refusal>;

}  // namespace

std::vector<group> GroupByKind(std::vector<named_refusal> refused) {
  std::map<kind, std::size_t> places;
  std::vector<group> by_kind;
  for (named_refusal& one : refused) {
    const auto [place, is_new] = places.emplace(
        kind(one.made.customer, one.made.reason, one.made.run), by_kind.size());
    if (is_new) {
      by_kind.emplace_back();
    }
    by_kind[place->second].push_back(std::move(one));
  }
  std::vector<group> groups;
  for (group& same : by_kind) {
    if (same.size() > kFewOfKind) {
      groups.push_back(std::move(same));
      continue;
    }
    for (named_refusal& one : same) {
      groups.emplace_back().push_back(std::move(one));
    }
  }
  return groups;
}

}  // namespace burdocklock::refusals
