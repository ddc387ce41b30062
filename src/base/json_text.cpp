#include "base/json_text.h"

namespace quayrill {

namespace {
// Calls `visit` with each character of the text that is not part of a JSON string, until it returns
// false. Returns whether it never did.
template <typename Visit>
bool forEachOutsideStrings(std::string_view text, Visit visit) {
  bool isInString = false;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const char letter = text[i];
    if (isInString) {
      if (letter == '\\') ++i;
      if (letter == '"') isInString = false;
      continue;
    }
    if (letter == '"') isInString = true;
    if (!visit(letter)) return false;
  }
  return true;
}
}  // namespace

bool nestsTooDeep(std::string_view text) {
  std::size_t depth = 0;
  return !forEachOutsideStrings(text, [&](char letter) {
    if (letter == '{' || letter == '[') ++depth;
    if (depth > kMaxJsonDepth) return false;
    if ((letter == '}' || letter == ']') && depth > 0) --depth;
    return true;
  });
}

bool hasTooManyValues(std::string_view text) {
  // Each value but the first follows a comma or is the first of its list or object. An empty list
  // or object counts once more.
  std::size_t values = 1;
  return !forEachOutsideStrings(text, [&](char letter) {
    if (letter == ',' || letter == '{' || letter == '[') ++values;
    return values <= kMaxDocumentValues;
  });
}

const char* documentShapeError(std::string_view text) {
  if (nestsTooDeep(text)) return kNestsTooDeep;
  return hasTooManyValues(text) ? kTooManyValues : nullptr;
}

}  // namespace quayrill
