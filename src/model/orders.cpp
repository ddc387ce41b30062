#include "model/orders.h"

#include <algorithm>
#include <sstream>

namespace quayrill::model {

namespace {
// Schedules are short, so the record of a taken change is never dropped.
constexpr std::uint64_t kNoneForgotten = 0;

std::string digestOf(const OperatorChange& change) {
  return changeDigest("order", change.basis, change.name);
}

TakenChanges decodeBody(const std::string& body) {
  std::istringstream input(body);
  TakenChanges taken;
  TakenChange change;
  while (input >> change.number >> change.digest) taken.push_back(change);
  return taken;
}

std::string encodeBody(const TakenChanges& taken) {
  std::ostringstream output;
  for (const TakenChange& change : taken) output << change.number << ' ' << change.digest << ' ';
  return output.str();
}
}  // namespace

Update updateOf(const OperatorChange& change, bool treatsResendAsNew) {
  return [change, treatsResendAsNew](
             const std::string& presentBody) -> absl::StatusOr<std::optional<std::string>> {
    TakenChanges taken = decodeBody(presentBody);
    const std::string digest = digestOf(change);
    const std::uint64_t number = taken.empty() ? 0 : taken.front().number;
    const SentChange sent{change.basis + 1, change.basis, digest};
    const ChangeStanding changeStanding = standingOf(sent, taken, kNoneForgotten, number);
    if (!treatsResendAsNew && changeStanding == ChangeStanding::Taken)
      return std::optional<std::string>{};
    if (number != change.basis)
      return absl::FailedPreconditionError("number " + std::to_string(number) + " is current");
    addTaken(&taken, {number + 1, digest});
    return std::optional<std::string>{encodeBody(taken)};
  };
}

ChangeSet changesIn(const std::string& body, const std::vector<OperatorChange>& changes) {
  const TakenChanges taken = decodeBody(body);
  ChangeSet found = 0;
  for (std::size_t i = 0; i < changes.size(); ++i) {
    const TakenChange takenChange{changes[i].basis + 1, digestOf(changes[i])};
    if (std::find(taken.begin(), taken.end(), takenChange) != taken.end()) found |= bitOf(i);
  }
  return found;
}

}  // namespace quayrill::model
