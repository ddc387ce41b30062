#pragma once
// Learns the chosen values of the configuration and the replica set, and tracks when they were last
// confirmed to be the newest, by querying replicas. Never draws conclusions from a minority.
#include <map>
#include <optional>
#include <set>

#include "base/clock.h"
#include "register/replica.h"

namespace quayrill {

// A value of the register and the ballot at which it was accepted.
struct ChosenValue {
  Ballot ballot;
  RegisterValue value;
};

// Runs confirmation rounds: each queries replicas for what they accepted, without proposing. A
// round whose answers intersect every majority and show nothing newer confirms the known values.
class Freshness {
 public:
  // Sequence numbers start at a random number per process, so that a late answer to an earlier
  // process matches no round.
  explicit Freshness(std::uint64_t nonce) : sequence_(nonce >> 1) {}
  // Replaces the replica set if `replicas` is newer, and forgets the rounds with an older epoch.
  bool adopt(const ReplicaSet& replicas);
  const ReplicaSet& replicas() const { return replicas_; }
  const ChosenValue& configuration() const { return configuration_; }
  std::optional<Instant> confirmedAt() const { return confirmedAt_; }
  // True if rounds have remained without enough answers for a while, so that a newer configuration
  // could not have shown. False while enough replicas answer, whatever they show.
  bool isRegisterSilent(Instant now) const;
  // Starts to wait for answers anew. Call it after the process did not run for a while: answers may
  // have arrived meanwhile that were not read.
  void forgetSilence() { firstUnansweredAt_.reset(); }
  const std::vector<RegisterKey>& knownKeys() const { return knownKeys_; }
  std::uint64_t replicaSetVersion() const { return replicaSetValue_.value.version; }
  // Every key that any replica of a majority holds, once a majority answered from within the
  // current epoch.
  std::optional<std::vector<RegisterKey>> majorityKeys() const;

  using Sends = std::vector<std::pair<ReplicaMember, Message>>;
  // Starts a round. Queries a read quorum of the replicas that answer fastest, or all of them if
  // `askAll` is set, the epoch is unsettled, or nothing was confirmed for a while.
  Sends beginRound(Instant now, bool askAll, bool wantsKeys);
  // Extends the newest round to all replicas once an answer is overdue or shows something newer.
  // Also requests a missing body from one replica.
  Sends widenRound(Instant now);
  // A request of the newest round for `store`, without large bodies.
  ConfirmRequest confirmRequest(StoreId store, bool wantsKeys) const;
  void onAnswer(const ConfirmResponse& answer, Instant now);
  // Takes a value that is known to be chosen, for example from this daemon's own proposer.
  void learnChosen(const RegisterKey& key, const ChosenValue& chosen);
  // A key that has been unsettled for at least `patience` and needs a read to settle it.
  std::optional<RegisterKey> keyToSettle(Instant now, Duration patience) const;

 private:
  // One confirmation round.
  struct Round {
    Instant sentAt;
    std::map<StoreId, ConfirmResponse> answers;  // of members, within the current epoch
    std::set<StoreId> asked;
    bool wantsKeys = false;
    bool unsettled = false;  // an answer shows something newer
    bool confirmed = false;
  };
  std::optional<RegisterValue> completeValue(const RegisterKey& key, const ConfirmResponse& answer,
                                             const ConfirmedKey& held,
                                             const ChosenValue& chosen) const;
  void rememberBody(const ConfirmResponse& answer);
  void requestBody(Instant now, Sends* sends);
  enum class Verdict { Current, Unsettled };
  Verdict evaluate(const Round& round, const RegisterKey& key, ChosenValue* chosen);
  std::size_t neededAnswers() const;

  ReplicaSet replicas_;
  // Chosen values only; their versions never decrease.
  ChosenValue configuration_, replicaSetValue_;
  // The start of the newest round that confirmed the known values.
  std::optional<Instant> confirmedAt_;
  // The start of the first round since the newest one that got enough answers.
  std::optional<Instant> firstUnansweredAt_;
  std::map<std::uint64_t, Round> rounds_;  // at most kMaxRounds, newest last
  std::uint64_t sequence_;
  std::map<StoreId, Duration> answerTime_;  // smoothed; used only to select replicas to query
  std::map<RegisterKey, Instant> unsettledSince_;
  // The newest accepted configuration received with its body, whether chosen or not.
  ChosenValue newestBody_;
  // Replicas that hold a configuration that a majority accepted and whose body is missing here.
  std::vector<StoreId> missingBodyHolders_;
  Ballot missingBodyBallot_, bodyRequestedFor_;  // of that value; of the last requested value
  std::uint64_t bodyRequestCount_ = 0;
  Instant nextBodyRequest_{};
  std::vector<RegisterKey> knownKeys_;
};

}  // namespace quayrill
