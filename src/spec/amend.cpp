#include "spec/amend.h"

#include <algorithm>

#include "base/digest.h"

namespace quayrill {

namespace {
constexpr std::size_t kDigestLength = 32;  // hex digits: no two changes share them by accident
}  // namespace

std::string changeDigest(std::string_view kind, std::uint64_t basis, std::string_view text) {
  std::string whole(kind);
  whole += '\0' + std::to_string(basis) + '\0';
  whole += text;
  const std::string digest = keyDigest(whole);
  return digest.substr(digest.find(':') + 1, kDigestLength);
}

bool hasTaken(const TakenChanges& taken, const std::string& digest) {
  return std::any_of(taken.begin(), taken.end(),
                     [&](const TakenChange& change) { return change.digest == digest; });
}

void addTaken(TakenChanges* taken, TakenChange change) {
  taken->push_front(std::move(change));
  while (taken->size() > kTakenKept) taken->pop_back();
}

}  // namespace quayrill
