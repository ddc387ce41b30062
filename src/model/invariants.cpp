#include "model/invariants.h"

#include <algorithm>
#include <bit>

namespace quayrill::model {

namespace {
// What one replica would tell a reader.
struct View {
  StoreId store;
  Epoch epoch;
  ConfirmedKey spec;
  Epoch copySetEpoch;  // of the set that it accepted
  OrderSet orders = 0;
};

View viewOf(const Machine& machine, const std::vector<Order>& orders) {
  View view;
  view.store = machine.copy().store();
  view.epoch = machine.copy().copies().epoch;
  view.spec = machine.accepted(kSpecKey);
  view.orders = ordersIn(view.spec.value.body, orders);
  CopySet accepted;
  const std::string body = machine.accepted(kCopySetKey).value.body;
  if (!body.empty() && decodeValue(body, &accepted)) view.copySetEpoch = accepted.epoch;
  return view;
}

std::string setName(const CopySet& copies, const std::vector<const View*>& quorum) {
  std::string text = "epoch " + std::to_string(copies.epoch.value) + ", replicas";
  for (const View* view : quorum) text += " " + std::to_string(view->store.value);
  return text;
}

// A read by a proposer takes the value of the highest ballot that a majority shows it.
std::string brokenRead(const CopySet& copies, const std::vector<const View*>& quorum,
                       const History& history) {
  const View* highest = quorum.front();
  for (const View* view : quorum) {
    if (view->spec.acceptedAt > highest->spec.acceptedAt) highest = view;
  }
  if ((history.acked() & ~highest->orders) != 0)
    return "a quorum would read a value without an acknowledged change: " + setName(copies, quorum);
  if ((history.refused() & highest->orders) != 0)
    return "a quorum would read a refused change: " + setName(copies, quorum);
  if (history.holdsDeadWrite(highest->spec.value))
    return "a quorum would read a write said to be dead: " + setName(copies, quorum);
  return "";
}

// A read without a round asks as many as meet every majority, for both keys: where one of them
// accepted a newer replica set the reader goes by that set, and else it must be shown the change.
std::string brokenConfirm(const CopySet& copies, const std::vector<const View*>& asked,
                          const History& history) {
  OrderSet shown = 0;
  for (const View* view : asked) {
    if (view->copySetEpoch > copies.epoch) return "";
    shown |= view->orders;
  }
  if ((history.acked() & ~shown) == 0) return "";
  return "a confirmation would miss an acknowledged change: " + setName(copies, asked);
}

// Those replicas that would answer a reader of this set.
std::vector<View> answering(const CopySet& copies, const std::vector<View>& views) {
  std::vector<View> found;
  for (const View& view : views) {
    const bool isMember =
        std::any_of(copies.members.begin(), copies.members.end(),
                    [&](const CopyMember& member) { return member.store == view.store; });
    if (isMember && view.epoch <= copies.epoch) found.push_back(view);
  }
  return found;
}

std::string brokenIn(const CopySet& copies, const std::vector<View>& views,
                     const History& history) {
  const std::vector<View> able = answering(copies, views);
  const std::size_t confirming = copies.settled ? meetsEveryMajority(copies) : majorityOf(copies);
  for (std::uint32_t bits = 1; bits < (1u << able.size()); ++bits) {
    std::vector<const View*> asked;
    for (std::size_t i = 0; i < able.size(); ++i) {
      if ((bits >> i) & 1) asked.push_back(&able[i]);
    }
    std::string broken;
    if (asked.size() == majorityOf(copies)) broken = brokenRead(copies, asked, history);
    if (broken.empty() && asked.size() == confirming)
      broken = brokenConfirm(copies, asked, history);
    if (!broken.empty()) return broken;
  }
  return "";
}

// Once a set is settled, whoever left it may go: what was acknowledged stands on a majority of the
// set, counting those of its members whose disks were lost since.
std::string brokenHolders(const CopySet& newest, const std::vector<View>& views,
                          const History& history) {
  if (!newest.settled) return "";
  for (OrderSet left = history.acked(); left != 0; left &= left - 1) {
    const OrderSet order = left & -left;
    std::size_t holders = newest.members.size();
    for (const View& view : views) {
      const bool isMember =
          std::any_of(newest.members.begin(), newest.members.end(),
                      [&](const CopyMember& member) { return member.store == view.store; });
      if (isMember && (view.orders & order) == 0) --holders;
    }
    if (holders < majorityOf(newest))
      return "a settled set holds an acknowledged change on a minority: epoch " +
             std::to_string(newest.epoch.value);
  }
  return "";
}
}  // namespace

std::string brokenInvariant(const std::vector<const Machine*>& machines, const History& history,
                            const std::vector<Order>& orders) {
  std::vector<View> views;
  for (const Machine* machine : machines) {
    if (machine->copy().isVoting()) views.push_back(viewOf(*machine, orders));
  }
  for (const CopySet& copies : history.sets()) {
    std::string broken = brokenIn(copies, views, history);
    if (!broken.empty()) return broken;
  }
  return brokenHolders(history.sets().back(), views, history);
}

}  // namespace quayrill::model
