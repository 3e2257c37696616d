// Which requests have the same fingerprint.
#include "gateway/request_fingerprint.h"

#include <catch2/catch.hpp>

namespace burdocklock::gateway {
namespace {

const customer_id kCustomer("c1");

TEST_CASE("request fingerprint: repeated whole: the same") {
  const request_content content{
      .method = "POST", .path = "/a/b?c", .body = "body"};
  REQUIRE(FingerprintOf(kCustomer, content).has_value());
  CHECK(FingerprintOf(kCustomer, content) == FingerprintOf(kCustomer, content));
}

TEST_CASE("request fingerprint: one property differs: another one") {
  const request_content content{
      .method = "POST", .path = "/a/b?c", .body = "body"};
  const auto original = FingerprintOf(kCustomer, content);
  CHECK(FingerprintOf(customer_id("c2"), content) != original);
  CHECK(FingerprintOf(kCustomer,
                      {.method = "PUT", .path = "/a/b?c", .body = "body"}) !=
        original);
  CHECK(FingerprintOf(kCustomer,
                      {.method = "POST", .path = "/a/b?d", .body = "body"}) !=
        original);
  CHECK(FingerprintOf(kCustomer,
                      {.method = "POST", .path = "/a/b?c", .body = "Body"}) !=
        original);
}

TEST_CASE("request fingerprint: bytes move between properties: another one") {
  const auto original =
      FingerprintOf(kCustomer, {.method = "POST", .path = "/ab", .body = "cd"});
  CHECK(FingerprintOf(kCustomer,
                      {.method = "POST", .path = "/abc", .body = "d"}) !=
        original);
  CHECK(FingerprintOf(customer_id("c1P"),
                      {.method = "OST", .path = "/ab", .body = "cd"}) !=
        original);
}

TEST_CASE("request fingerprint: another own part of the prompt: another one") {
  const targets::prompt one{.parts = {{.id = 1}, {.id = 2}}};
  const targets::prompt other{.parts = {{.id = 1}, {.id = 3}}};
  const auto of = [](const targets::prompt& prompt) {
    return FingerprintOf(kCustomer,
                         {.method = "POST", .path = "/", .prompt = &prompt});
  };
  CHECK(of(one) == of(one));
  CHECK(of(one) != of(other));
}

}  // namespace
}  // namespace burdocklock::gateway
