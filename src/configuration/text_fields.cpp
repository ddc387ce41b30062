#include "configuration/text_fields.h"

namespace quayrill {

namespace {
constexpr std::string_view kDigits = "0123456789";
constexpr std::string_view kDigitsAndDots = "0123456789.";
constexpr std::string_view kHexDigits = "0123456789abcdef";
constexpr std::string_view kHostLetters = "0123456789abcdefghijklmnopqrstuvwxyz._-";
constexpr std::string_view kDigestPrefix = "sha256:";
constexpr std::size_t kDigestDigits = 64;

// Whether the text has at least one character, all of them among `allowed`.
bool consistsOf(std::string_view text, std::string_view allowed) {
  return !text.empty() && text.find_first_not_of(allowed) == std::string_view::npos;
}
}  // namespace

bool isPathPrefix(std::string_view text) { return text.starts_with('/') && text.ends_with('/'); }

bool isHostName(std::string_view text) { return consistsOf(text, kHostLetters); }

bool isNumericAddress(std::string_view text) {
  const std::size_t colon = text.find(':');
  return colon != std::string_view::npos && consistsOf(text.substr(0, colon), kDigitsAndDots) &&
         consistsOf(text.substr(colon + 1), kDigits);
}

bool isKeyDigest(std::string_view text) {
  return text.starts_with(kDigestPrefix) && text.size() == kDigestPrefix.size() + kDigestDigits &&
         consistsOf(text.substr(kDigestPrefix.size()), kHexDigits);
}

}  // namespace quayrill
