// Messages with odd entries among good ones: numbers out of range, fractions
// where whole numbers are due, deep nesting.
#include <string>

#include <catch2/catch.hpp>

#include "control/message_codec.h"
#include "control/operator_state.h"

namespace burdocklock::control {
namespace {

// Far beyond what a fiber's stack holds if it is walked recursively.
constexpr std::size_t kDeep = 1'000'000;

TEST_CASE("message that nests deeply: rejected") {
  CHECK_FALSE(Decode(std::string(kDeep, '\x81')).has_value());
  CHECK_FALSE(Decode(std::string(kDeep, '\x9f')).has_value());
  CHECK_FALSE(
      Decode("\x82\x61t" + std::string(kDeep, '\x81') + "\x01").has_value());
  std::string maps;
  for (std::size_t i = 0; i < kDeep; ++i) {
    maps += "\xa1\x61x";
  }
  CHECK_FALSE(Decode(maps).has_value());
  operator_state state;
  CHECK_FALSE(state.Restore(std::string(kDeep, '\x81')).has_value());
}

}  // namespace
}  // namespace burdocklock::control
