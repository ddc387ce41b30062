#pragma once
// One replica of the register: the CASPaxos acceptor. A state machine without timers or network.
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "peers/messages.h"

namespace quayrill {

inline const RegisterKey kReplicaSetKey{"copies"};
inline const RegisterKey kConfigurationKey{"spec"};
// A configuration body of up to this many bytes is included in every answer to a ConfirmRequest; a
// larger one only on request.
inline constexpr std::size_t kMaxInlineBodyBytes = 4096;

// One key-value pair to write to the data folder.
struct DiskWrite {
  std::string key;
  std::string bytes;
};

// What handling a message requires: the writes must be synced before the answer is sent. An answer
// without writes must also wait for the writes of earlier answers, since it may report the state
// that they make durable.
struct ReplicaEffects {
  std::vector<DiskWrite> writes;
  std::optional<Message> answer;
};

// Promises and accepts ballots for each key, and holds the accepted values. `store` identifies the
// data folder: a replica that lost its disk comes back under another id.
class RegisterReplica {
 public:
  explicit RegisterReplica(StoreId store) : store_(store) {}

  StoreId store() const { return store_; }
  const ReplicaSet& replicas() const { return replicas_; }
  bool isMember() const;
  bool isVoting() const { return voting_; }
  // After a write error the state in memory may not be durable, so the replica must not answer.
  void stopVoting() { voting_ = false; }

  // Both phases grant a ballot again that they granted before: proposers resend messages whose
  // answer was lost.
  ReplicaEffects onPrepare(const Prepare& message);
  ReplicaEffects onAccept(const Accept& message);
  ReplicaEffects onConfirm(const ConfirmRequest& message) const;
  // Adopts a chosen replica set if it is newer than the current one. If the new set belongs to
  // another fleet and this replica has taken part in its own, it stops voting permanently: its
  // values belong to a register that was abandoned.
  std::vector<DiskWrite> adopt(const ReplicaSet& replicas);
  // Founds a new register with this replica as the only member, from the values that it holds; used
  // after the majority was lost. Every value is marked as accepted at the first ballot of the new
  // epoch, which is higher than all earlier ballots. The value of the replica set key gets version
  // `setVersion`.
  std::vector<DiskWrite> recover(const ReplicaSet& replicas, ProposerId proposer, WriteId write,
                                 const RegisterValue& configuration, std::uint64_t setVersion);
  // The value that this replica has accepted for `key`; it may not be the chosen one.
  std::optional<RegisterValue> valueOf(const RegisterKey& key) const;

  // Loads the state from the data folder; call at most once, before any message. Returns false if
  // the rows can't be decoded.
  bool restore(const std::map<std::string, std::string>& disk);
  // The writes that record the format and the store id on a new disk.
  std::vector<DiskWrite> identityWrites() const;
  // The whole state except the store id, encoded: replicas with equal bytes and the same id behave
  // identically from here on. Used by the model checker.
  std::string stateBytes() const;

 private:
  // Acceptor state of one key. Invariant: promised >= acceptedAt, and neither ever decreases.
  struct Slot {
    Ballot promised;
    Ballot acceptedAt;
    RegisterValue value;
  };
  ReplicaResponse makeAnswer(const OperationId& operation, const RegisterKey& key,
                             const Ballot& ballot, bool accepting) const;
  // True if `replicas` belongs to another fleet of the same epoch. This happens only if two
  // foundings raced: a replica votes only in the one that it wrote to disk first.
  bool isOfRivalFounding(const ReplicaSet& replicas) const;
  DiskWrite slotWrite(const RegisterKey& key, const Slot& slot) const;

  StoreId store_;
  ReplicaSet replicas_;  // always a chosen set; its epoch never decreases
  bool voting_ = true;
  std::map<RegisterKey, Slot> slots_;
};

// majorityOf: the number of replicas that each phase needs. readQuorumOf: the smallest number of
// replicas that has a member in common with every majority.
std::size_t majorityOf(const ReplicaSet& replicas);
std::size_t readQuorumOf(const ReplicaSet& replicas);

}  // namespace quayrill
