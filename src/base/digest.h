#pragma once
#include <cstdint>
#include <string>
#include <string_view>

namespace quayrill {

// "sha256:" and 64 hex digits: the only form in which a tenant key is kept.
std::string keyDigest(std::string_view secret);

// Stable across processes and builds: leader roles and granule blocks are derived from it.
std::uint64_t stableHash(std::string_view text);
std::uint64_t combineHashes(std::uint64_t left, std::uint64_t right);

}  // namespace quayrill
