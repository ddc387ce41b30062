// How a fleet's register comes to be: founded, and founded again after the loss of its majority.
#include <algorithm>

#include "agent/core/agent_core.h"

namespace quayrill {

using namespace std::chrono_literals;

namespace {
constexpr Span kRecoverAfter = 10s;
constexpr Span kAskAroundAfter = 1500ms;
constexpr Span kAskAroundEvery = 500ms;
constexpr Span kUnfoundedEvery = 150ms;
constexpr Span kGrantSpan = 10s;
constexpr Span kSaidSpan = 2s;  // far below kGrantSpan: what a seed said still binds it
constexpr char kGrant[] = "grant";
constexpr std::uint64_t kRecoverVersions = 1000000;
constexpr std::uint64_t kRecoverEpochs = 1 << 20;

// As it lies on the disk. An own grant to oneself is not written: a founder's next life founds
// another fleet, and its earlier one can't ask it again.
struct GrantRow {
  Address to;
  std::uint64_t fleet = 0;
  QUAYRILL_FIELDS(to, fleet)
};
}  // namespace

void AgentCore::restoreGrant(const std::map<std::string, std::string>& disk) {
  const auto row = disk.find(kGrant);
  GrantRow kept;
  if (row == disk.end() || !decodeValue(row->second, &kept)) return;
  grant_ = {kept.to, kept.fleet, Instant::max()};
}

void AgentCore::answerFoundAsk(const Address& from, const FoundAsk& ask, Instant now,
                               AgentEffects* effects) {
  const bool free = grant_.fleet == 0 || now >= grant_.until || grant_.to == from;
  const bool unfounded = replica_ && replica_->isVoting() &&
                         freshness_.replicas().epoch.value == 0 && (free || ask.fleet == 0);
  const Envelope answer{
      settings_.self, from,
      FoundAnswer{ask.nonce, unfounded, settings_.mayFound,
                  replica_ ? replica_->store() : StoreId{}, freshness_.replicas()}};
  if (!unfounded || ask.fleet == 0) {
    effects->sends.push_back(answer);
    return;
  }
  if (isReplicaBacklogFull()) return;  // the founder asks again
  ReplicaWork work{{}, answer};
  if (grant_.to != from || grant_.fleet != ask.fleet)
    work.writes.push_back({kGrant, encodeValue(GrantRow{from, ask.fleet})});
  grant_ = {from, ask.fleet, now + kGrantSpan};
  enqueueReplicaWork(std::move(work), effects);
}

// Epoch 1 is the only one that is founded without the register. A machine that gave its grant to
// one founding takes no other that is still on its way, such as that of a founder's earlier life.
bool AgentCore::mayAdopt(const ReplicaSet& replicas, Instant now) const {
  const bool isFounding = replicas.epoch.value == 1 && freshness_.replicas().epoch.value == 0;
  return !isFounding || grant_.fleet == 0 || now >= grant_.until || grant_.fleet == replicas.fleet;
}

// An empty machine whose seeds know a fleet learns it here and joins; it never founds another.
void AgentCore::onFoundingMessage(const Envelope& envelope, Instant now, AgentEffects* effects) {
  if (const auto* ask = std::get_if<FoundAsk>(&envelope.body))
    return answerFoundAsk(envelope.from, *ask, now, effects);
  const auto& answer = std::get<FoundAnswer>(envelope.body);
  adopt(answer.replicas, now, effects);
  const auto round = foundingRounds_.find(answer.nonce);
  if (!replica_ || !answer.unfounded || round == foundingRounds_.end()) return;
  SeedAnswer& said = seedAnswers_[envelope.from];
  if (said.askedAt <= round->second.sentAt)
    said = {round->second.sentAt, round->second.wantsGrant, answer.mayFound, answer.store};
  foundWhenGranted(now, effects);
}

// Two lists that each keep more than half of the first one have a seed of it in common, and that
// seed grants one founding at a time.
bool AgentCore::keepsMajorityOfInitialSeeds() const {
  const auto kept =
      std::count_if(initialSeeds_.begin(), initialSeeds_.end(), [this](const Address& seed) {
        return std::find(settings_.seeds.begin(), settings_.seeds.end(), seed) !=
               settings_.seeds.end();
      });
  return 2 * static_cast<std::size_t>(kept) > initialSeeds_.size();
}

// The lowest of the seeds founds, or the next where the lower ones say that they never will.
bool AgentCore::isFounder(Instant now) const {
  if (!settings_.mayFound || !replica_ || !replica_->isVoting() || !keepsMajorityOfInitialSeeds())
    return false;
  bool isSeed = false;
  for (const Address& seed : settings_.seeds) {
    isSeed = isSeed || seed == settings_.self;
    if (seed >= settings_.self) continue;
    const auto said = seedAnswers_.find(seed);
    if (said == seedAnswers_.end() || now - said->second.askedAt > kSaidSpan ||
        said->second.mayFound)
      return false;
  }
  return isSeed;
}

// All seeds gave this life's fleet their grant, so all of them are its first copies: at once, under
// one epoch, which is settled since there was none before it.
void AgentCore::foundWhenGranted(Instant now, AgentEffects* effects) {
  if (freshness_.replicas().epoch.value > 0 || !isFounder(now) || grant_.fleet != ownFleet_) return;
  // Daemons that serve a fleet without its register tell the seeds of it in this time.
  if (startedAt_ == Instant{} || now - startedAt_ < settings_.foundingWait) return;
  ReplicaSet founded{Epoch{1}, ownFleet_, true, {{replica_->store(), settings_.self}}};
  for (const Address& seed : settings_.seeds) {
    if (seed == settings_.self) continue;
    const auto said = seedAnswers_.find(seed);
    if (said == seedAnswers_.end() || !said->second.granted ||
        now - said->second.askedAt > kSaidSpan)
      return;
    if (founded.members.size() < settings_.replicasWanted)
      founded.members.push_back({said->second.store, seed});
  }
  std::sort(founded.members.begin(), founded.members.end());
  adopt(founded, now, effects);
  begin({{}, kReplicaSetKey, false, 0, encodeValue(founded), {}, now + 5s}, Purpose::Replicas, now,
        effects);
}

// A daemon that can't confirm may know a replica set that nobody uses any more: all of it moved
// while it was cut off, or the register was founded again elsewhere. Others may know a newer one.
void AgentCore::queryNewerReplicaSet(Instant now, AgentEffects* effects) {
  const auto confirmed = freshness_.confirmedAt();
  if (confirmed && now - *confirmed < kAskAroundAfter) return;
  for (const Address& known :
       {membership_.randomNeighbour(), settings_.seeds.empty()
                                           ? Address{}
                                           : settings_.seeds[random_() % settings_.seeds.size()]}) {
    if (known == Address{} || known == settings_.self) continue;
    effects->sends.push_back({settings_.self, known, FoundAsk{0, 0}});
    // Seeds that lost their disks all at once must not take the fleet for unfounded.
    effects->sends.push_back(
        {settings_.self, known, FoundAnswer{0, false, false, {}, freshness_.replicas()}});
  }
}

void AgentCore::tickFounding(Instant now, AgentEffects* effects) {
  if (grant_.until == Instant::max()) grant_.until = now + kGrantSpan;
  if (now < nextFounding_) return;
  const bool unfounded = freshness_.replicas().epoch.value == 0;
  nextFounding_ = now + (unfounded ? kUnfoundedEvery : kAskAroundEvery);
  if (!unfounded) return queryNewerReplicaSet(now, effects);
  std::erase_if(foundingRounds_,
                [&](const auto& round) { return now - round.second.sentAt > kSaidSpan; });
  const bool grantedElsewhere =
      grant_.fleet != 0 && grant_.fleet != ownFleet_ && now < grant_.until;
  const bool wantsGrant = isFounder(now) && !grantedElsewhere;
  if (wantsGrant) grant_ = {settings_.self, ownFleet_, now + kGrantSpan};
  const std::uint64_t nonce = random_() | 1;
  foundingRounds_[nonce] = {now, wantsGrant};
  for (const Address& seed : settings_.seeds) {
    if (seed != settings_.self)
      effects->sends.push_back({settings_.self, seed, FoundAsk{nonce, wantsGrant ? ownFleet_ : 0}});
  }
  foundWhenGranted(now, effects);
}

AgentCore::Recovered AgentCore::recover(const std::string& given, std::uint64_t givenVersion,
                                        Instant now, AgentEffects* effects) {
  if (!replica_ || !replica_->isVoting())
    return {"this daemon has no sound register replica: ask one with a data folder", {}, 0};
  const auto confirmed = freshness_.confirmedAt();
  if (confirmed && now - *confirmed < kRecoverAfter)
    return {"the register's majority answered lately: nothing is lost", {}, 0};
  RegisterValue configuration = freshness_.configuration().value;
  if (const auto kept = replica_->valueOf(kConfigurationKey);
      kept && kept->version > configuration.version)
    configuration = *kept;
  const std::uint64_t known = std::max(configuration.version, givenVersion);
  if (!given.empty()) configuration.body = given;
  if (configuration.body.empty())
    return {
        "no configuration is known here, and the fleet's daemons serve by one: give a saved one",
        {},
        0};
  // Versions that only the lost replicas knew must never be given twice.
  const RegisterValue value{
      known + kRecoverVersions, WriteId{random_() | 1}, {}, configuration.body};
  const ReplicaSet& old = freshness_.replicas();
  // Far above every epoch that the given-up register may still reach by itself.
  const Epoch epoch{((old.epoch.value / kRecoverEpochs) + 1) * kRecoverEpochs + random_() % 1024};
  const ReplicaSet founded{epoch, random_() | 1, true, {{replica_->store(), settings_.self}}};
  enqueueReplicaWork(
      {replica_->recover(founded, ProposerId{settings_.nonce}, WriteId{random_() | 1}, value,
                         freshness_.replicaSetVersion() + kRecoverVersions),
       std::nullopt},
      effects);
  freshness_.adopt(founded);
  return {"", founded, value.version};
}

}  // namespace quayrill
