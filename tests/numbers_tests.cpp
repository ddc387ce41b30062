// Tests of numbers from outside: no value is cut to another one.
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "base/numbers.h"

using namespace quayrill;
using Json = nlohmann::json;

TEST_CASE("numbers: a value that is too large becomes the largest, not another one") {
  CHECK(clamped<std::uint32_t>(std::uint64_t{1} << 32) == 0xffffffffU);
  CHECK(clamped<std::uint32_t>((std::uint64_t{1} << 32) - 1) == 0xffffffffU);
  CHECK(clamped<std::uint32_t>(std::int64_t{-1}) == 0);
  CHECK(clamped<std::int64_t>(std::uint64_t{1} << 63) == 0x7fffffffffffffff);
  CHECK(clamped<std::uint32_t>(std::uint64_t{7}) == 7);
}

TEST_CASE("numbers: text is a number as a whole or not at all") {
  CHECK(wholeNumber("18446744073709551615") == 18446744073709551615U);
  CHECK(wholeNumber("007") == 7);
  for (const char* text : {"", " 1", "1 ", "-1", "+1", "1.0", "0x1", "18446744073709551616"})
    CHECK_FALSE(wholeNumber(text));
  CHECK(wholeNumber<std::uint16_t>("65535") == 65535);
  CHECK_FALSE(wholeNumber<std::uint16_t>("65536"));
}

TEST_CASE("numbers: an amount in JSON is rounded down and limited") {
  CHECK(amountAs<std::uint32_t>(Json::parse("4294967296")) == 0xffffffffU);
  CHECK(amountAs<std::uint32_t>(Json::parse("4294967296.0")) == 0xffffffffU);
  CHECK(amountAs<std::uint32_t>(Json::parse("7.9")) == 7);
  CHECK(amountIn(Json::parse("18446744073709551615")) == 18446744073709551615U);
  CHECK(amountIn(Json::parse("1e300"), 1000) == 1000);
  for (const char* text : {"-1", "-0.5", "\"1\"", "null", "[]", "true"})
    CHECK_THROWS_AS(amountIn(Json::parse(text)), std::out_of_range);
}

TEST_CASE("numbers: a version in JSON is exact or refused") {
  CHECK(exactNumberIn(Json::parse("18446744073709551615")) == 18446744073709551615U);
  for (const char* text : {"-1", "1.0", "18446744073709551616", "1e3", "\"1\"", "null"})
    CHECK_THROWS_AS(exactNumberIn(Json::parse(text)), std::out_of_range);
}
