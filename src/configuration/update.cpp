#include "configuration/update.h"

#include <algorithm>

#include "base/digest.h"

namespace quayrill {

namespace {
// Hex digits, 64 bits: among the changes remembered no two share them by accident (one chance in
// 10^13), and each body carries all of them.
constexpr std::size_t kDigestLength = 16;
}  // namespace

std::string changeDigest(std::string_view kind, std::uint64_t basis, std::string_view text) {
  std::string whole(kind);
  whole += '\0' + std::to_string(basis) + '\0';
  whole += text;
  const std::string digest = keyDigest(whole);
  return digest.substr(digest.find(':') + 1, kDigestLength);
}

ChangeStatus classifyChange(const SubmittedChange& sent, const AppliedChanges& taken,
                            std::uint64_t forgotten, std::uint64_t current) {
  const AppliedChange change{sent.version, sent.digest};
  if (std::find(taken.begin(), taken.end(), change) != taken.end()) return ChangeStatus::Applied;
  if (sent.baseVersion == current) return ChangeStatus::New;
  const bool mayBeForgotten = sent.baseVersion < forgotten && sent.version <= forgotten;
  return mayBeForgotten ? ChangeStatus::Forgotten : ChangeStatus::Stale;
}

std::uint64_t recordApplied(AppliedChanges* taken, AppliedChange change) {
  taken->push_front(std::move(change));
  std::uint64_t forgotten = 0;
  while (taken->size() > kMaxAppliedChanges) {
    forgotten = std::max(forgotten, taken->back().version);
    taken->pop_back();
  }
  return forgotten;
}

}  // namespace quayrill
