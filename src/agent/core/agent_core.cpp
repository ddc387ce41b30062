#include "agent/core/agent_core.h"

#include <algorithm>

#include "agent/core/leader_roles.h"
#include "base/digest.h"

namespace quayrill {

using namespace std::chrono_literals;

namespace {
constexpr std::size_t kMaxReplicaBacklog = 64;
constexpr char kMayFound[] = "may-found";
constexpr Duration kDiscoverySpan = 3s;
constexpr Duration kSettleDelayWithoutReplica = 1500ms;
constexpr Duration kConfirmInterval = 250ms;
constexpr Duration kConfirmIntervalUnsettled = 100ms;
constexpr std::uint64_t kListKeysEveryRounds = 8;
// Ticks this far apart mean that the process did not run in between.
constexpr Duration kStallThreshold = 500ms;
// How much longer each further candidate for a leader role waits before it takes over.
constexpr Duration kTakeOverDelayPerRank = 2s;
}  // namespace

AgentCore::AgentCore(AgentSettings settings, std::optional<std::map<std::string, std::string>> disk)
    : settings_(std::move(settings)),
      initialSeeds_(settings_.seeds),
      random_(settings_.nonce),
      membership_(settings_.self, settings_.seeds, settings_.nonce + 1),
      gossip_(settings_.self, settings_.nonce),
      freshness_(settings_.nonce),
      proposer_(ProposerId{settings_.nonce}, settings_.nonce + 2),
      leases_(settings_.self, settings_.nonce, settings_.leaseSpan),
      list_({settings_.self, settings_.listInterval, settings_.listCallsPerSecond}),
      exchange_(settings_.self, settings_.zone),
      builds_(settings_.self, settings_.build) {
  ownFleet_ = random_() | 1;
  if (!disk) return;
  replica_.emplace(StoreId{random_() | 1});
  if (!disk->empty() && !replica_->restore(*disk)) replica_->stopVoting();
  if (replica_->replicas().epoch.value > 0) freshness_.adopt(replica_->replicas());
  restoreGrant(*disk);
  // The disk records that an earlier run was allowed to found a fleet. If that run ended before it
  // did so, this run may still found one.
  settings_.mayFound = settings_.mayFound || disk->contains(kMayFound);
}

std::vector<ReplicaWork> AgentCore::start() {
  settleDelay_ = std::chrono::milliseconds(300 + random_() % 600);
  if (!replica_) return {};
  ++replicaBacklog_;
  auto writes = replica_->identityWrites();
  if (settings_.mayFound) writes.push_back({kMayFound, "1"});
  return {ReplicaWork{std::move(writes), std::nullopt}};
}

void AgentCore::setSeeds(std::vector<Address> seeds) {
  settings_.seeds = std::move(seeds);
  membership_.setSeeds(settings_.seeds);
  nextFounding_ = {};
  nextListPeers_ = {};
}

void AgentCore::onDiskError() {
  if (replica_) replica_->stopVoting();
}

bool AgentCore::onDiskReloaded(const std::map<std::string, std::string>& disk,
                               AgentEffects* effects) {
  if (replica_ && replica_->isVoting()) return true;
  RegisterReplica reloaded(StoreId{random_() | 1});
  if (!disk.empty() && !reloaded.restore(disk)) return false;
  // If the rows are gone, the replica gets a new identity, as at a start with an empty folder: the
  // old identity must never vote again.
  replica_ = std::move(reloaded);
  if (disk.empty()) enqueueReplicaWork({replica_->identityWrites(), std::nullopt}, effects);
  if (replica_->replicas().epoch > freshness_.replicas().epoch)
    freshness_.adopt(replica_->replicas());
  persistReplicaSet(effects);
  return true;
}

void AgentCore::sendAll(std::vector<std::pair<ReplicaMember, Message>> sends,
                        AgentEffects* effects) {
  for (auto& [member, message] : sends)
    effects->sends.push_back({settings_.self, member.address, std::move(message)});
}

bool AgentCore::isReplicaBacklogFull() const { return replicaBacklog_ >= kMaxReplicaBacklog; }

void AgentCore::enqueueReplicaWork(ReplicaWork work, AgentEffects* effects) {
  ++replicaBacklog_;
  effects->replicaWork.push_back(std::move(work));
}

void AgentCore::adopt(const ReplicaSet& replicas, Instant now, AgentEffects* effects) {
  if (replicas.epoch.value == 0 || !mayAdopt(replicas, now)) return;
  if (freshness_.adopt(replicas)) persistReplicaSet(effects);
}

void AgentCore::persistReplicaSet(AgentEffects* effects) {
  if (!replica_) return;
  if (auto writes = replica_->adopt(freshness_.replicas()); !writes.empty())
    enqueueReplicaWork({std::move(writes), std::nullopt}, effects);
}

void AgentCore::onReplicaMessage(const Envelope& envelope, Instant now, AgentEffects* effects) {
  if (!replica_ || isReplicaBacklogFull()) return;
  const auto* prepared = std::get_if<Prepare>(&envelope.body);
  const auto* accepted = std::get_if<Accept>(&envelope.body);
  if ((prepared && !mayAdopt(prepared->replicas, now)) ||
      (accepted && !mayAdopt(accepted->replicas, now)))
    return;
  ReplicaEffects replicaEffects;
  if (prepared) replicaEffects = replica_->onPrepare(*prepared);
  if (accepted) replicaEffects = replica_->onAccept(*accepted);
  if (const auto* confirm = std::get_if<ConfirmRequest>(&envelope.body))
    replicaEffects = replica_->onConfirm(*confirm);
  if (replica_->replicas().epoch > freshness_.replicas().epoch)
    freshness_.adopt(replica_->replicas());
  if (replicaEffects.writes.empty() && !replicaEffects.answer) return;
  ReplicaWork work{std::move(replicaEffects.writes), std::nullopt};
  if (replicaEffects.answer)
    work.answer = Envelope{settings_.self, envelope.from, std::move(*replicaEffects.answer)};
  enqueueReplicaWork(std::move(work), effects);
}

void AgentCore::onMessage(const Envelope& envelope, Instant now, AgentEffects* effects) {
  std::vector<ChangeOutcome> done;
  if (const auto* ask = std::get_if<GossipRequest>(&envelope.body)) {
    effects->sends.push_back({settings_.self, envelope.from, gossip_.answerRequest(*ask)});
  } else if (const auto* answer = std::get_if<GossipResponse>(&envelope.body)) {
    gossip_.onAnswer(*answer, now);
  } else if (const auto* listAsk = std::get_if<ServerListRequest>(&envelope.body)) {
    std::vector<Envelope> sends;
    list_.onAsk(envelope.from, *listAsk, now, &sends);
    sendListAnswers(std::move(sends), now, effects);
  } else if (const auto* listAnswer = std::get_if<ServerListResponse>(&envelope.body)) {
    std::vector<Envelope> sends;
    if (const auto answeredAt = list_.onAnswer(*listAnswer, now, &sends))
      weights_.merge(listAnswer->superseded, *answeredAt);
    sendListAnswers(std::move(sends), now, effects);
  } else if (const auto* note = std::get_if<ServerNote>(&envelope.body)) {
    notes_.onNote(*note, now);
  } else if (const auto* report = std::get_if<DataPlaneReport>(&envelope.body)) {
    exchange_.onReport(envelope.from, *report, now);
  } else if (const auto* digest = std::get_if<DataPlaneDigest>(&envelope.body)) {
    exchange_.onDigest(*digest, now);
  } else if (std::holds_alternative<BuildRequest>(envelope.body)) {
    builds_.onRequest(envelope.from, &effects->sends);
  } else if (const auto* build = std::get_if<BuildResponse>(&envelope.body)) {
    builds_.onResponse(envelope.from, *build, now);
  } else if (const auto* replicaAnswer = std::get_if<ReplicaResponse>(&envelope.body)) {
    sendAll(proposer_.onAnswer(*replicaAnswer, now, &done), effects);
    adopt(replicaAnswer->replicas, now, effects);
  } else if (const auto* confirmed = std::get_if<ConfirmResponse>(&envelope.body)) {
    recordContact(envelope.from, *confirmed, now);
    freshness_.onAnswer(*confirmed, now);
    sendAll(freshness_.widenRound(now), effects);
    persistReplicaSet(effects);
  } else if (std::holds_alternative<Prepare>(envelope.body) ||
             std::holds_alternative<Accept>(envelope.body) ||
             std::holds_alternative<ConfirmRequest>(envelope.body)) {
    onReplicaMessage(envelope, now, effects);
  } else if (std::holds_alternative<FoundingRequest>(envelope.body) ||
             std::holds_alternative<FoundingResponse>(envelope.body)) {
    onFoundingMessage(envelope, now, effects);
  } else {
    membership_.onMessage(envelope, now, &effects->sends);
  }
  finish(done, now, effects);
}

void AgentCore::begin(ChangeRequest change, Purpose purpose, Instant now, AgentEffects* effects) {
  if (change.operation.value == 0) change.operation = OperationId{++operationCounter_};
  if (change.writeId.value == 0) change.writeId = WriteId{random_() | 1};
  purposes_[change.operation] = purpose;
  if (freshness_.replicas().members.empty()) {
    finish({{change.operation, change.key, ChangeResult::NotTried, {}, {}, {}}}, now, effects);
    return;
  }
  sendAll(proposer_.begin(change, freshness_.replicas(), now), effects);
}

OperationId AgentCore::requestChange(ChangeRequest change, Instant now, AgentEffects* effects) {
  change.operation = OperationId{++operationCounter_};
  begin(change, Purpose::External, now, effects);
  return change.operation;
}

void AgentCore::finish(const std::vector<ChangeOutcome>& done, Instant now, AgentEffects* effects) {
  for (const ChangeOutcome& outcome : done) {
    adopt(outcome.replicas, now, effects);
    const auto purpose = purposes_.find(outcome.operation);
    if (purpose == purposes_.end()) continue;
    if (outcome.result == ChangeResult::Chosen) {
      freshness_.learnChosen(outcome.key, {outcome.ballot, outcome.value});
      persistReplicaSet(effects);
    }
    if (purpose->second == Purpose::External) effects->done.push_back(outcome);
    if (purpose->second == Purpose::Lease) leases_.onDone(outcome, now);
    if (purpose->second == Purpose::Sweep) epochSweep_.onReadDone(outcome);
    purposes_.erase(purpose);
  }
}

bool AgentCore::hasDiscoveredPeers(Instant now) const {
  return startedAt_ != Instant{} && now - startedAt_ >= kDiscoverySpan;
}

std::vector<ServerName> AgentCore::eventSources(const std::vector<EventSource>& sources,
                                                Instant now) const {
  if (!hasDiscoveredPeers(now)) return {};
  return assignedEventSources(settings_.self, gossip_.live(now), sources);
}

std::vector<Address> AgentCore::roleCandidates(Instant now) const {
  std::vector<Address> live;
  if (!hasDiscoveredPeers(now)) return live;
  for (const GossipItem& item : gossip_.live(now)) {
    if (!item.leaving && item.store.value != 0) live.push_back(item.source);
  }
  return live;
}

bool AgentCore::ownsRole(const std::string& role, Instant now) const {
  return replica_ && rendezvousOwner(role, roleCandidates(now)) == settings_.self;
}

bool AgentCore::mayTakeOverRole(const std::string& role, Duration overdue, Instant now) const {
  const std::vector<Address> live = roleCandidates(now);
  const auto rank = static_cast<int>(rendezvousRank(role, live, settings_.self));
  return !leaving_ && replica_ && !live.empty() && overdue >= rank * kTakeOverDelayPerRank;
}

void AgentCore::tryAcquireLease(const RegisterKey& role, Instant now, AgentEffects* effects) {
  const FencingToken floor{freshness_.replicas().epoch.value << 20};
  if (auto change = leases_.tryAcquire(role, now, floor))
    begin(*change, Purpose::Lease, now, effects);
}

void AgentCore::releaseLease(const RegisterKey& role, Instant now, AgentEffects* effects) {
  if (auto change = leases_.release(role, now)) begin(*change, Purpose::Lease, now, effects);
}

// Also orders the daemons that read the platform's list. Machines with a replica come first: they
// are few and carry no requests. At the start only the seeds are known.
void AgentCore::tickList(Instant now, AgentEffects* effects) {
  if (now >= nextListPeers_) {
    nextListPeers_ = now + 400ms;
    std::set<Address> preferred(settings_.seeds.begin(), settings_.seeds.end()), others;
    const std::vector<GossipItem> live = gossip_.live(now);
    for (const GossipItem& item : live) {
      preferred.erase(item.source);
      if (item.leaving) continue;
      (item.store.value != 0 ? preferred : others).insert(item.source);
    }
    for (const Address& seed : settings_.seeds) {
      const auto item = gossip_.item(seed);
      if (item && !gossip_.isLive(seed, now)) preferred.erase(seed);  // it was known and has failed
    }
    listPeers_.order = rendezvousOrder("list", {preferred.begin(), preferred.end()});
    const auto othersOrder = rendezvousOrder("list", {others.begin(), others.end()});
    listPeers_.order.insert(listPeers_.order.end(), othersOrder.begin(), othersOrder.end());
    listPeers_.peakPeerCount = std::max(listPeers_.peakPeerCount, live.size());
    notes_.forgetUnlisted(list_.rows(), now);
  }
  effects->readList = list_.onTick(listPeers_, now, &effects->sends);
}

void AgentCore::onListRead(std::vector<ListedServer> rows, Instant askedAt, std::size_t calls,
                           Instant now, AgentEffects* effects) {
  std::vector<Envelope> sends;
  list_.onReadDone(std::move(rows), askedAt, calls, now, &sends);
  sendListAnswers(std::move(sends), now, effects);
}

void AgentCore::sendListAnswers(std::vector<Envelope> sends, Instant now, AgentEffects* effects) {
  for (Envelope& envelope : sends) {
    if (auto* answer = std::get_if<ServerListResponse>(&envelope.body))
      answer->superseded = weights_.report(now);
    effects->sends.push_back(std::move(envelope));
  }
}

void AgentCore::broadcastNote(const ServerNote& note, Instant now, AgentEffects* effects) {
  notes_.onNote(note, now);
  for (const GossipItem& item : gossip_.live(now)) {
    if (item.source != settings_.self)
      effects->sends.push_back({settings_.self, item.source, note});
  }
}

// A read repairs the replicas that it reaches. This periodic sweep reads every known key, since
// some of them are otherwise rarely read.
void AgentCore::tickSweep(Instant now, AgentEffects* effects) {
  if (now < nextSweep_ || !freshness_.replicas().settled) return;
  nextSweep_ = now + 10s + std::chrono::milliseconds(random_() % 1000);
  if (now - startedAt_ < 5s || !ownsRole("sweep", now)) return;
  const RegisterKey role{"hold/sweep"};
  tryAcquireLease(role, now, effects);
  if (!leases_.heldFence(role, 500ms, now)) {
    nextSweep_ = now + 500ms;
    return;
  }
  for (const RegisterKey& key : freshness_.knownKeys()) {
    if (!proposer_.isBusy(key))
      begin({{}, key, true, 0, {}, {}, now + 2s}, Purpose::Sweep, now, effects);
  }
}

// Machines with a store query all replicas and the stores that wait to join, because they decide
// which stores are available.
void AgentCore::tickConfirm(Instant now, AgentEffects* effects) {
  const ReplicaSet& replicas = freshness_.replicas();
  if (replicas.epoch.value == 0) return;
  if (!replicas.settled) nextConfirm_ = std::min(nextConfirm_, now + kConfirmIntervalUnsettled);
  if (now < nextConfirm_) return sendAll(freshness_.widenRound(now), effects);
  nextConfirm_ = now + (replicas.settled ? kConfirmInterval : kConfirmIntervalUnsettled);
  const bool wantsKeys = replica_ && ++confirmRounds_ % kListKeysEveryRounds == 0;
  sendAll(freshness_.beginRound(now, replica_.has_value(), wantsKeys), effects);
  if (!replica_) return;
  for (const GossipItem& item : gossip_.live(now)) {
    const bool isMember =
        std::any_of(replicas.members.begin(), replicas.members.end(),
                    [&](const ReplicaMember& member) { return member.store == item.store; });
    if (item.store.value != 0 && !isMember)
      effects->sends.push_back(
          {settings_.self, item.source, freshness_.confirmRequest(item.store, false)});
  }
}

// Publishes this daemon's state every second, and at once when it starts to leave, has another
// store or raised its incarnation to supersede an earlier run.
void AgentCore::tickGossip(Instant now, AgentEffects* effects) {
  const StoreId store = replica_ && replica_->isVoting() ? replica_->store() : StoreId{};
  const Announcement announcement{leaving_, store,
                                  gossip_.item(settings_.self)->version.incarnation};
  const bool isUrgent = announcement != lastAnnounced_;
  if (now < nextHeartbeat_ && !isUrgent) return;
  nextHeartbeat_ = now + 1s;
  lastAnnounced_ = announcement;
  GossipItem own;
  own.zone = settings_.zone;
  own.proxyAddress = settings_.proxyAddress;
  own.store = store;
  own.configurationInForce = ConfigurationVersion{freshness_.configuration().value.version};
  own.leaving = leaving_;
  own.fleet = replica_ ? replica_->replicas().fleet : 0;
  gossip_.setOwnState(own);
  gossip_.advanceHeartbeat(now);
  if (isUrgent && replica_) notifyStoreHolders(now, effects);
}

void AgentCore::notifyStoreHolders(Instant now, AgentEffects* effects) {
  std::set<Address> holders(settings_.seeds.begin(), settings_.seeds.end());
  for (const ReplicaMember& member : freshness_.replicas().members) holders.insert(member.address);
  for (const GossipItem& item : gossip_.live(now)) {
    if (item.store.value != 0) holders.insert(item.source);
  }
  holders.erase(settings_.self);
  const GossipResponse announcement{{*gossip_.item(settings_.self)}};
  for (const Address& holder : holders)
    effects->sends.push_back({settings_.self, holder, announcement});
}

void AgentCore::onTick(Instant now, AgentEffects* effects) {
  if (startedAt_ == Instant{}) startedAt_ = now;
  if (now - lastTickAt_ >= kStallThreshold) freshness_.forgetSilence();
  lastTickAt_ = now;
  tickGossip(now, effects);
  membership_.onTick(now, &effects->sends);
  if (now >= nextGossipPull_) {
    nextGossipPull_ = now + 400ms;
    const Address neighbour = membership_.randomNeighbour();
    if (neighbour != Address{})
      effects->sends.push_back({settings_.self, neighbour, gossip_.makeRequest()});
  }
  tickList(now, effects);
  if (exchange_.isDue(now)) exchange_.onTick(gossip_.live(now), now, &effects->sends);
  tickFounding(now, effects);
  tickConfirm(now, effects);
  // Machines with a store settle a value first, because the other machines are many.
  const Duration ownSettleDelay =
      replica_ ? settleDelay_ : settleDelay_ + kSettleDelayWithoutReplica;
  if (const auto key = freshness_.keyToSettle(now, ownSettleDelay);
      key && !proposer_.isBusy(*key)) {
    settleDelay_ = std::chrono::milliseconds(300 + random_() % 600);
    begin({{}, *key, true, 0, {}, {}, now + 2s}, Purpose::Settle, now, effects);
  }
  tickReplicaSet(now, effects);
  tickSweep(now, effects);
  std::vector<ChangeOutcome> done;
  sendAll(proposer_.onTick(freshness_.replicas(), now, &done), effects);
  finish(done, now, effects);
}

}  // namespace quayrill
