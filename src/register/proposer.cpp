#include "register/proposer.h"

#include <algorithm>

namespace quayrill {

using namespace std::chrono_literals;

namespace {
constexpr Span kPhaseSpan = 400ms;
constexpr Span kRepeatAfter = 150ms;
constexpr std::size_t kPriorWrites = 16;

bool names(const RegisterValue& value, WriteId write) {
  return value.writeId == write || std::find(value.priorWrites.begin(), value.priorWrites.end(),
                                             write) != value.priorWrites.end();
}

RegisterValue ownValue(const ChangeRequest& change, const RegisterValue& current) {
  RegisterValue own{current.version + 1, change.writeId, {}, change.body};
  own.priorWrites.push_back(current.writeId);
  for (const WriteId& prior : current.priorWrites) {
    if (own.priorWrites.size() < kPriorWrites) own.priorWrites.push_back(prior);
  }
  return own;
}
}  // namespace

bool Proposer::isBusy(const RegisterKey& key) const {
  return std::any_of(operations_.begin(), operations_.end(),
                     [&](const auto& entry) { return entry.second.change.key == key; });
}

Proposer::Sends Proposer::begin(const ChangeRequest& change, const ReplicaSet& replicas,
                                Instant now) {
  Operation& operation = operations_[change.operation];
  operation.change = change;
  operation.replicas = replicas;
  return startRound(operation, now);
}

Proposer::Sends Proposer::startRound(Operation& operation, Instant now) {
  operation.phase = Phase::Preparing;
  operation.granted.clear();
  operation.turnedAway.clear();
  operation.ballot = {operation.replicas.epoch, ++highestRound_, id_};
  operation.phaseDue = now + kPhaseSpan;
  operation.repeatAt = now + kRepeatAfter;
  return ask(operation);
}

// The present phase's question, to the replicas that have not answered it.
Proposer::Sends Proposer::ask(const Operation& operation) const {
  const ChangeRequest& change = operation.change;
  Sends sends;
  for (const ReplicaMember& member : operation.replicas.members) {
    if (operation.granted.contains(member.store) || operation.turnedAway.contains(member.store))
      continue;
    if (operation.phase == Phase::Preparing)
      sends.emplace_back(member, Prepare{change.operation, change.key, operation.ballot,
                                         member.store, operation.replicas});
    else
      sends.emplace_back(member, Accept{change.operation, change.key, operation.ballot,
                                        member.store, operation.replicas, operation.proposal});
  }
  return sends;
}

Proposer::Sends Proposer::startAccept(Operation& operation, Instant now) {
  RegisterValue current;
  Ballot highest;
  for (const auto& [store, answer] : operation.granted) {
    if (answer.acceptedAt > highest) {
      highest = answer.acceptedAt;
      current = answer.value;
    }
  }
  const ChangeRequest& change = operation.change;
  operation.proposesOwn = !change.isRead && !names(current, change.writeId) &&
                          current.version == change.expectedVersion;
  // What is found may stand on a minority. It is proposed again also where it is in the way: until
  // a majority has accepted it, a proposer that misses it may still bring another value up, also
  // one of this operation's earlier rounds.
  operation.proposal = operation.proposesOwn ? ownValue(change, current) : current;
  operation.phase = Phase::Accepting;
  operation.granted.clear();
  operation.turnedAway.clear();
  operation.phaseDue = now + kPhaseSpan;
  operation.acceptSent = operation.acceptSent || operation.proposesOwn;
  operation.repeatAt = now + kRepeatAfter;
  return ask(operation);
}

// What the proposal, now chosen, makes of the operation. A later value builds on it, so a change
// that its history covers and does not name can't be chosen any more; beyond that history nobody
// can tell.
ChangeResult Proposer::resultOf(const Operation& operation) {
  const ChangeRequest& change = operation.change;
  const RegisterValue& chosen = operation.proposal;
  if (change.isRead || names(chosen, change.writeId)) return ChangeResult::Chosen;
  const bool historyCovers =
      chosen.version > change.expectedVersion &&
      chosen.version <= change.expectedVersion + 1 + chosen.priorWrites.size();
  return !operation.acceptSent || historyCovers ? ChangeResult::Conflict : ChangeResult::Unknown;
}

void Proposer::rest(Operation& operation, Instant now) {
  operation.phase = Phase::Resting;
  operation.phaseDue = now + std::chrono::milliseconds(10 + random_() % 90);
}

void Proposer::finish(Operation& operation, ChangeResult result, const RegisterValue& value,
                      std::vector<ChangeOutcome>* done) {
  done->push_back({operation.change.operation, operation.change.key, result, value,
                   operation.ballot, newestReplicas_});
  operations_.erase(operation.change.operation);
}

Proposer::Sends Proposer::onAnswer(const ReplicaAnswer& answer, Instant now,
                                   std::vector<ChangeOutcome>* done) {
  highestRound_ = std::max(highestRound_, answer.promised.round);
  if (answer.replicas.epoch > newestReplicas_.epoch) newestReplicas_ = answer.replicas;
  const auto entry = operations_.find(answer.operation);
  if (entry == operations_.end()) return {};
  Operation& operation = entry->second;
  const bool expected = operation.phase != Phase::Resting && answer.ballot == operation.ballot &&
                        answer.accepting == (operation.phase == Phase::Accepting);
  if (!expected) return {};
  if (!answer.granted) {
    operation.turnedAway.insert(answer.store);
    const std::size_t members = operation.replicas.members.size();
    if (operation.turnedAway.size() > members - majorityOf(operation.replicas) ||
        answer.replicas.epoch > operation.replicas.epoch)
      rest(operation, now);
    return {};
  }
  operation.granted[answer.store] = answer;
  if (operation.granted.size() < majorityOf(operation.replicas)) return {};
  if (operation.phase == Phase::Preparing) return startAccept(operation, now);
  finish(operation, resultOf(operation), operation.proposal, done);
  return {};
}

Proposer::Sends Proposer::onTick(const ReplicaSet& replicas, Instant now,
                                 std::vector<ChangeOutcome>* done) {
  Sends sends;
  std::vector<OperationId> ids;
  for (const auto& [id, operation] : operations_) ids.push_back(id);
  for (const OperationId& id : ids) {
    Operation& operation = operations_[id];
    if (now >= operation.change.deadline) {
      finish(operation, operation.acceptSent ? ChangeResult::Unknown : ChangeResult::NotTried, {},
             done);
    } else if (now >= operation.phaseDue) {
      if (operation.phase != Phase::Resting) {
        rest(operation, now);
        continue;
      }
      if (replicas.epoch > operation.replicas.epoch) operation.replicas = replicas;
      for (auto& send : startRound(operation, now)) sends.push_back(std::move(send));
    } else if (operation.phase != Phase::Resting && now >= operation.repeatAt) {
      operation.repeatAt = operation.phaseDue;
      for (auto& send : ask(operation)) sends.push_back(std::move(send));
    }
  }
  return sends;
}

std::string Proposer::sharedBytesOf(const Operation& operation) {
  const ChangeRequest& change = operation.change;
  std::string bytes = encodeValue(change.operation) + encodeValue(change.key) +
                      encodeValue(change.expectedVersion) + encodeValue(change.body) +
                      encodeValue(change.writeId) + encodeValue(operation.replicas) +
                      encodeValue(operation.ballot);
  for (const bool flag : {change.isRead, operation.acceptSent, operation.proposesOwn})
    bytes += flag ? '1' : '0';
  bytes += static_cast<char>(operation.phase);
  if (operation.phase == Phase::Accepting) bytes += encodeValue(operation.proposal);
  return bytes;
}

std::string Proposer::bytesOfAnswersFrom(const Operation& operation, StoreId store) {
  if (operation.phase == Phase::Resting) return "";  // the next round forgets the answers
  if (operation.turnedAway.contains(store)) return "no";
  const auto answer = operation.granted.find(store);
  if (answer == operation.granted.end()) return "";
  // The value of an answer is read in the first phase only.
  if (operation.phase == Phase::Accepting) return "yes";
  return "yes" + encodeValue(answer->second.acceptedAt) + encodeValue(answer->second.value);
}

std::string Proposer::sharedBytes() const {
  std::string bytes = encodeValue(id_) + encodeValue(highestRound_) + encodeValue(newestReplicas_);
  for (const auto& [id, operation] : operations_) bytes += sharedBytesOf(operation);
  return bytes;
}

std::string Proposer::bytesOfAnswersFrom(StoreId store) const {
  std::string bytes;
  for (const auto& [id, operation] : operations_) {
    const std::string heard = bytesOfAnswersFrom(operation, store);
    if (!heard.empty()) bytes += encodeValue(id) + heard;
  }
  return bytes;
}

std::string Proposer::stateBytes() const {
  std::set<StoreId> stores;
  for (const auto& [id, operation] : operations_) {
    stores.insert(operation.turnedAway.begin(), operation.turnedAway.end());
    for (const auto& [store, answer] : operation.granted) stores.insert(store);
  }
  std::string bytes = sharedBytes();
  for (const StoreId& store : stores) {
    const std::string heard = bytesOfAnswersFrom(store);
    if (!heard.empty()) bytes += encodeValue(store) + heard;
  }
  return bytes;
}

}  // namespace quayrill
