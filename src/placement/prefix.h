#pragma once
// Parses the `Quayrill-Prompt-Prefix` header, a list of part ids with token counts, and divides the
// prompt into cache blocks.
#include <absl/status/statusor.h>

#include <string>
#include <string_view>
#include <vector>

#include "radix/radix_tree.h"

namespace quayrill {

// A section of a prompt, identified by an id that is the same wherever its text is the same.
struct PromptPart {
  std::string id;
  std::uint32_t tokens = 0;
  bool operator==(const PromptPart&) const = default;
};

// The parts of a prompt in order. Prompts that start with the same parts can share cache.
struct PromptPrefix {
  std::vector<PromptPart> parts;
};

inline constexpr std::size_t kMaxParts = 64;
inline constexpr std::size_t kMaxPartId = 64;
inline constexpr std::uint32_t kMaxPartTokens = 262144;
inline constexpr std::uint64_t kMaxPrefixTokens = 1048576;

// Parses "id:tokens,id:tokens". Ids consist of [A-Za-z0-9._-]. Blanks and empty parts are errors;
// an empty header is an empty prefix.
absl::StatusOr<PromptPrefix> parsePrefix(std::string_view header);
// The inverse of parsePrefix.
std::string formatPrefix(const PromptPrefix& prefix);

// Returns one block id per complete block of `blockTokens` tokens. The id is a hash of the pieces
// of parts that the block covers. Two prompts that share a part whose length is not a multiple of
// the block size share its complete blocks, but not the block in which the part ends.
std::vector<Token> prefixBlocks(const PromptPrefix& prefix, std::size_t blockTokens);

}  // namespace quayrill
