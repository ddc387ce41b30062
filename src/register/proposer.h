#pragma once
// The CASPaxos proposer: runs operations on single keys as a state machine without a network.
#include <map>
#include <optional>
#include <random>
#include <set>

#include "base/clock.h"
#include "register/replica.h"

namespace quayrill {

// A request to read or change the value of one key. A read proposes the value that it finds again,
// which settles a value that a failed proposer left on a minority of replicas.
struct ChangeRequest {
  OperationId operation;
  RegisterKey key;
  bool isRead = false;
  std::uint64_t expectedVersion = 0;
  std::string body;
  WriteId writeId;
  Instant deadline;
};

// The result of an operation. Conflict and NotTried guarantee that the change never takes effect.
enum class ChangeResult {
  Chosen,    // the value is in the register; for a read, it is the value read
  Conflict,  // the version was not the expected one, or another value was chosen instead
  NotTried,  // no replica was asked to accept the value
  Unknown,   // some replica may have accepted the value: a read finds out
};

// How an operation ended.
struct ChangeOutcome {
  OperationId operation;
  RegisterKey key;
  ChangeResult result{};
  RegisterValue value;  // the chosen value; on a conflict, the value chosen instead
  Ballot ballot;        // the ballot at which it was chosen
  ReplicaSet replicas;  // the newest replica set seen in any answer, if any
};

// Runs any number of operations at once. Callers deliver answers and ticks and send the messages
// that are returned.
class Proposer {
 public:
  Proposer(ProposerId id, std::uint64_t seed) : id_(id), random_(seed) {}

  std::vector<std::pair<ReplicaMember, Message>> begin(const ChangeRequest& change,
                                                       const ReplicaSet& replicas, Instant now);
  std::vector<std::pair<ReplicaMember, Message>> onAnswer(const ReplicaResponse& answer,
                                                          Instant now,
                                                          std::vector<ChangeOutcome>* done);
  std::vector<std::pair<ReplicaMember, Message>> onTick(const ReplicaSet& replicas, Instant now,
                                                        std::vector<ChangeOutcome>* done);
  // Whether an operation on `key` is in progress.
  bool isBusy(const RegisterKey& key) const;
  // The state except deadlines and jitter, encoded: proposers with equal bytes take the same steps
  // from here on, though possibly at other times. Used by the model checker.
  std::string stateBytes() const;
  // The two parts of stateBytes: the state that does not depend on which replica answered, and the
  // answers of one replica in the current rounds.
  std::string sharedBytes() const;
  std::string bytesOfAnswersFrom(StoreId store) const;

 private:
  enum class Phase { Preparing, Accepting, BackingOff };
  // One operation in progress. ownAcceptSent: a replica was asked to accept this operation's own
  // value. It stays set, because from then on the result is Unknown unless a chosen value either
  // contains this write or rules it out.
  struct Operation {
    ChangeRequest change;
    ReplicaSet replicas;
    Ballot ballot;
    Phase phase = Phase::Preparing;
    std::map<StoreId, ReplicaResponse> grants;
    std::set<StoreId> rejectedBy;
    RegisterValue proposal;
    bool ownAcceptSent = false;
    bool proposesOwnValue = false;
    Instant phaseDeadline;
    Instant resendAt;  // when replicas that have not answered are sent the message again
  };
  using Sends = std::vector<std::pair<ReplicaMember, Message>>;
  static std::string sharedBytesOf(const Operation& operation);
  static std::string bytesOfAnswersFrom(const Operation& operation, StoreId store);
  Sends startRound(Operation& operation, Instant now);
  Sends phaseMessages(const Operation& operation) const;
  Sends startAccept(Operation& operation, Instant now);
  static ChangeResult resultOf(const Operation& operation);
  void backOff(Operation& operation, Instant now);
  void finish(Operation& operation, ChangeResult result, const RegisterValue& value,
              std::vector<ChangeOutcome>* done);

  ProposerId id_;
  std::mt19937_64 random_;
  std::uint64_t highestRound_ = 0;  // never decreases; every new round uses a higher number
  ReplicaSet newestReplicas_;
  std::map<OperationId, Operation> operations_;
};

}  // namespace quayrill
