#include "placement/prefix.h"

#include <algorithm>
#include <charconv>

#include "base/digest.h"

namespace quayrill {

namespace {
bool isIdCharacter(char character) {
  return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') ||
         (character >= '0' && character <= '9') || character == '.' || character == '_' ||
         character == '-';
}
absl::Status invalid(const std::string& what) {
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
    if (colon == std::string_view::npos || colon == 0) return invalid("each part is id:tokens");
    const std::string_view id = item.substr(0, colon);
    const std::string_view count = item.substr(colon + 1);
    if (id.size() > kMaxPartId || !std::all_of(id.begin(), id.end(), isIdCharacter))
      return invalid("a part id is 1 to 64 of A-Z a-z 0-9 . _ -");
    std::uint32_t tokens = 0;
    const auto [last, error] = std::from_chars(count.data(), count.data() + count.size(), tokens);
    if (error != std::errc{} || last != count.data() + count.size() || tokens == 0 ||
        tokens > kMaxPartTokens || count.front() == '0')
      return invalid("a token count is a whole number from 1 to 262144");
    total += tokens;
    if (prefix.parts.size() == kMaxParts) return invalid("at most 64 parts");
    if (total > kMaxPrefixTokens) return invalid("at most 1048576 tokens in all");
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
  std::uint64_t blockId = 0;
  std::size_t filled = 0;
  for (const PromptPart& part : prefix.parts) {
    // Hashes the id without the part's length: a prefix that ends inside a part has the same block
    // ids up to that point.
    const std::uint64_t partHash = stableHash(part.id);
    for (std::size_t offset = 0; offset < part.tokens;) {
      const std::size_t take = std::min<std::size_t>(blockTokens - filled, part.tokens - offset);
      blockId = combineHashes(combineHashes(combineHashes(blockId, partHash), offset), take);
      filled += take;
      offset += take;
      if (filled == blockTokens) {
        blocks.push_back(blockId);
        blockId = 0;
        filled = 0;
      }
    }
  }
  return blocks;
}

}  // namespace quayrill
