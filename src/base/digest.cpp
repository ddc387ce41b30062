#include "base/digest.h"

#include <openssl/evp.h>

namespace quayrill {

std::string keyDigest(std::string_view secret) {
  unsigned char digest[EVP_MAX_MD_SIZE];
  unsigned size = 0;
  EVP_Digest(secret.data(), secret.size(), digest, &size, EVP_sha256(), nullptr);
  static constexpr char kHex[] = "0123456789abcdef";
  std::string text = "sha256:";
  for (unsigned i = 0; i < size; ++i) {
    text += kHex[digest[i] >> 4];
    text += kHex[digest[i] & 15];
  }
  return text;
}

// boost::hash_combine, followed by the finalizer of SplitMix64.
std::uint64_t combineHashes(std::uint64_t left, std::uint64_t right) {
  std::uint64_t mixed = left ^ (right + 0x9e3779b97f4a7c15ULL + (left << 6) + (left >> 2));
  mixed ^= mixed >> 30;
  mixed *= 0xbf58476d1ce4e5b9ULL;
  mixed ^= mixed >> 27;
  mixed *= 0x94d049bb133111ebULL;
  return mixed ^ (mixed >> 31);
}

// FNV-1a, mixed with the length.
std::uint64_t stableHash(std::string_view text) {
  std::uint64_t hash = 0xcbf29ce484222325ULL;
  for (unsigned char byte : text) hash = (hash ^ byte) * 0x100000001b3ULL;
  return combineHashes(hash, text.size());
}

}  // namespace quayrill
