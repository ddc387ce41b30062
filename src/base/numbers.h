#pragma once
// Numbers from outside: from text, JSON or a wider type, never cut silently to a narrower one.
#include <charconv>
#include <cstdint>
#include <limits>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string_view>
#include <type_traits>
#include <utility>

namespace quayrill {

// The value as a `To`, or the nearest one that a `To` can hold.
template <typename To, typename From>
constexpr To clamped(From value) {
  static_assert(std::is_integral_v<To> && std::is_integral_v<From>);
  using Limits = std::numeric_limits<To>;
  if (std::cmp_less(value, Limits::min())) return Limits::min();
  if (std::cmp_greater(value, Limits::max())) return Limits::max();
  return static_cast<To>(value);
}

// The number that the whole text is in decimal digits; nullopt if it is none, or more than a
// `Number` can hold.
template <typename Number = std::uint64_t>
std::optional<Number> wholeNumber(std::string_view text) {
  static_assert(std::is_unsigned_v<Number>);
  Number number = 0;
  const char* const end = text.data() + text.size();
  const auto [last, error] = std::from_chars(text.data(), end, number);
  if (text.empty() || error != std::errc{} || last != end) return std::nullopt;
  return number;
}

// The JSON value as an amount: a number of 0 or more, rounded down, at most `largest`. Throws
// std::out_of_range for anything else, with a text for the operator.
std::uint64_t amountIn(const nlohmann::json& value,
                       std::uint64_t largest = std::numeric_limits<std::uint64_t>::max());

// The same at most that of an `Amount`.
template <typename Amount>
Amount amountAs(const nlohmann::json& value) {
  return static_cast<Amount>(amountIn(value, std::numeric_limits<Amount>::max()));
}

// The JSON value as a version or position, which is not altered. Throws std::out_of_range unless it
// is a whole number that 64 bits hold.
std::uint64_t exactNumberIn(const nlohmann::json& value);

}  // namespace quayrill
