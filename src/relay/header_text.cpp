#include "relay/header_text.h"

#include <algorithm>

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

std::vector<std::string_view> digitRuns(std::string_view text) {
  constexpr char kDigits[] = "0123456789";
  std::vector<std::string_view> runs;
  for (std::size_t start = text.find_first_of(kDigits); start != std::string_view::npos;) {
    const std::size_t end = std::min(text.find_first_not_of(kDigits, start), text.size());
    runs.push_back(text.substr(start, end - start));
    start = text.find_first_of(kDigits, end);
  }
  return runs;
}

}  // namespace quayrill
