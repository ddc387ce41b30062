#include "model/orders.h"

#include <algorithm>
#include <sstream>

namespace quayrill::model {

namespace {
// The model's days are short: every change is remembered.
constexpr std::uint64_t kNoneForgotten = 0;

std::string digestOf(const Order& order) { return changeDigest("order", order.basis, order.name); }

AppliedChanges readBody(const std::string& body) {
  std::istringstream in(body);
  AppliedChanges taken;
  AppliedChange change;
  while (in >> change.version >> change.digest) taken.push_back(change);
  return taken;
}

std::string writeBody(const AppliedChanges& taken) {
  std::ostringstream out;
  for (const AppliedChange& change : taken) out << change.version << ' ' << change.digest << ' ';
  return out.str();
}
}  // namespace

Update updateOf(const Order& order, bool judgesResendsAsNew) {
  return [order, judgesResendsAsNew](
             const std::string& standing) -> absl::StatusOr<std::optional<std::string>> {
    AppliedChanges taken = readBody(standing);
    const std::string digest = digestOf(order);
    const std::uint64_t number = taken.empty() ? 0 : taken.front().version;
    const SubmittedChange sent{order.basis + 1, order.basis, digest};
    const ChangeStatus standingOfOrder = classifyChange(sent, taken, kNoneForgotten, number);
    if (!judgesResendsAsNew && standingOfOrder == ChangeStatus::Applied)
      return std::optional<std::string>{};
    if (number != order.basis)
      return absl::FailedPreconditionError("number " + std::to_string(number) + " stands");
    recordApplied(&taken, {number + 1, digest});
    return std::optional<std::string>{writeBody(taken)};
  };
}

OrderSet ordersIn(const std::string& body, const std::vector<Order>& orders) {
  const AppliedChanges taken = readBody(body);
  OrderSet found = 0;
  for (std::size_t i = 0; i < orders.size(); ++i) {
    const AppliedChange made{orders[i].basis + 1, digestOf(orders[i])};
    if (std::find(taken.begin(), taken.end(), made) != taken.end()) found |= bitOf(i);
  }
  return found;
}

}  // namespace quayrill::model
