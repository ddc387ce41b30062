#pragma once
// One register copy: the acceptor's half of CASPaxos. It has no timers and no network.
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "peers/messages.h"

namespace quayrill {

inline const RegisterKey kReplicaSetKey{"copies"};
inline const RegisterKey kConfigurationKey{"spec"};
// Ours: a body up to this many bytes goes along with each answer.
inline constexpr std::size_t kMaxInlineBodyBytes = 4096;

struct DiskWrite {
  std::string key;
  std::string bytes;
};

// The writes are synced first, then the answer leaves. An answer without writes still leaves
// after the writes of earlier answers: it may speak of what they hold.
struct ReplicaEffects {
  std::vector<DiskWrite> writes;
  std::optional<Message> answer;
};

class RegisterReplica {
 public:
  explicit RegisterReplica(StoreId store) : store_(store) {}

  StoreId store() const { return store_; }
  const ReplicaSet& replicas() const { return replicas_; }
  bool isMember() const;
  bool isVoting() const { return voting_; }
  // After a write error nothing this replica holds in memory may be vouched for.
  void stopVoting() { voting_ = false; }

  // Both rounds grant the same ballot again: a proposer repeats what was lost on the way.
  ReplicaEffects onPrepare(const Prepare& message);
  ReplicaEffects onAccept(const Accept& message);
  ReplicaEffects onConfirm(const Confirm& message) const;
  // Takes a chosen replica set that is newer than the one held. One of another fleet disowns a
  // copy that took part in its own, for good: what it holds belongs to a register that was given
  // up.
  std::vector<DiskWrite> adopt(const ReplicaSet& replicas);
  // Starts a register of one anew from what this replica holds, for when the majority is lost.
  // Every value is taken as accepted under the first ballot of the new epoch, which is above all
  // others. The replica set's own value gets `setVersion`.
  std::vector<DiskWrite> recover(const ReplicaSet& replicas, ProposerId proposer, WriteId write,
                                 const RegisterValue& configuration, std::uint64_t setVersion);
  std::optional<RegisterValue> valueOf(const RegisterKey& key) const;

  // Reads back what was written; call once, before any message.
  bool restore(const std::map<std::string, std::string>& disk);
  std::vector<DiskWrite> identityWrites() const;
  // Every field but the store's id as bytes: two of equal bytes and the same id behave alike from
  // here on. For the model check.
  std::string stateBytes() const;

 private:
  // promised >= acceptedAt, and neither ever falls.
  struct Slot {
    Ballot promised;
    Ballot acceptedAt;
    RegisterValue value;
  };
  ReplicaAnswer answerTo(const OperationId& operation, const RegisterKey& key, const Ballot& ballot,
                         bool accepting) const;
  // Two fleets under one epoch can only be two foundings that raced: a replica votes in the one
  // that it wrote down first, and never in the other.
  bool isForeign(const ReplicaSet& replicas) const;
  DiskWrite slotWrite(const RegisterKey& key, const Slot& slot) const;

  StoreId store_;
  ReplicaSet replicas_;  // only ever a chosen set; its epoch never falls
  bool voting_ = true;
  std::map<RegisterKey, Slot> slots_;
};

// The number of replicas that every round needs, and the number that meets every such round.
std::size_t majorityOf(const ReplicaSet& replicas);
std::size_t readQuorumOf(const ReplicaSet& replicas);

}  // namespace quayrill
