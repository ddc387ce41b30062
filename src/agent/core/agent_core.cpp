#include "agent/core/agent_core.h"

#include <algorithm>

#include "agent/core/duties.h"
#include "base/digest.h"

namespace quayrill {

using namespace std::chrono_literals;

namespace {
constexpr std::size_t kCopyBacklog = 64;
}

AgentCore::AgentCore(AgentBoot boot, std::optional<std::map<std::string, std::string>> disk)
    : boot_(std::move(boot)),
      random_(boot_.nonce),
      membership_(boot_.self, boot_.seeds, boot_.nonce + 1),
      news_(boot_.self, boot_.nonce),
      proposer_(ProposerId{boot_.nonce}, boot_.nonce + 2),
      holds_(boot_.self, boot_.nonce) {
  if (!disk) return;
  copy_.emplace(StoreId{random_() | 1});
  if (!disk->empty() && !copy_->restore(*disk)) copy_->stopVoting();
  if (copy_->copies().epoch.value > 0) freshness_.adopt(copy_->copies());
}

std::vector<CopyWork> AgentCore::start() {
  settlePatience_ = std::chrono::milliseconds(300 + random_() % 600);
  if (!copy_) return {};
  ++copyBacklog_;
  return {CopyWork{copy_->identityWrites(), std::nullopt}};
}

void AgentCore::onDiskDefect() {
  if (copy_) copy_->stopVoting();
}

void AgentCore::sendAll(std::vector<std::pair<CopyMember, Message>> sends, AgentEffects* effects) {
  for (auto& [member, message] : sends)
    effects->sends.push_back({boot_.self, member.address, std::move(message)});
}

void AgentCore::hand(CopyWork work, AgentEffects* effects) {
  ++copyBacklog_;
  effects->copyWork.push_back(std::move(work));
}

void AgentCore::adopt(const CopySet& copies, AgentEffects* effects) {
  if (copies.epoch.value == 0) return;
  if (freshness_.adopt(copies)) keepCopySet(effects);
}

void AgentCore::keepCopySet(AgentEffects* effects) {
  if (!copy_) return;
  if (auto writes = copy_->adopt(freshness_.copies()); !writes.empty())
    hand({std::move(writes), std::nullopt}, effects);
}

void AgentCore::handleCopy(const Envelope& envelope, AgentEffects* effects) {
  if (!copy_ || copyBacklog_ >= kCopyBacklog) return;
  CopyEffects made;
  if (const auto* prepare = std::get_if<Prepare>(&envelope.body)) made = copy_->onPrepare(*prepare);
  if (const auto* accept = std::get_if<Accept>(&envelope.body)) made = copy_->onAccept(*accept);
  if (const auto* confirm = std::get_if<Confirm>(&envelope.body)) made = copy_->onConfirm(*confirm);
  if (copy_->copies().epoch > freshness_.copies().epoch) freshness_.adopt(copy_->copies());
  if (made.writes.empty() && !made.answer) return;
  CopyWork work{std::move(made.writes), std::nullopt};
  if (made.answer) work.answer = Envelope{boot_.self, envelope.from, std::move(*made.answer)};
  hand(std::move(work), effects);
}

void AgentCore::onMessage(const Envelope& envelope, Instant now, AgentEffects* effects) {
  std::vector<ChangeDone> done;
  if (const auto* ask = std::get_if<NewsAsk>(&envelope.body)) {
    effects->sends.push_back({boot_.self, envelope.from, news_.answer(*ask)});
  } else if (const auto* answer = std::get_if<NewsAnswer>(&envelope.body)) {
    news_.take(*answer, now);
  } else if (const auto* copyAnswer = std::get_if<CopyAnswer>(&envelope.body)) {
    sendAll(proposer_.onAnswer(*copyAnswer, now, &done), effects);
    adopt(copyAnswer->copies, effects);
  } else if (const auto* confirmed = std::get_if<ConfirmAnswer>(&envelope.body)) {
    freshness_.onAnswer(*confirmed, now);
    keepCopySet(effects);
  } else if (std::holds_alternative<Prepare>(envelope.body) ||
             std::holds_alternative<Accept>(envelope.body) ||
             std::holds_alternative<Confirm>(envelope.body)) {
    handleCopy(envelope, effects);
  } else if (std::holds_alternative<FoundAsk>(envelope.body) ||
             std::holds_alternative<FoundAnswer>(envelope.body)) {
    handleFounding(envelope, now, effects);
  } else {
    membership_.onMessage(envelope, now, &effects->sends);
  }
  finish(done, now, effects);
}

// An empty machine whose seeds know a fleet learns it here and joins; it never founds another.
void AgentCore::handleFounding(const Envelope& envelope, Instant now, AgentEffects* effects) {
  if (const auto* ask = std::get_if<FoundAsk>(&envelope.body)) {
    const bool free = grantedTo_ == Address{} || grantedTo_ == envelope.from || now >= grantUntil_;
    const bool unfounded =
        copy_ && copy_->isVoting() && freshness_.copies().epoch.value == 0 && free;
    if (unfounded && ask->wantsGrant) {
      grantedTo_ = envelope.from;
      grantUntil_ = now + 10s;
    }
    effects->sends.push_back(
        {boot_.self, envelope.from, FoundAnswer{ask->nonce, unfounded, freshness_.copies()}});
    return;
  }
  const auto& answer = std::get<FoundAnswer>(envelope.body);
  adopt(answer.copies, effects);
  if (answer.nonce != foundingRound_ || !answer.unfounded || !copy_) return;
  unfounded_.insert(envelope.from);
  if (freshness_.copies().epoch.value > 0) return;
  const bool allSaid = std::all_of(
      boot_.seeds.begin(), boot_.seeds.end(),
      [&](const Address& seed) { return seed == boot_.self || unfounded_.contains(seed); });
  const bool grantedElsewhere =
      grantedTo_ != Address{} && grantedTo_ != boot_.self && now < grantUntil_;
  if (!allSaid || !mayFound() || grantedElsewhere) return;
  const CopySet founded{Epoch{1}, random_() | 1, true, {{copy_->store(), boot_.self}}};
  adopt(founded, effects);
  begin({{}, kCopySetKey, false, 0, encodeValue(founded), {}, now + 5s}, Purpose::Copies, now,
        effects);
}

// Only the machine with the lowest address among the seeds and itself may found.
bool AgentCore::mayFound() const {
  return copy_ && copy_->isVoting() &&
         std::all_of(boot_.seeds.begin(), boot_.seeds.end(),
                     [&](const Address& seed) { return boot_.self <= seed; });
}

void AgentCore::tickFounding(Instant now, AgentEffects* effects) {
  if (freshness_.copies().epoch.value > 0 || now < nextFounding_) return;
  nextFounding_ = now + 500ms;
  foundingRound_ = random_();
  unfounded_.clear();
  for (const Address& seed : boot_.seeds) {
    if (seed != boot_.self)
      effects->sends.push_back({boot_.self, seed, FoundAsk{foundingRound_, mayFound()}});
  }
  const bool alone = std::all_of(boot_.seeds.begin(), boot_.seeds.end(),
                                 [&](const Address& seed) { return seed == boot_.self; });
  if (alone && mayFound()) {
    handleFounding({boot_.self, boot_.self, FoundAnswer{foundingRound_, true, {}}}, now, effects);
  }
}

void AgentCore::begin(ChangeAsked change, Purpose purpose, Instant now, AgentEffects* effects) {
  if (change.operation.value == 0) change.operation = OperationId{++operationCounter_};
  if (change.writeId.value == 0) change.writeId = WriteId{random_() | 1};
  purposes_[change.operation] = purpose;
  if (freshness_.copies().members.empty()) {
    finish({{change.operation, change.key, ChangeResult::NotTried, {}, {}, {}}}, now, effects);
    return;
  }
  sendAll(proposer_.begin(change, freshness_.copies(), now), effects);
}

OperationId AgentCore::askChange(ChangeAsked change, Instant now, AgentEffects* effects) {
  change.operation = OperationId{++operationCounter_};
  begin(change, Purpose::Outside, now, effects);
  return change.operation;
}

void AgentCore::finish(const std::vector<ChangeDone>& done, Instant now, AgentEffects* effects) {
  for (const ChangeDone& ended : done) {
    adopt(ended.copies, effects);
    const auto purpose = purposes_.find(ended.operation);
    if (purpose == purposes_.end()) continue;
    if (ended.result == ChangeResult::Chosen) {
      freshness_.learnChosen(ended.key, {ended.ballot, ended.value});
      keepCopySet(effects);
    }
    if (purpose->second == Purpose::Outside) effects->done.push_back(ended);
    if (purpose->second == Purpose::Hold) holds_.onDone(ended, now);
    if (purpose->second == Purpose::Sweep && ended.result == ChangeResult::Chosen &&
        ended.ballot.epoch == sweptEpoch_)
      unswept_.erase(ended.key);
    purposes_.erase(purpose);
  }
}

bool AgentCore::isMine(const std::string& duty, Instant now) const {
  std::vector<Address> live;
  for (const NewsItem& item : news_.live(now)) {
    if (!item.leaving) live.push_back(item.source);
  }
  return rendezvousOwner(duty, live) == boot_.self;
}

void AgentCore::pursueHold(const RegisterKey& duty, Instant now, AgentEffects* effects) {
  if (auto change = holds_.pursue(duty, now)) begin(*change, Purpose::Hold, now, effects);
}

void AgentCore::releaseHold(const RegisterKey& duty, Instant now, AgentEffects* effects) {
  if (auto change = holds_.release(duty, now)) begin(*change, Purpose::Hold, now, effects);
}

// One machine at a time: a store that waits joins, one that has been gone for a while is taken out.
std::optional<CopySet> AgentCore::nextCopySet(Instant now) const {
  CopySet next = freshness_.copies();
  next.epoch = Epoch{next.epoch.value + 1};
  next.settled = false;
  const auto isIn = [&](StoreId store) {
    return std::any_of(next.members.begin(), next.members.end(),
                       [&](const CopyMember& member) { return member.store == store; });
  };
  std::optional<CopyMember> candidate;
  for (const NewsItem& item : news_.live(now)) {
    if (item.store.value == 0 || item.leaving) continue;
    // A store that moved to another address stays the same voter: write its new address down.
    for (CopyMember& member : next.members) {
      if (member.store == item.store && member.address != item.source) {
        member.address = item.source;
        return next;
      }
    }
    if (!isIn(item.store)) candidate = CopyMember{item.store, item.source};
  }
  // What is gone is taken out only while enough stay; at the least number, its successor joins
  // first.
  const std::size_t least = std::min<std::size_t>(3, boot_.copiesWanted);
  std::size_t limit = boot_.copiesWanted;
  for (std::size_t i = 0; i < next.members.size(); ++i) {
    const auto missing = missingSince_.find(next.members[i].store);
    if (missing == missingSince_.end() || now - missing->second < 8s) continue;
    if (next.members.size() > least) {
      next.members.erase(next.members.begin() + static_cast<std::ptrdiff_t>(i));
      return next;
    }
    limit = least + 1;
  }
  if (!candidate || next.members.size() >= limit) return std::nullopt;
  next.members.push_back(*candidate);
  std::sort(next.members.begin(), next.members.end());
  return next;
}

void AgentCore::tickCopies(Instant now, AgentEffects* effects) {
  if (now < nextCopies_ || freshness_.copies().epoch.value == 0) return;
  nextCopies_ = now + 250ms;
  const CopySet& copies = freshness_.copies();
  for (const CopyMember& member : copies.members) {
    membership_.introduce(member.address);
    const auto item = news_.item(member.address);
    const bool present =
        news_.isLive(member.address, now) && (!item || item->store == member.store);
    if (present)
      missingSince_.erase(member.store);
    else
      missingSince_.try_emplace(member.store, now);
  }
  std::erase_if(missingSince_, [&](const auto& row) {
    return std::none_of(copies.members.begin(), copies.members.end(),
                        [&](const CopyMember& member) { return member.store == row.first; });
  });
  const RegisterKey duty{"hold/copies"};
  const bool work = !copies.settled || nextCopySet(now).has_value();
  if (!work || now - startedAt_ < 1s || !isMine("copies", now)) return;
  pursueHold(duty, now, effects);
  if (!holds_.held(duty, 1s, now) || proposer_.isBusy(kCopySetKey)) return;
  const std::uint64_t version = freshness_.copySetVersion();
  if (copies.settled) {
    if (const auto next = nextCopySet(now))
      begin({{}, kCopySetKey, false, version, encodeValue(*next), {}, now + 2s}, Purpose::Copies,
            now, effects);
    return;
  }
  if (sweptEpoch_ != copies.epoch) {
    sweptEpoch_ = copies.epoch;
    unswept_.clear();
    sweepListed_ = false;
  }
  // A majority inside this epoch meets every majority of the older one, and none of its members
  // takes part in the older epoch any more: no key can come up behind the list. The read brings
  // the copies into the epoch.
  if (!sweepListed_) {
    if (const auto keys = freshness_.keysOfMajority()) {
      unswept_.insert(keys->begin(), keys->end());
      unswept_.insert(kCopySetKey);
      sweepListed_ = true;
    } else {
      begin({{}, kCopySetKey, true, 0, {}, {}, now + 1s}, Purpose::Sweep, now, effects);
    }
    return;
  }
  for (const RegisterKey& key : unswept_) {
    if (!proposer_.isBusy(key))
      begin({{}, key, true, 0, {}, {}, now + 2s}, Purpose::Sweep, now, effects);
  }
  if (!unswept_.empty()) return;
  CopySet settled = copies;
  settled.settled = true;
  begin({{}, kCopySetKey, false, version, encodeValue(settled), {}, now + 2s}, Purpose::Copies, now,
        effects);
}

// Reads mend the copies they touch; the sweep reads what nobody asked for.
void AgentCore::tickSweep(Instant now, AgentEffects* effects) {
  if (now < nextSweep_ || !freshness_.copies().settled) return;
  nextSweep_ = now + 10s + std::chrono::milliseconds(random_() % 1000);
  if (now - startedAt_ < 5s || !isMine("sweep", now)) return;
  const RegisterKey duty{"hold/sweep"};
  pursueHold(duty, now, effects);
  if (!holds_.held(duty, 500ms, now)) {
    nextSweep_ = now + 500ms;
    return;
  }
  for (const RegisterKey& key : freshness_.knownKeys()) {
    if (!proposer_.isBusy(key))
      begin({{}, key, true, 0, {}, {}, now + 2s}, Purpose::Sweep, now, effects);
  }
}

void AgentCore::onTick(Instant now, AgentEffects* effects) {
  if (startedAt_ == Instant{}) startedAt_ = now;
  if (now >= nextBeat_) {
    nextBeat_ = now + 1s;
    NewsItem own;
    own.zone = boot_.zone;
    own.proxyAddress = boot_.proxyAddress;
    own.store = copy_ && copy_->isVoting() ? copy_->store() : StoreId{};
    own.specInForce = SpecVersion{freshness_.spec().value.version};
    own.leaving = leaving_;
    news_.describeSelf(own);
    news_.beat(now);
  }
  membership_.onTick(now, &effects->sends);
  if (now >= nextPull_) {
    nextPull_ = now + 400ms;
    const Address neighbour = membership_.randomNeighbour();
    if (neighbour != Address{}) effects->sends.push_back({boot_.self, neighbour, news_.ask()});
  }
  tickFounding(now, effects);
  if (now >= nextConfirm_ && freshness_.copies().epoch.value > 0) {
    nextConfirm_ = now + 250ms;
    sendAll(freshness_.begin(now), effects);
  }
  if (const auto key = freshness_.wantsSettling(now, settlePatience_);
      key && !proposer_.isBusy(*key)) {
    settlePatience_ = std::chrono::milliseconds(300 + random_() % 600);
    begin({{}, *key, true, 0, {}, {}, now + 2s}, Purpose::Settle, now, effects);
  }
  tickCopies(now, effects);
  tickSweep(now, effects);
  std::vector<ChangeDone> done;
  sendAll(proposer_.onTick(freshness_.copies(), now, &done), effects);
  finish(done, now, effects);
}

}  // namespace quayrill
