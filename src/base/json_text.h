#pragma once
// JSON text from outside: operators, callers and servers.
#include <cstddef>
#include <nlohmann/json.hpp>
#include <string_view>

namespace quayrill {

// How deep objects and lists may nest. Copying, comparing, printing and validating a JSON value
// recurse once for each level, so the depth must be bounded before any of them.
inline constexpr std::size_t kMaxJsonDepth = 200;
// The remedy in the error for a document that nests too deep.
inline constexpr char kNestsTooDeep[] =
    "objects and lists nest deeper than 200 levels: send a flatter document";

// Whether objects and lists nest deeper than kMaxJsonDepth. The text need not be valid JSON.
bool nestsTooDeep(std::string_view text);

// Parses the text. The result is discarded (see is_discarded()) if it is not JSON or nests too
// deep.
template <typename Value = nlohmann::json>
Value parseJson(std::string_view text) {
  if (nestsTooDeep(text)) return Value(Value::value_t::discarded);
  return Value::parse(text, nullptr, false);
}

}  // namespace quayrill
