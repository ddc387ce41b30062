#include "model/invariants.h"

#include <algorithm>
#include <bit>

namespace quayrill::model {

namespace {
// What one replica would tell a reader.
struct View {
  StoreId store;
  Epoch epoch;
  ConfirmedKey configuration;
  Epoch replicaSetEpoch;  // of the set that it accepted
  ChangeSet changes = 0;
};

View viewOf(const Machine& machine, const std::vector<OperatorChange>& changes) {
  View view;
  view.store = machine.replica().store();
  view.epoch = machine.replica().replicas().epoch;
  view.configuration = machine.accepted(kConfigurationKey);
  view.changes = changesIn(view.configuration.value.body, changes);
  ReplicaSet accepted;
  const std::string body = machine.accepted(kReplicaSetKey).value.body;
  if (!body.empty() && decodeValue(body, &accepted)) view.replicaSetEpoch = accepted.epoch;
  return view;
}

std::string setName(const ReplicaSet& replicas, const std::vector<const View*>& quorum) {
  std::string text = "epoch " + std::to_string(replicas.epoch.value) + ", replicas";
  for (const View* view : quorum) text += " " + std::to_string(view->store.value);
  return text;
}

// A read by a proposer takes the value of the highest ballot that a majority shows it.
std::string brokenRead(const ReplicaSet& replicas, const std::vector<const View*>& quorum,
                       const History& history) {
  const View* highest = quorum.front();
  for (const View* view : quorum) {
    if (view->configuration.acceptedAt > highest->configuration.acceptedAt) highest = view;
  }
  if ((history.acknowledged() & ~highest->changes) != 0)
    return "a quorum would read a value without an acknowledged change: " +
           setName(replicas, quorum);
  if ((history.refused() & highest->changes) != 0)
    return "a quorum would read a refused change: " + setName(replicas, quorum);
  if (history.containsRejectedWrite(highest->configuration.value))
    return "a quorum would read a write said to be dead: " + setName(replicas, quorum);
  return "";
}

// A read without a round asks as many as meet every majority, for both keys: where one of them
// accepted a newer replica set the reader goes by that set, and else it must be shown the change.
std::string brokenConfirm(const ReplicaSet& replicas, const std::vector<const View*>& asked,
                          const History& history) {
  ChangeSet shown = 0;
  for (const View* view : asked) {
    if (view->replicaSetEpoch > replicas.epoch) return "";
    shown |= view->changes;
  }
  if ((history.acknowledged() & ~shown) == 0) return "";
  return "a confirmation would miss an acknowledged change: " + setName(replicas, asked);
}

// Those replicas that would answer a reader of this set.
std::vector<View> answering(const ReplicaSet& replicas, const std::vector<View>& views) {
  std::vector<View> found;
  for (const View& view : views) {
    const bool isMember =
        std::any_of(replicas.members.begin(), replicas.members.end(),
                    [&](const ReplicaMember& member) { return member.store == view.store; });
    if (isMember && view.epoch <= replicas.epoch) found.push_back(view);
  }
  return found;
}

std::string findViolationIn(const ReplicaSet& replicas, const std::vector<View>& views,
                            const History& history) {
  const std::vector<View> able = answering(replicas, views);
  const std::size_t confirming =
      replicas.settled ? meetsEveryMajority(replicas) : majorityOf(replicas);
  for (std::uint32_t bits = 1; bits < (1u << able.size()); ++bits) {
    std::vector<const View*> asked;
    for (std::size_t i = 0; i < able.size(); ++i) {
      if ((bits >> i) & 1) asked.push_back(&able[i]);
    }
    std::string violation;
    if (asked.size() == majorityOf(replicas)) violation = brokenRead(replicas, asked, history);
    if (violation.empty() && asked.size() == confirming)
      violation = brokenConfirm(replicas, asked, history);
    if (!violation.empty()) return violation;
  }
  return "";
}

// Once a set is settled, whoever left it may go: what was acknowledged stands on a majority of the
// set, counting those of its members whose disks were lost since.
std::string brokenHolders(const ReplicaSet& newest, const std::vector<View>& views,
                          const History& history) {
  if (!newest.settled) return "";
  for (ChangeSet left = history.acknowledged(); left != 0; left &= left - 1) {
    const ChangeSet change = left & -left;
    std::size_t holders = newest.members.size();
    for (const View& view : views) {
      const bool isMember =
          std::any_of(newest.members.begin(), newest.members.end(),
                      [&](const ReplicaMember& member) { return member.store == view.store; });
      if (isMember && (view.changes & change) == 0) --holders;
    }
    if (holders < majorityOf(newest))
      return "a settled set holds an acknowledged change on a minority: epoch " +
             std::to_string(newest.epoch.value);
  }
  return "";
}
}  // namespace

std::string findViolation(const std::vector<const Machine*>& machines, const History& history,
                          const std::vector<OperatorChange>& changes) {
  std::vector<View> views;
  for (const Machine* machine : machines) {
    if (machine->replica().isVoting()) views.push_back(viewOf(*machine, changes));
  }
  for (const ReplicaSet& replicas : history.replicaSets()) {
    std::string violation = findViolationIn(replicas, views, history);
    if (!violation.empty()) return violation;
  }
  return brokenHolders(history.replicaSets().back(), views, history);
}

}  // namespace quayrill::model
