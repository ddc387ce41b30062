#include "relay/header_text.h"

#include <charconv>

namespace quayrill {

bool isSameHeaderName(std::string_view left, std::string_view right) {
  return beast::iequals({left.data(), left.size()}, {right.data(), right.size()});
}

bool isHopByHop(std::string_view name) {
  for (const char* own : {"Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length", "TE",
                          "Trailer", "Upgrade", "Proxy-Connection", "Expect"}) {
    if (isSameHeaderName(name, own)) return true;
  }
  return false;
}

void addHeader(std::string* head, std::string_view name, std::string_view value) {
  head->append(name).append(": ").append(value).append("\r\n");
}

std::vector<std::uint32_t> parseNumbers(std::string_view text) {
  std::vector<std::uint32_t> numbers;
  for (std::size_t at = 0; at < text.size();) {
    std::uint32_t number = 0;
    const auto [end, error] = std::from_chars(text.data() + at, text.data() + text.size(), number);
    if (error != std::errc{}) {
      ++at;
      continue;
    }
    numbers.push_back(number);
    at = static_cast<std::size_t>(end - text.data());
  }
  return numbers;
}

}  // namespace quayrill
