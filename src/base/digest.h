#pragma once
// Digests of tenant keys and hashes that all daemons of a fleet agree on.
#include <cstdint>
#include <string>
#include <string_view>

namespace quayrill {

// SHA-256 of `secret` as "sha256:" and 64 hex digits. Tenant keys are stored only in this form.
std::string keyDigest(std::string_view secret);

// A hash that is the same in every process and build: leader roles and prompt blocks are derived
// from it, and all daemons have to derive the same ones.
std::uint64_t stableHash(std::string_view text);
// Combines two hashes into one; the order of the arguments matters.
std::uint64_t combineHashes(std::uint64_t left, std::uint64_t right);

}  // namespace quayrill
