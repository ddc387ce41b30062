#include "base/json_text.h"

namespace quayrill {

bool nestsTooDeep(std::string_view text) {
  std::size_t depth = 0;
  bool isInString = false;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const char letter = text[i];
    if (isInString) {
      if (letter == '\\') ++i;
      if (letter == '"') isInString = false;
      continue;
    }
    if (letter == '"') isInString = true;
    if (letter == '{' || letter == '[') ++depth;
    if (depth > kMaxJsonDepth) return true;
    if ((letter == '}' || letter == ']') && depth > 0) --depth;
  }
  return false;
}

}  // namespace quayrill
