#include "base/numbers.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace quayrill {

namespace {
// 2^64, the first value that 64 bits don't hold.
constexpr double kBeyondAll = 18446744073709551616.0;
}  // namespace

std::uint64_t amountIn(const nlohmann::json& value, std::uint64_t largest) {
  if (value.is_number_unsigned()) return std::min(value.get<std::uint64_t>(), largest);
  const double number = value.is_number() ? value.get<double>() : -1;
  // Written so that NaN fails too.
  if (!(number >= 0)) throw std::out_of_range("is no number of 0 or more: correct it");
  return number >= kBeyondAll ? largest : std::min(static_cast<std::uint64_t>(number), largest);
}

std::uint64_t exactNumberIn(const nlohmann::json& value) {
  const bool isWhole =
      value.is_number_unsigned() || (value.is_number_integer() && value.get<std::int64_t>() >= 0);
  if (!isWhole)
    throw std::out_of_range("is no whole number from 0 to 18446744073709551615: correct it");
  return value.get<std::uint64_t>();
}

}  // namespace quayrill
