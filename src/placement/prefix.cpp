#include "placement/prefix.h"

#include <algorithm>
#include <charconv>

#include "base/digest.h"

namespace quayrill {

namespace {
bool isIdLetter(char letter) {
  return (letter >= 'a' && letter <= 'z') || (letter >= 'A' && letter <= 'Z') ||
         (letter >= '0' && letter <= '9') || letter == '.' || letter == '_' || letter == '-';
}
absl::Status bad(const std::string& what) {
  return absl::InvalidArgumentError("Quayrill-Prompt-Prefix: " + what);
}
}  // namespace

absl::StatusOr<PromptPrefix> parsePrefix(std::string_view header) {
  PromptPrefix prefix;
  if (header.empty()) return prefix;
  std::uint64_t total = 0;
  for (std::size_t start = 0; start <= header.size();) {
    const std::size_t end = std::min(header.find(',', start), header.size());
    const std::string_view item = header.substr(start, end - start);
    start = end + 1;
    const std::size_t colon = item.find(':');
    if (colon == std::string_view::npos || colon == 0) return bad("each part is id:tokens");
    const std::string_view id = item.substr(0, colon);
    const std::string_view count = item.substr(colon + 1);
    if (id.size() > kMaxPartId || !std::all_of(id.begin(), id.end(), isIdLetter))
      return bad("a part id is 1 to 64 of A-Z a-z 0-9 . _ -");
    std::uint32_t tokens = 0;
    const auto [last, error] = std::from_chars(count.data(), count.data() + count.size(), tokens);
    if (error != std::errc{} || last != count.data() + count.size() || tokens == 0 ||
        tokens > kMaxPartTokens || count.front() == '0')
      return bad("a token count is a whole number from 1 to 262144");
    total += tokens;
    if (prefix.parts.size() == kMaxParts) return bad("at most 64 parts");
    if (total > kMaxPrefixTokens) return bad("at most 1048576 tokens in all");
    prefix.parts.push_back({std::string(id), tokens});
  }
  return prefix;
}

std::string formatPrefix(const PromptPrefix& prefix) {
  std::string text;
  for (const PromptPart& part : prefix.parts) {
    if (!text.empty()) text += ',';
    text += part.id + ':' + std::to_string(part.tokens);
  }
  return text;
}

std::vector<Token> prefixBlocks(const PromptPrefix& prefix, std::size_t blockTokens) {
  std::vector<Token> blocks;
  std::uint64_t name = 0;
  std::size_t filled = 0;
  for (const PromptPart& part : prefix.parts) {
    // The id alone: a prefix that ends inside a part names the same blocks up to there.
    const std::uint64_t partName = stableHash(part.id);
    for (std::size_t offset = 0; offset < part.tokens;) {
      const std::size_t take = std::min<std::size_t>(blockTokens - filled, part.tokens - offset);
      name = combineHashes(combineHashes(combineHashes(name, partName), offset), take);
      filled += take;
      offset += take;
      if (filled == blockTokens) {
        blocks.push_back(name);
        name = 0;
        filled = 0;
      }
    }
  }
  return blocks;
}

}  // namespace quayrill
