#include "base/build_identity.h"

#include <string_view>

#include "build_identity_values.h"

namespace quayrill {

namespace {
constexpr std::string_view kCommit = QUAYRILL_COMMIT;
constexpr bool kIsModified = QUAYRILL_MODIFIED != 0;

#if defined(__aarch64__)
constexpr char kProcessor[] = "arm64";
#elif defined(__x86_64__)
constexpr char kProcessor[] = "x86-64";
#else
constexpr char kProcessor[] = "other processor";
#endif
}  // namespace

std::string buildIdentity() {
  std::string text = QUAYRILL_VERSION;
  if (!kCommit.empty()) {
    text += " commit " + std::string(kCommit);
    if (kIsModified) text += " modified";
  }
  return text + " sources " QUAYRILL_SOURCE_DIGEST " " + kProcessor;
}

}  // namespace quayrill
