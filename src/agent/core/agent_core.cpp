#include "agent/core/agent_core.h"

#include <algorithm>

#include "agent/core/duties.h"
#include "base/digest.h"

namespace quayrill {

using namespace std::chrono_literals;

namespace {
constexpr std::size_t kCopyBacklog = 64;
constexpr char kMayFound[] = "may-found";
constexpr Span kHearSpan = 3s;
constexpr Span kConfirmEvery = 250ms;
constexpr Span kConfirmEveryUnsettled = 100ms;
constexpr std::uint64_t kListKeysEvery = 8;
constexpr Span kStepInAfter = 2s;  // ours: for each daemon that comes before in a duty's order
}  // namespace

AgentCore::AgentCore(AgentBoot boot, std::optional<std::map<std::string, std::string>> disk)
    : boot_(std::move(boot)),
      firstSeeds_(boot_.seeds),
      random_(boot_.nonce),
      membership_(boot_.self, boot_.seeds, boot_.nonce + 1),
      news_(boot_.self, boot_.nonce),
      freshness_(boot_.nonce),
      proposer_(ProposerId{boot_.nonce}, boot_.nonce + 2),
      holds_(boot_.self, boot_.nonce, boot_.leaseSpan),
      list_({boot_.self, boot_.listEvery, boot_.listCallsPerS}) {
  ownFleet_ = random_() | 1;
  if (!disk) return;
  copy_.emplace(StoreId{random_() | 1});
  if (!disk->empty() && !copy_->restore(*disk)) copy_->stopVoting();
  if (copy_->copies().epoch.value > 0) freshness_.adopt(copy_->copies());
  restoreGrant(*disk);
  // A founder that ends before it has founded may still do so with the disk it had.
  boot_.mayFound = boot_.mayFound || disk->contains(kMayFound);
}

std::vector<CopyWork> AgentCore::start() {
  settlePatience_ = std::chrono::milliseconds(300 + random_() % 600);
  if (!copy_) return {};
  ++copyBacklog_;
  auto writes = copy_->identityWrites();
  if (boot_.mayFound) writes.push_back({kMayFound, "1"});
  return {CopyWork{std::move(writes), std::nullopt}};
}

void AgentCore::setSeeds(std::vector<Address> seeds) {
  boot_.seeds = std::move(seeds);
  membership_.setSeeds(boot_.seeds);
  nextFounding_ = {};
  nextListPeers_ = {};
}

void AgentCore::onDiskDefect() {
  if (copy_) copy_->stopVoting();
}

bool AgentCore::onDiskReadAnew(const std::map<std::string, std::string>& disk,
                               AgentEffects* effects) {
  if (copy_ && copy_->isVoting()) return true;
  RegisterCopy read(StoreId{random_() | 1});
  if (!disk.empty() && !read.restore(disk)) return false;
  // Rows that are gone make a new identity, as at a start on an empty folder: the old never votes
  // again.
  copy_ = std::move(read);
  if (disk.empty()) hand({copy_->identityWrites(), std::nullopt}, effects);
  if (copy_->copies().epoch > freshness_.copies().epoch) freshness_.adopt(copy_->copies());
  keepCopySet(effects);
  return true;
}

void AgentCore::sendAll(std::vector<std::pair<CopyMember, Message>> sends, AgentEffects* effects) {
  for (auto& [member, message] : sends)
    effects->sends.push_back({boot_.self, member.address, std::move(message)});
}

bool AgentCore::isCopyFull() const { return copyBacklog_ >= kCopyBacklog; }

void AgentCore::hand(CopyWork work, AgentEffects* effects) {
  ++copyBacklog_;
  effects->copyWork.push_back(std::move(work));
}

void AgentCore::adopt(const CopySet& copies, Instant now, AgentEffects* effects) {
  if (copies.epoch.value == 0 || !mayAdopt(copies, now)) return;
  if (freshness_.adopt(copies)) keepCopySet(effects);
}

void AgentCore::keepCopySet(AgentEffects* effects) {
  if (!copy_) return;
  if (auto writes = copy_->adopt(freshness_.copies()); !writes.empty())
    hand({std::move(writes), std::nullopt}, effects);
}

void AgentCore::handleCopy(const Envelope& envelope, Instant now, AgentEffects* effects) {
  if (!copy_ || isCopyFull()) return;
  const auto* prepared = std::get_if<Prepare>(&envelope.body);
  const auto* accepted = std::get_if<Accept>(&envelope.body);
  if ((prepared && !mayAdopt(prepared->copies, now)) ||
      (accepted && !mayAdopt(accepted->copies, now)))
    return;
  CopyEffects made;
  if (prepared) made = copy_->onPrepare(*prepared);
  if (accepted) made = copy_->onAccept(*accepted);
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
  } else if (const auto* listAsk = std::get_if<ListAsk>(&envelope.body)) {
    std::vector<Envelope> sends;
    list_.onAsk(envelope.from, *listAsk, now, &sends);
    sendListAnswers(std::move(sends), now, effects);
  } else if (const auto* told = std::get_if<ListAnswer>(&envelope.body)) {
    std::vector<Envelope> sends;
    if (const auto toldAt = list_.onAnswer(*told, now, &sends)) named_.take(told->named, *toldAt);
    sendListAnswers(std::move(sends), now, effects);
  } else if (const auto* note = std::get_if<ServerNote>(&envelope.body)) {
    notes_.take(*note, now);
  } else if (const auto* copyAnswer = std::get_if<CopyAnswer>(&envelope.body)) {
    sendAll(proposer_.onAnswer(*copyAnswer, now, &done), effects);
    adopt(copyAnswer->copies, now, effects);
  } else if (const auto* confirmed = std::get_if<ConfirmAnswer>(&envelope.body)) {
    noteContact(envelope.from, *confirmed, now);
    freshness_.onAnswer(*confirmed, now);
    sendAll(freshness_.widen(now), effects);
    keepCopySet(effects);
  } else if (std::holds_alternative<Prepare>(envelope.body) ||
             std::holds_alternative<Accept>(envelope.body) ||
             std::holds_alternative<Confirm>(envelope.body)) {
    handleCopy(envelope, now, effects);
  } else if (std::holds_alternative<FoundAsk>(envelope.body) ||
             std::holds_alternative<FoundAnswer>(envelope.body)) {
    handleFounding(envelope, now, effects);
  } else {
    membership_.onMessage(envelope, now, &effects->sends);
  }
  finish(done, now, effects);
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
    adopt(ended.copies, now, effects);
    const auto purpose = purposes_.find(ended.operation);
    if (purpose == purposes_.end()) continue;
    if (ended.result == ChangeResult::Chosen) {
      freshness_.learnChosen(ended.key, {ended.ballot, ended.value});
      keepCopySet(effects);
    }
    if (purpose->second == Purpose::Outside) effects->done.push_back(ended);
    if (purpose->second == Purpose::Hold) holds_.onDone(ended, now);
    if (purpose->second == Purpose::Sweep) epochSweep_.onReadDone(ended);
    purposes_.erase(purpose);
  }
}

