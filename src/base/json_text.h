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

// How many values a document of an operator may have: one for each four bytes of the largest
// configuration that is accepted. A parsed value takes many times its text, and the operator API
// reads bodies of several MiB.
inline constexpr std::size_t kMaxDocumentValues = 1 << 18;
// The remedy in the error for a document with more.
inline constexpr char kTooManyValues[] = "more than 262144 values: send a smaller document";

// Whether objects and lists nest deeper than kMaxJsonDepth. The text need not be valid JSON.
bool nestsTooDeep(std::string_view text);

// Whether the text has more than kMaxDocumentValues values, where empty lists and objects count
// twice. The text need not be valid JSON.
bool hasTooManyValues(std::string_view text);

// Why an operator's document is not even parsed; nullptr if it may be.
const char* documentShapeError(std::string_view text);

// Parses the text. The result is discarded (see is_discarded()) if it is not JSON or nests too
// deep.
template <typename Value = nlohmann::json>
Value parseJson(std::string_view text) {
  if (nestsTooDeep(text)) return Value(Value::value_t::discarded);
  return Value::parse(text, nullptr, false);
}

// The value as text. Bytes of a string that are no UTF-8 are printed as U+FFFD: paths and headers
// of requests may hold any.
inline std::string printJson(const nlohmann::json& value) {
  return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace quayrill
