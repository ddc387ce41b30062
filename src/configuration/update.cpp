#include "configuration/update.h"

#include <algorithm>

#include "base/digest.h"

namespace quayrill {

namespace {
// In hex digits. 64 bits suffice to tell the remembered changes apart (the chance of a collision is
// 1 in 10^13), and are short enough to be stored in every body.
constexpr std::size_t kDigestLength = 16;
}  // namespace

std::string changeDigest(std::string_view kind, std::uint64_t baseVersion, std::string_view text) {
  std::string request(kind);
  request += '\0' + std::to_string(baseVersion) + '\0';
  request += text;
  const std::string digest = keyDigest(request);
  return digest.substr(digest.find(':') + 1, kDigestLength);
}

ChangeStatus classifyChange(const SubmittedChange& submitted, const AppliedChanges& applied,
                            std::uint64_t forgottenUpTo, std::uint64_t current) {
  const AppliedChange change{submitted.version, submitted.digest};
  if (std::find(applied.begin(), applied.end(), change) != applied.end())
    return ChangeStatus::Applied;
  if (submitted.baseVersion == current) return ChangeStatus::New;
  const bool mayBeForgotten =
      submitted.baseVersion < forgottenUpTo && submitted.version <= forgottenUpTo;
  return mayBeForgotten ? ChangeStatus::Forgotten : ChangeStatus::Stale;
}

std::uint64_t recordApplied(AppliedChanges* applied, AppliedChange change) {
  applied->push_front(std::move(change));
  std::uint64_t forgottenUpTo = 0;
  while (applied->size() > kMaxAppliedChanges) {
    forgottenUpTo = std::max(forgottenUpTo, applied->back().version);
    applied->pop_back();
  }
  return forgottenUpTo;
}

}  // namespace quayrill