std::vector<Address> AgentCore::staying(Instant now) const {
  std::vector<Address> live;
  if (startedAt_ == Instant{} || now - startedAt_ < kHearSpan) return live;
  for (const NewsItem& item : news_.live(now)) {
    if (!item.leaving && item.store.value != 0) live.push_back(item.source);
  }
  return live;
}

bool AgentCore::isMine(const std::string& duty, Instant now) const {
  return copy_ && rendezvousOwner(duty, staying(now)) == boot_.self;
}

bool AgentCore::mayStepIn(const std::string& duty, Span overdue, Instant now) const {
  const std::vector<Address> live = staying(now);
  const auto rank = static_cast<int>(rendezvousRank(duty, live, boot_.self));
  return !leaving_ && copy_ && !live.empty() && overdue >= rank * kStepInAfter;
}

void AgentCore::pursueHold(const RegisterKey& duty, Instant now, AgentEffects* effects) {
  const Fence floor{freshness_.copies().epoch.value << 20};
  if (auto change = holds_.pursue(duty, now, floor)) begin(*change, Purpose::Hold, now, effects);
}

void AgentCore::releaseHold(const RegisterKey& duty, Instant now, AgentEffects* effects) {
  if (auto change = holds_.release(duty, now)) begin(*change, Purpose::Hold, now, effects);
}

// Machines that keep a copy come first: they are few, and carry no requests. At the start only the
// seeds are known.
void AgentCore::tickList(Instant now, AgentEffects* effects) {
  if (now >= nextListPeers_) {
    nextListPeers_ = now + 400ms;
    std::set<Address> first(boot_.seeds.begin(), boot_.seeds.end()), then;
    const std::vector<NewsItem> live = news_.live(now);
    for (const NewsItem& item : live) {
      first.erase(item.source);
      if (item.leaving) continue;
      (item.store.value != 0 ? first : then).insert(item.source);
    }
    for (const Address& seed : boot_.seeds) {
      const auto item = news_.item(seed);
      if (item && !news_.isLive(seed, now)) first.erase(seed);  // it was known, and is gone
    }
    listPeers_.order = rendezvousOrder("list", {first.begin(), first.end()});
    const auto rest = rendezvousOrder("list", {then.begin(), then.end()});
    listPeers_.order.insert(listPeers_.order.end(), rest.begin(), rest.end());
    listPeers_.mostKnown = std::max(listPeers_.mostKnown, live.size());
    notes_.forgetUnlisted(list_.rows(), now);
  }
  effects->readList = list_.onTick(listPeers_, now, &effects->sends);
}

