#pragma once
// `Quayrill-Prompt-Prefix`: part IDs with their token counts, turned into granule blocks.
#include <absl/status/statusor.h>

#include <string>
#include <string_view>
#include <vector>

#include "radix/radix_tree.h"

namespace quayrill {

struct PromptPart {
  std::string id;
  std::uint32_t tokens = 0;
  bool operator==(const PromptPart&) const = default;
};

struct PromptPrefix {
  std::vector<PromptPart> parts;
};

inline constexpr std::size_t kMaxParts = 64;
inline constexpr std::size_t kMaxPartId = 64;
inline constexpr std::uint32_t kMaxPartTokens = 262144;
inline constexpr std::uint64_t kMaxPrefixTokens = 1048576;

// "id:tokens,id:tokens". Ids are [A-Za-z0-9._-]; nothing else, no blanks, no empty parts.
absl::StatusOr<PromptPrefix> parsePrefix(std::string_view header);
std::string formatPrefix(const PromptPrefix& prefix);

// One name per whole block. A block is named by the pieces of parts that it covers, so a part that
// is no multiple of the block shares its whole blocks and nothing of the block it ends in.
std::vector<Token> prefixBlocks(const PromptPrefix& prefix, std::size_t blockTokens);

}  // namespace quayrill
