#include "model/invariants.h"

#include <algorithm>
#include <bit>

namespace quayrill::model {

namespace {
// What one replica would report to a reader.
struct ReplicaView {
  StoreId store;
  Epoch epoch;
  ConfirmedKey configuration;
  Epoch replicaSetEpoch;  // of the replica set that it accepted last
  ChangeSet changes = 0;  // in its accepted configuration
};

ReplicaView viewOf(const Machine& machine, const std::vector<OperatorChange>& changes) {
  ReplicaView view;
  view.store = machine.replica().store();
  view.epoch = machine.replica().replicas().epoch;
  view.configuration = machine.accepted(kConfigurationKey);
  view.changes = changesIn(view.configuration.value.body, changes);
  ReplicaSet accepted;
  const std::string body = machine.accepted(kReplicaSetKey).value.body;
  if (!body.empty() && decodeValue(body, &accepted)) view.replicaSetEpoch = accepted.epoch;
  return view;
}

std::string describeQuorum(const ReplicaSet& replicas,
                           const std::vector<const ReplicaView*>& quorum) {
  std::string text = "epoch " + std::to_string(replicas.epoch.value) + ", replicas";
  for (const ReplicaView* view : quorum) text += " " + std::to_string(view->store.value);
  return text;
}

// A read by a proposer returns the value with the highest ballot that a majority reports.
std::string checkQuorumRead(const ReplicaSet& replicas,
                            const std::vector<const ReplicaView*>& quorum, const History& history) {
  const ReplicaView* highest = quorum.front();
  for (const ReplicaView* view : quorum) {
    if (view->configuration.acceptedAt > highest->configuration.acceptedAt) highest = view;
  }
  if ((history.acknowledged() & ~highest->changes) != 0)
    return "a quorum would read a value without an acknowledged change: " +
           describeQuorum(replicas, quorum);
  if ((history.refused() & highest->changes) != 0)
    return "a quorum would read a refused change: " + describeQuorum(replicas, quorum);
  if (history.containsRejectedWrite(highest->configuration.value))
    return "a quorum would read a write said to be dead: " + describeQuorum(replicas, quorum);
  return "";
}

// A confirmation asks, without a round, enough replicas to intersect every majority, for both keys.
// If one of them accepted a newer replica set, the reader continues with that set; otherwise one of
// them must report each acknowledged change.
std::string checkConfirmation(const ReplicaSet& replicas,
                              const std::vector<const ReplicaView*>& quorum,
                              const History& history) {
  ChangeSet reported = 0;
  for (const ReplicaView* view : quorum) {
    if (view->replicaSetEpoch > replicas.epoch) return "";
    reported |= view->changes;
  }
  if ((history.acknowledged() & ~reported) == 0) return "";
  return "a confirmation would miss an acknowledged change: " + describeQuorum(replicas, quorum);
}

// The replicas that would answer a reader who knows this replica set.
std::vector<ReplicaView> answeringReplicas(const ReplicaSet& replicas,
                                           const std::vector<ReplicaView>& views) {
  std::vector<ReplicaView> found;
  for (const ReplicaView& view : views) {
    const bool isMember =
        std::any_of(replicas.members.begin(), replicas.members.end(),
                    [&](const ReplicaMember& member) { return member.store == view.store; });
    if (isMember && view.epoch <= replicas.epoch) found.push_back(view);
  }
  return found;
}

// Checks the reads of every quorum that could answer under this replica set.
std::string checkReads(const ReplicaSet& replicas, const std::vector<ReplicaView>& views,
                       const History& history) {
  const std::vector<ReplicaView> answering = answeringReplicas(replicas, views);
  const std::size_t confirmationSize =
      replicas.settled ? readQuorumOf(replicas) : majorityOf(replicas);
  for (std::uint32_t subset = 1; subset < (1u << answering.size()); ++subset) {
    std::vector<const ReplicaView*> quorum;
    for (std::size_t i = 0; i < answering.size(); ++i) {
      if ((subset >> i) & 1) quorum.push_back(&answering[i]);
    }
    std::string violation;
    if (quorum.size() == majorityOf(replicas))
      violation = checkQuorumRead(replicas, quorum, history);
    if (violation.empty() && quorum.size() == confirmationSize)
      violation = checkConfirmation(replicas, quorum, history);
    if (!violation.empty()) return violation;
  }
  return "";
}

// Once a set is settled, replicas that left it may be lost. A majority of the set must therefore
// hold each acknowledged change; members whose disks were lost since count as holders.
std::string checkSettledSet(const ReplicaSet& newest, const std::vector<ReplicaView>& views,
                            const History& history) {
  if (!newest.settled) return "";
  for (ChangeSet remaining = history.acknowledged(); remaining != 0; remaining &= remaining - 1) {
    const ChangeSet change = remaining & -remaining;
    std::size_t holders = newest.members.size();
    for (const ReplicaView& view : views) {
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
  std::vector<ReplicaView> views;
  for (const Machine* machine : machines) {
    if (machine->replica().isVoting()) views.push_back(viewOf(*machine, changes));
  }
  for (const ReplicaSet& replicas : history.replicaSets()) {
    std::string violation = checkReads(replicas, views, history);
    if (!violation.empty()) return violation;
  }
  return checkSettledSet(history.replicaSets().back(), views, history);
}

}  // namespace quayrill::model
