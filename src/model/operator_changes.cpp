#include "model/operator_changes.h"

#include <algorithm>
#include <sstream>

namespace quayrill::model {

namespace {
// Schedules are short, so the record of an applied change is never dropped.
constexpr std::uint64_t kNoneForgotten = 0;

std::string digestOf(const OperatorChange& change) {
  return changeDigest("order", change.basis, change.name);
}

AppliedChanges decodeBody(const std::string& body) {
  std::istringstream input(body);
  AppliedChanges applied;
  AppliedChange change;
  while (input >> change.version >> change.digest) applied.push_back(change);
  return applied;
}

std::string encodeBody(const AppliedChanges& applied) {
  std::ostringstream output;
  for (const AppliedChange& change : applied)
    output << change.version << ' ' << change.digest << ' ';
  return output.str();
}
}  // namespace

Update updateOf(const OperatorChange& change, bool treatsResendAsNew) {
  return [change, treatsResendAsNew](
             const std::string& presentBody) -> absl::StatusOr<std::optional<std::string>> {
    AppliedChanges applied = decodeBody(presentBody);
    const std::string digest = digestOf(change);
    const std::uint64_t number = applied.empty() ? 0 : applied.front().version;
    const SubmittedChange submitted{change.basis + 1, change.basis, digest};
    const ChangeStatus status = classifyChange(submitted, applied, kNoneForgotten, number);
    if (!treatsResendAsNew && status == ChangeStatus::Applied) return std::optional<std::string>{};
    if (number != change.basis)
      return absl::FailedPreconditionError("number " + std::to_string(number) + " is current");
    recordApplied(&applied, {number + 1, digest});
    return std::optional<std::string>{encodeBody(applied)};
  };
}

ChangeSet changesIn(const std::string& body, const std::vector<OperatorChange>& changes) {
  const AppliedChanges applied = decodeBody(body);
  ChangeSet found = 0;
  for (std::size_t i = 0; i < changes.size(); ++i) {
    const AppliedChange appliedChange{changes[i].basis + 1, digestOf(changes[i])};
    if (std::find(applied.begin(), applied.end(), appliedChange) != applied.end())
      found |= bitOf(i);
  }
  return found;
}

}  // namespace quayrill::model
