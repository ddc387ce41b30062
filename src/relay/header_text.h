#pragma once
// Small pieces of HTTP heads: names, numbers and lines.
#include <string>
#include <string_view>
#include <vector>

#include "net/http.h"

namespace quayrill {

inline std::string_view view(beast::string_view text) { return {text.data(), text.size()}; }

// Names of fields are alike in whatever case.
bool isSameHeaderName(std::string_view left, std::string_view right);

// True for fields that concern one connection only.
bool isHopByHop(std::string_view name);

void addHeader(std::string* head, std::string_view name, std::string_view value);

// All whole numbers in `text`, whatever stands between them.
std::vector<std::uint32_t> parseNumbers(std::string_view text);

}  // namespace quayrill