void AgentCore::takeList(std::vector<ListRow> rows, Instant askedAt, std::size_t calls, Instant now,
                         AgentEffects* effects) {
  std::vector<Envelope> sends;
  list_.take(std::move(rows), askedAt, calls, now, &sends);
  sendListAnswers(std::move(sends), now, effects);
}

void AgentCore::sendListAnswers(std::vector<Envelope> sends, Instant now, AgentEffects* effects) {
  for (Envelope& envelope : sends) {
    if (auto* answer = std::get_if<ListAnswer>(&envelope.body)) answer->named = named_.tell(now);
    effects->sends.push_back(std::move(envelope));
  }
}

void AgentCore::tellNote(const ServerNote& note, Instant now, AgentEffects* effects) {
  notes_.take(note, now);
  for (const NewsItem& item : news_.live(now)) {
    if (item.source != boot_.self) effects->sends.push_back({boot_.self, item.source, note});
  }
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

// Machines that keep a store ask all copies, and the stores that wait to join: they judge who is
// there and who is gone.
void AgentCore::tickConfirm(Instant now, AgentEffects* effects) {
  const CopySet& copies = freshness_.copies();
  if (copies.epoch.value == 0) return;
  if (!copies.settled) nextConfirm_ = std::min(nextConfirm_, now + kConfirmEveryUnsettled);
  if (now < nextConfirm_) return sendAll(freshness_.widen(now), effects);
  nextConfirm_ = now + (copies.settled ? kConfirmEvery : kConfirmEveryUnsettled);
  const bool wantsKeys = copy_ && ++confirmRounds_ % kListKeysEvery == 0;
  sendAll(freshness_.begin(now, copy_.has_value(), wantsKeys), effects);
  if (!copy_) return;
  for (const NewsItem& item : news_.live(now)) {
    const bool isIn =
        std::any_of(copies.members.begin(), copies.members.end(),
                    [&](const CopyMember& member) { return member.store == item.store; });
    if (item.store.value != 0 && !isIn)
      effects->sends.push_back({boot_.self, item.source, freshness_.question(item.store, false)});
  }
}

// Every second, and at once where this daemon begins to leave, has another store or was taken for
// an earlier life of its own.
void AgentCore::tickNews(Instant now, AgentEffects* effects) {
  const StoreId store = copy_ && copy_->isVoting() ? copy_->store() : StoreId{};
  const Told told{leaving_, store, news_.item(boot_.self)->version.incarnation};
  const bool isUrgent = told != told_;
  if (now < nextBeat_ && !isUrgent) return;
  nextBeat_ = now + 1s;
  told_ = told;
  NewsItem own;
  own.zone = boot_.zone;
  own.proxyAddress = boot_.proxyAddress;
  own.store = store;
  own.specInForce = SpecVersion{freshness_.spec().value.version};
  own.leaving = leaving_;
  own.fleet = copy_ ? copy_->copies().fleet : 0;
  news_.describeSelf(own);
  news_.beat(now);
  if (isUrgent && copy_) tellStoreHolders(now, effects);
}

void AgentCore::tellStoreHolders(Instant now, AgentEffects* effects) {
  std::set<Address> holders(boot_.seeds.begin(), boot_.seeds.end());
  for (const CopyMember& member : freshness_.copies().members) holders.insert(member.address);
  for (const NewsItem& item : news_.live(now)) {
    if (item.store.value != 0) holders.insert(item.source);
  }
  holders.erase(boot_.self);
  const NewsAnswer told{{*news_.item(boot_.self)}};
  for (const Address& holder : holders) effects->sends.push_back({boot_.self, holder, told});
}

void AgentCore::onTick(Instant now, AgentEffects* effects) {
  if (startedAt_ == Instant{}) startedAt_ = now;
  tickNews(now, effects);
  membership_.onTick(now, &effects->sends);
  if (now >= nextPull_) {
    nextPull_ = now + 400ms;
    const Address neighbour = membership_.randomNeighbour();
    if (neighbour != Address{}) effects->sends.push_back({boot_.self, neighbour, news_.ask()});
  }
  tickList(now, effects);
  tickFounding(now, effects);
  tickConfirm(now, effects);
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
