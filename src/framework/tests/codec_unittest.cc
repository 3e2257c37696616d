// Tests of checked numbers and bounded parsing.
#include <cstdint>
#include <limits>
#include <string>
#include <vector>

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "framework/codec/bounded_parse.h"
#include "framework/codec/format_text.h"
#include "framework/codec/json_writer.h"
#include "framework/codec/whole_number.h"

namespace burdocklock {
namespace {

using nlohmann::json;

TEST_CASE("whole number in range: read, however it is written") {
  CHECK(ReadWhole<std::uint32_t>(json(4294967295)) == 4294967295);
  CHECK(ReadWhole<std::uint64_t>(json(std::uint64_t{18446744073709551615U})) ==
        18446744073709551615U);
  CHECK(ReadWhole<std::int64_t>(json(-5)) == -5);
  CHECK(ReadWhole<std::uint32_t>(json(7.0)) == 7);
  CHECK(ReadWhole<std::uint32_t>(json(3), 3, 4) == 3);
}

TEST_CASE("whole number with a fraction, out of range or no number: throws") {
  for (const json& odd :
       {json(4294967296), json(-1), json(1.5), json(1e300), json(-1e300),
        json(std::numeric_limits<double>::infinity()),
        json(std::numeric_limits<double>::quiet_NaN()), json("1"), json(true),
        json(), json::array()}) {
    CAPTURE(odd);
    CHECK_THROWS_AS(ReadWhole<std::uint32_t>(odd), std::exception);
  }
  CHECK_THROWS_AS(ReadWhole<std::uint32_t>(json(2), 3, 4), std::exception);
  CHECK_THROWS_AS(ReadWhole<std::uint32_t>(json(5), 3, 4), std::exception);
}

TEST_CASE("text and CBOR that nest up to the bound: parsed; beyond: not") {
  for (const std::size_t depth : {kMaxNesting, kMaxNesting + 1}) {
    const std::string text = std::string(depth, '[') + std::string(depth, ']');
    const std::string cbor = std::string(depth - 1, '\x81') + '\x80';
    const bool fits = depth <= kMaxNesting;
    CHECK(ParseTextOrDiscard(text).is_discarded() != fits);
    if (fits) {
      CHECK(ParseCbor(cbor) == json::parse(text));
    } else {
      CHECK_THROWS_AS(ParseCbor(cbor), std::exception);
    }
  }
  // Siblings do not add up.
  std::string wide = "[0";
  for (std::size_t i = 0; i < 2 * kMaxNesting; ++i) {
    wide += ",[{}]";
  }
  CHECK(ParseText(wide + "]").size() == 2 * kMaxNesting + 1);
}

TEST_CASE("bytes that are no text: formatted, and rejected when parsed") {
  CHECK(FormatText(json("a\xff")) == "\"a\xef\xbf\xbd\"");
  CHECK(ParseTextOrDiscard("\"\xff\"").is_discarded());
}

TEST_CASE("object written member by member: same text as of a document") {
  rc::prop("any names and values",
           [](const std::string& name, const std::string& text, double number,
              std::int64_t whole, bool flag) {
             const std::vector<std::string> list = {text, "plain", ""};
             nlohmann::ordered_json document;
             json_object_writer writer;
             const auto add = [&](const std::string& key, const auto& value) {
               document[key] = value;
               writer.Add(key, value);
             };
             add("a" + name, text);
             add("b", number);
             add("c", whole);
             add("d", flag);
             add("e", list);
             const std::string written = writer.Take();
             const json read = json::parse(written);
             RC_ASSERT(read == json::parse(FormatText(document)));
           });
}

TEST_CASE("object written member by member: numbers keep their form") {
  json_object_writer writer;
  writer.Add("whole", 3.0);
  writer.Add("part", 0.25);
  writer.Add("none", std::numeric_limits<double>::infinity());
  writer.Add("large", std::numeric_limits<std::uint64_t>::max());
  CHECK(
      writer.Take() ==
      R"({"whole":3.0,"part":0.25,"none":null,"large":18446744073709551615})");
}

}  // namespace
}  // namespace burdocklock
