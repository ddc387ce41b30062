#pragma once
// Learns chosen values of the configuration and of the replica set, and when they were last known
// to be the newest. Asks replicas; never guesses from a minority.
#include <map>
#include <optional>
#include <set>

#include "base/clock.h"
#include "register/replica.h"

namespace quayrill {

struct ChosenValue {
  Ballot ballot;
  RegisterValue value;
};

class Freshness {
 public:
  // Sequences begin at a random number of this life: a late answer to an earlier one meets no
  // round.
  explicit Freshness(std::uint64_t nonce) : sequence_(nonce >> 1) {}
  // Replaces the replica set if `copies` is newer; rounds asked of the older set are forgotten.
  bool adopt(const ReplicaSet& replicas);
  const ReplicaSet& replicas() const { return replicas_; }
  const ChosenValue& configuration() const { return configuration_; }
  std::optional<Instant> confirmedAt() const { return confirmedAt_; }
  const std::vector<RegisterKey>& knownKeys() const { return knownKeys_; }
  std::uint64_t replicaSetVersion() const { return replicaSetValue_.value.version; }
  // Every key that a majority holds between them, once so many answered from inside this epoch.
  std::optional<std::vector<RegisterKey>> majorityKeys() const;

  using Sends = std::vector<std::pair<ReplicaMember, Message>>;
  // Asks as many replicas as meet every majority, those first that answer fastest; all of them
  // where the caller says so, the epoch is unsettled, or nothing was confirmed for a while.
  Sends beginRound(Instant now, bool askAll, bool wantsKeys);
  // The rest of the newest round's replicas, once an answer is overdue or shows something newer,
  // and one replica for a body that is lacking.
  Sends widenRound(Instant now);
  Confirm confirmRequest(StoreId store, bool wantsKeys) const;
  void onAnswer(const ConfirmAnswer& answer, Instant now);
  // A value that a round of this daemon's own proposer proved chosen.
  void learnChosen(const RegisterKey& key, const ChosenValue& chosen);
  // The key that needs a read to settle it, once it has stayed unsettled for a while.
  std::optional<RegisterKey> keyToSettle(Instant now, Span patience) const;

 private:
  struct Round {
    Instant sentAt;
    std::map<StoreId, ConfirmAnswer> answers;  // of members, under this epoch
    std::set<StoreId> asked;
    bool wantsKeys = false;
    bool unsettled = false;  // an answer shows something newer
    bool confirmed = false;
  };
  std::optional<RegisterValue> wholeValue(const RegisterKey& key, const ConfirmAnswer& answer,
                                          const ConfirmedKey& held,
                                          const ChosenValue& chosen) const;
  void keepBodies(const ConfirmAnswer& answer);
  void askBody(Instant now, Sends* sends);
  enum class Verdict { Current, Unsettled };
  Verdict judge(const Round& round, const RegisterKey& key, ChosenValue* chosen);

  ReplicaSet replicas_;
  // chosen values only; their versions never fall
  ChosenValue configuration_, replicaSetValue_;
  // The start of the newest round whose answers meet every majority and show nothing newer.
  std::optional<Instant> confirmedAt_;
  std::map<std::uint64_t, Round> rounds_;  // at most kRounds, newest last
  std::uint64_t sequence_;
  std::map<StoreId, Span> answerSpan_;  // smoothed; a guide for whom to ask, never for what holds
  std::map<RegisterKey, Instant> unsettledSince_;
  // The newest accepted configuration that came with its body; chosen or not.
  ChosenValue body_;
  // Replicas that hold a configuration which a majority accepted and whose body is lacking here.
  std::vector<StoreId> bodyHolders_;
  Ballot bodyBallot_, bodyAskedFor_;  // at which they hold it; for which one was asked last
  std::uint64_t bodiesAsked_ = 0;
  Instant nextBody_{};
  std::vector<RegisterKey> knownKeys_;
};

}  // namespace quayrill
