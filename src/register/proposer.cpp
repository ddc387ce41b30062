#include "register/proposer.h"

#include <algorithm>

namespace quayrill {

using namespace std::chrono_literals;

namespace {
constexpr Duration kPhaseTimeout = 400ms;
constexpr Duration kResendAfter = 150ms;
constexpr std::size_t kMaxPriorWrites = 16;

bool containsWrite(const RegisterValue& value, WriteId write) {
  return value.writeId == write || std::find(value.priorWrites.begin(), value.priorWrites.end(),
                                             write) != value.priorWrites.end();
}

RegisterValue ownValue(const ChangeRequest& change, const RegisterValue& current) {
  RegisterValue own{current.version + 1, change.writeId, {}, change.body};
  own.priorWrites.push_back(current.writeId);
  for (const WriteId& prior : current.priorWrites) {
    if (own.priorWrites.size() < kMaxPriorWrites) own.priorWrites.push_back(prior);
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
  operation.grants.clear();
  operation.rejectedBy.clear();
  operation.ballot = {operation.replicas.epoch, ++highestRound_, id_};
  operation.phaseDeadline = now + kPhaseTimeout;
  operation.resendAt = now + kResendAfter;
  return phaseMessages(operation);
}

// The current phase's message to each replica that has not answered it.
Proposer::Sends Proposer::phaseMessages(const Operation& operation) const {
  const ChangeRequest& change = operation.change;
  Sends sends;
  for (const ReplicaMember& member : operation.replicas.members) {
    if (operation.grants.contains(member.store) || operation.rejectedBy.contains(member.store))
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
  for (const auto& [store, answer] : operation.grants) {
    if (answer.acceptedAt > highest) {
      highest = answer.acceptedAt;
      current = answer.value;
    }
  }
  const ChangeRequest& change = operation.change;
  operation.proposesOwnValue = !change.isRead && !containsWrite(current, change.writeId) &&
                               current.version == change.expectedVersion;
  // The value found may be held by a minority only. It is proposed again even if it conflicts with
  // this change: until a majority has accepted it, a proposer that doesn't see it may still get
  // another value chosen, including one from an earlier round of this operation.
  operation.proposal = operation.proposesOwnValue ? ownValue(change, current) : current;
  operation.phase = Phase::Accepting;
  operation.grants.clear();
  operation.rejectedBy.clear();
  operation.phaseDeadline = now + kPhaseTimeout;
  operation.ownAcceptSent = operation.ownAcceptSent || operation.proposesOwnValue;
  operation.resendAt = now + kResendAfter;
  return phaseMessages(operation);
}

// The result of the operation now that its proposal is chosen. Later values build on this one, so a
// change that falls within the chosen value's write history and isn't listed there can't be chosen
// any more. For a change older than that history the result can't be determined.
ChangeResult Proposer::resultOf(const Operation& operation) {
  const ChangeRequest& change = operation.change;
  const RegisterValue& chosen = operation.proposal;
  if (change.isRead || containsWrite(chosen, change.writeId)) return ChangeResult::Chosen;
  const bool historyCovers =
      chosen.version > change.expectedVersion &&
      chosen.version <= change.expectedVersion + 1 + chosen.priorWrites.size();
  return !operation.ownAcceptSent || historyCovers ? ChangeResult::Conflict : ChangeResult::Unknown;
}

void Proposer::backOff(Operation& operation, Instant now) {
  operation.phase = Phase::BackingOff;
  operation.phaseDeadline = now + std::chrono::milliseconds(10 + random_() % 90);
}

void Proposer::finish(Operation& operation, ChangeResult result, const RegisterValue& value,
                      std::vector<ChangeOutcome>* done) {
  done->push_back({operation.change.operation, operation.change.key, result, value,
                   operation.ballot, newestReplicas_});
  operations_.erase(operation.change.operation);
}

Proposer::Sends Proposer::onAnswer(const ReplicaResponse& answer, Instant now,
                                   std::vector<ChangeOutcome>* done) {
  highestRound_ = std::max(highestRound_, answer.promised.round);
  if (answer.replicas.epoch > newestReplicas_.epoch) newestReplicas_ = answer.replicas;
  const auto entry = operations_.find(answer.operation);
  if (entry == operations_.end()) return {};
  Operation& operation = entry->second;
  const bool expected = operation.phase != Phase::BackingOff && answer.ballot == operation.ballot &&
                        answer.accepting == (operation.phase == Phase::Accepting);
  if (!expected) return {};
  if (!answer.granted) {
    operation.rejectedBy.insert(answer.store);
    const std::size_t members = operation.replicas.members.size();
    if (operation.rejectedBy.size() > members - majorityOf(operation.replicas) ||
        answer.replicas.epoch > operation.replicas.epoch)
      backOff(operation, now);
    return {};
  }
  operation.grants[answer.store] = answer;
  if (operation.grants.size() < majorityOf(operation.replicas)) return {};
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
      finish(operation, operation.ownAcceptSent ? ChangeResult::Unknown : ChangeResult::NotTried,
             {}, done);
    } else if (now >= operation.phaseDeadline) {
      if (operation.phase != Phase::BackingOff) {
        backOff(operation, now);
        continue;
      }
      if (replicas.epoch > operation.replicas.epoch) operation.replicas = replicas;
      for (auto& send : startRound(operation, now)) sends.push_back(std::move(send));
    } else if (operation.phase != Phase::BackingOff && now >= operation.resendAt) {
      operation.resendAt = operation.phaseDeadline;
      for (auto& send : phaseMessages(operation)) sends.push_back(std::move(send));
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
  for (const bool flag : {change.isRead, operation.ownAcceptSent, operation.proposesOwnValue})
    bytes += flag ? '1' : '0';
  bytes += static_cast<char>(operation.phase);
  if (operation.phase == Phase::Accepting) bytes += encodeValue(operation.proposal);
  return bytes;
}

std::string Proposer::bytesOfAnswersFrom(const Operation& operation, StoreId store) {
  if (operation.phase == Phase::BackingOff) return "";  // the next round discards the answers
  if (operation.rejectedBy.contains(store)) return "no";
  const auto answer = operation.grants.find(store);
  if (answer == operation.grants.end()) return "";
  // The value of an answer is used in the first phase only.
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
    const std::string answerBytes = bytesOfAnswersFrom(operation, store);
    if (!answerBytes.empty()) bytes += encodeValue(id) + answerBytes;
  }
  return bytes;
}

std::string Proposer::stateBytes() const {
  std::set<StoreId> stores;
  for (const auto& [id, operation] : operations_) {
    stores.insert(operation.rejectedBy.begin(), operation.rejectedBy.end());
    for (const auto& [store, answer] : operation.grants) stores.insert(store);
  }
  std::string bytes = sharedBytes();
  for (const StoreId& store : stores) {
    const std::string answerBytes = bytesOfAnswersFrom(store);
    if (!answerBytes.empty()) bytes += encodeValue(store) + answerBytes;
  }
  return bytes;
}

}  // namespace quayrill
