#include "model/history.h"

#include <algorithm>

namespace quayrill::model {

namespace {
bool isAcknowledged(UpdateResult result) {
  return result == UpdateResult::Applied || result == UpdateResult::AlreadyApplied;
}
bool isRefused(UpdateResult result) {
  return result == UpdateResult::Rejected || result == UpdateResult::Stale ||
         result == UpdateResult::TooLarge;
}
std::string describeVersion(const Observation& observation) {
  return "version " + std::to_string(observation.value.version) + " of '" + observation.key.value +
         "'";
}
}  // namespace

// Two majorities can be disjoint if the common members suffice for what each set needs of them
// beyond its own members.
bool majoritiesIntersect(const ReplicaSet& one, const ReplicaSet& other) {
  std::size_t common = 0;
  for (const ReplicaMember& member : one.members) {
    common += static_cast<std::size_t>(std::count_if(
        other.members.begin(), other.members.end(),
        [&](const ReplicaMember& candidate) { return candidate.store == member.store; }));
  }
  const auto neededFromCommon = [&](const ReplicaSet& set) {
    const std::size_t own = set.members.size() - common;
    return majorityOf(set) > own ? majorityOf(set) - own : 0;
  };
  return neededFromCommon(one) + neededFromCommon(other) > common;
}

bool History::containsRejectedWrite(const RegisterValue& value) const {
  const auto isRejected = [&](WriteId write) {
    return std::binary_search(rejectedWrites_.begin(), rejectedWrites_.end(), write);
  };
  return isRejected(value.writeId) ||
         std::any_of(value.priorWrites.begin(), value.priorWrites.end(), isRejected);
}

std::string History::observe(const Observation& observation,
                             const std::vector<OperatorChange>& changes) {
  switch (observation.kind) {
    case Observation::Kind::Chosen:
      return observeChosen(observation, changes);
    case Observation::Kind::ChangeAnswered:
      return observeAnswer(observation, changes);
    case Observation::Kind::WritesRejected:
      break;
  }
  rejectedWrites_.insert(rejectedWrites_.end(), observation.writes.begin(),
                         observation.writes.end());
  std::sort(rejectedWrites_.begin(), rejectedWrites_.end());
  rejectedWrites_.erase(std::unique(rejectedWrites_.begin(), rejectedWrites_.end()),
                        rejectedWrites_.end());
  for (const auto& [key, versions] : chosen_) {
    for (const auto& [version, value] : versions) {
      if (containsRejectedWrite(value)) return "a write said to be dead was chosen before";
    }
  }
  return "";
}

std::string History::observeChosen(const Observation& observation,
                                   const std::vector<OperatorChange>& changes) {
  const auto [row, isNew] =
      chosen_[observation.key].try_emplace(observation.value.version, observation.value);
  if (!isNew && !(row->second == observation.value))
    return "two values were chosen as " + describeVersion(observation);
  if (containsRejectedWrite(observation.value))
    return "a write said to be dead was chosen: " + describeVersion(observation);
  if (observation.key == kReplicaSetKey) {
    ReplicaSet replicas;
    if (!decodeValue(observation.value.body, &replicas))
      return "a chosen replica set can't be read";
    return observeReplicaSet(replicas);
  }
  const ChangeSet found = changesIn(observation.value.body, changes);
  if (observation.isRead && (observation.acknowledgedBefore & ~found) != 0)
    return "a read shows no sign of a change acknowledged before it began: " +
           describeVersion(observation);
  if ((refused_ & found) != 0)
    return "a refused change was chosen: " + describeVersion(observation);
  return "";
}

std::string History::observeReplicaSet(const ReplicaSet& replicas) {
  for (ReplicaSet& known : replicaSets_) {
    if (known.epoch != replicas.epoch) continue;
    if (known.members != replicas.members) return "two replica sets were chosen under one epoch";
    known.settled = known.settled || replicas.settled;
    return "";
  }
  replicaSets_.push_back(replicas);
  std::sort(replicaSets_.begin(), replicaSets_.end(),
            [](const ReplicaSet& a, const ReplicaSet& b) { return a.epoch < b.epoch; });
  for (std::size_t i = 1; i < replicaSets_.size(); ++i) {
    const bool areConsecutive = replicaSets_[i].epoch.value == replicaSets_[i - 1].epoch.value + 1;
    if (areConsecutive && !majoritiesIntersect(replicaSets_[i - 1], replicaSets_[i]))
      return "majorities of neighbouring replica sets have no common member";
  }
  return "";
}

std::string History::observeAnswer(const Observation& observation,
                                   const std::vector<OperatorChange>& changes) {
  const ChangeSet bit = bitOf(observation.change);
  if (isAcknowledged(observation.result)) acknowledged_ |= bit;
  if (isRefused(observation.result)) refused_ |= bit;
  if ((acknowledged_ & refused_) != 0)
    return "change '" + changes[observation.change].name +
           "' was acknowledged once and refused once";
  // An acknowledged change takes the number after its basis, so two with the same basis would have
  // the same number.
  for (std::size_t i = 0; i < changes.size(); ++i) {
    const bool isCompeting =
        i != observation.change && changes[i].basis == changes[observation.change].basis;
    if (isCompeting && (acknowledged_ & bit) != 0 && (acknowledged_ & bitOf(i)) != 0)
      return "two changes were acknowledged under one number";
  }
  for (const auto& [version, value] : chosen_[kConfigurationKey]) {
    if ((changesIn(value.body, changes) & refused_) != 0)
      return "a refused change was chosen before";
  }
  return "";
}

std::string History::stateBytes() const {
  std::string bytes =
      encodeValue(acknowledged_) + encodeValue(refused_) + encodeValue(rejectedWrites_);
  for (const auto& [key, versions] : chosen_) {
    bytes += encodeValue(key) + encodeValue(versions.size());
    for (const auto& [version, value] : versions) bytes += encodeValue(value);
  }
  return bytes + encodeValue(replicaSets_);
}

}  // namespace quayrill::model
