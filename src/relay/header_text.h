#pragma once
// Helpers for reading and writing HTTP headers.
#include <string>
#include <string_view>
#include <vector>

#include "net/http.h"

namespace quayrill {

inline std::string_view view(beast::string_view text) { return {text.data(), text.size()}; }

// Compares header names, ignoring case.
bool isSameHeaderName(std::string_view left, std::string_view right);

// True for hop-by-hop headers, which apply to a single connection and are not forwarded.
bool isHopByHop(std::string_view name);

// Appends a header line to `head`.
void addHeader(std::string* head, std::string_view name, std::string_view value);

// All runs of decimal digits in `text`, whatever separates them.
std::vector<std::string_view> digitRuns(std::string_view text);

}  // namespace quayrill
