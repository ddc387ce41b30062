#include "register/epoch_sweep.h"

namespace quayrill {

using namespace std::chrono_literals;

namespace {
// Shorter than kStepTimeout: this read only moves replicas into the epoch and is soon retried.
constexpr Duration kListTimeout = 1s;
constexpr Duration kStepTimeout = 2s;

ChangeRequest readRequest(const RegisterKey& key, Instant deadline) {
  return {{}, key, true, 0, {}, {}, deadline};
}

ChangeRequest replicaSetChange(const ReplicaSet& replicas, std::uint64_t version,
                               Instant deadline) {
  return {{}, kReplicaSetKey, false, version, encodeValue(replicas), {}, deadline};
}
}  // namespace

std::vector<ChangeRequest> EpochSweep::next(const ReplicaSet& replicas, std::uint64_t version,
                                            const std::optional<std::vector<RegisterKey>>& listed,
                                            const std::optional<ReplicaSet>& following,
                                            Instant now) {
  if (!replicas.settled) return sweep(replicas, version, listed, now);
  if (!following) return {};
  return {replicaSetChange(*following, version, now + kStepTimeout)};
}

std::vector<ChangeRequest> EpochSweep::sweep(const ReplicaSet& replicas, std::uint64_t version,
                                             const std::optional<std::vector<RegisterKey>>& listed,
                                             Instant now) {
  if (epoch_ != replicas.epoch) {
    epoch_ = replicas.epoch;
    unswept_.clear();
    hasList_ = false;
  }
  // A majority in this epoch intersects every majority of the previous one, and its members no
  // longer accept anything in the previous epoch, so no key can be added after it has been listed.
  // The read below moves the replicas into this epoch.
  if (!hasList_) {
    if (!listed) return {readRequest(kReplicaSetKey, now + kListTimeout)};
    unswept_.insert(listed->begin(), listed->end());
    unswept_.insert(kReplicaSetKey);
    hasList_ = true;
    return {};
  }
  std::vector<ChangeRequest> requests;
  for (const RegisterKey& key : unswept_) requests.push_back(readRequest(key, now + kStepTimeout));
  if (!requests.empty()) return requests;
  ReplicaSet settled = replicas;
  settled.settled = true;
  return {replicaSetChange(settled, version, now + kStepTimeout)};
}

void EpochSweep::onReadDone(const ChangeOutcome& outcome) {
  if (outcome.result == ChangeResult::Chosen && outcome.ballot.epoch == epoch_)
    unswept_.erase(outcome.key);
}

std::string EpochSweep::stateBytes() const {
  std::string bytes = encodeValue(epoch_) + (hasList_ ? '1' : '0');
  for (const RegisterKey& key : unswept_) bytes += encodeValue(key);
  return bytes;
}

}  // namespace quayrill
