#pragma once
// The proposer's half of CASPaxos: one operation on one key, as a state machine.
#include <map>
#include <optional>
#include <random>
#include <set>

#include "base/clock.h"
#include "register/replica.h"

namespace quayrill {

// What an operation is for. A read proposes the value it finds again, which settles a value that
// a lost proposer left behind on a minority.
struct ChangeRequest {
  OperationId operation;
  RegisterKey key;
  bool isRead = false;
  std::uint64_t expectedVersion = 0;
  std::string body;
  WriteId writeId;
  Instant deadline;
};

enum class ChangeResult {
  Chosen,    // in the register; for a read, the value read
  Conflict,  // another value than expected was chosen: never takes effect
  NotTried,  // no replica was asked to accept it: never takes effect
  Unknown,   // some copy may hold it: a read settles it
};

struct ChangeOutcome {
  OperationId operation;
  RegisterKey key;
  ChangeResult result{};
  RegisterValue value;  // what was chosen; on a conflict, what was chosen in its place
  Ballot ballot;        // at which it was chosen
  ReplicaSet replicas;  // a newer replica set that was met on the way, if any
};

class Proposer {
 public:
  Proposer(ProposerId id, std::uint64_t seed) : id_(id), random_(seed) {}

  std::vector<std::pair<ReplicaMember, Message>> begin(const ChangeRequest& change,
                                                       const ReplicaSet& replicas, Instant now);
  std::vector<std::pair<ReplicaMember, Message>> onAnswer(const ReplicaAnswer& answer, Instant now,
                                                          std::vector<ChangeOutcome>* done);
  std::vector<std::pair<ReplicaMember, Message>> onTick(const ReplicaSet& replicas, Instant now,
                                                        std::vector<ChangeOutcome>* done);
  bool isBusy(const RegisterKey& key) const;
  // The state but for deadlines and jitter, as bytes: two of equal bytes take the same steps from
  // here on, if perhaps at other times. For the model check.
  std::string stateBytes() const;
  // The same in parts: what stands whoever answered, and what one replica answered in the rounds
  // under way.
  std::string sharedBytes() const;
  std::string bytesOfAnswersFrom(StoreId store) const;

 private:
  enum class Phase { Preparing, Accepting, Resting };
  // acceptSent: of a value of its own. It never turns false again: once any replica was asked to
  // accept one, only a chosen value that names this write, or one that rules it out, can end the
  // operation as anything but Unknown.
  struct Operation {
    ChangeRequest change;
    ReplicaSet replicas;
    Ballot ballot;
    Phase phase = Phase::Preparing;
    std::map<StoreId, ReplicaAnswer> granted;
    std::set<StoreId> turnedAway;
    RegisterValue proposal;
    bool acceptSent = false;
    bool proposesOwn = false;
    Instant phaseDue;
    Instant repeatAt;  // what got no answer is asked once more
  };
  using Sends = std::vector<std::pair<ReplicaMember, Message>>;
  static std::string sharedBytesOf(const Operation& operation);
  static std::string bytesOfAnswersFrom(const Operation& operation, StoreId store);
  Sends startRound(Operation& operation, Instant now);
  Sends ask(const Operation& operation) const;
  Sends startAccept(Operation& operation, Instant now);
  static ChangeResult resultOf(const Operation& operation);
  void rest(Operation& operation, Instant now);
  void finish(Operation& operation, ChangeResult result, const RegisterValue& value,
              std::vector<ChangeOutcome>* done);

  ProposerId id_;
  std::mt19937_64 random_;
  std::uint64_t highestRound_ = 0;  // never falls; each round begun uses a higher one
  ReplicaSet newestReplicas_;
  std::map<OperationId, Operation> operations_;
};

}  // namespace quayrill
