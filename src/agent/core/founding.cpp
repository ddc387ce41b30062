// Founds the register of a new fleet, and founds it again after the loss of its majority.
#include <algorithm>
#include <string_view>

#include "agent/core/agent_core.h"

namespace quayrill {

using namespace std::chrono_literals;

namespace {
constexpr Duration kRecoverAfterUnconfirmed = 10s;
constexpr Duration kQueryAfterUnconfirmed = 1500ms;
constexpr Duration kQueryInterval = 500ms;
constexpr Duration kFoundingInterval = 150ms;
constexpr Duration kGrantDuration = 10s;
// Far below kGrantDuration, so that a grant in an answer this old has not expired at the seed.
constexpr Duration kSeedAnswerValidity = 2s;
constexpr char kGrant[] = "grant";
constexpr std::uint64_t kRecoveryVersionGap = 1000000;
constexpr std::uint64_t kRecoveryEpochGap = 1 << 20;

// A grant as written to disk. The grant that a founder gives itself isn't written: its next process
// founds another fleet, and the earlier process can't send requests any more.
struct GrantRow {
  Address to;
  std::uint64_t fleet = 0;
  QUAYRILL_FIELDS(to, fleet)
};
// The row is on disk: with other fields, or in another order, a grant of an older build is misread.
static_assert(std::string_view(GrantRow::kFieldNames) == "to, fleet");
}  // namespace

void AgentCore::restoreGrant(const std::map<std::string, std::string>& disk) {
  const auto row = disk.find(kGrant);
  GrantRow stored;
  if (row == disk.end() || !decodeValue(row->second, &stored)) return;
  grant_ = {stored.to, stored.fleet, Instant::max()};
}

void AgentCore::answerFoundAsk(const Address& from, const FoundingRequest& ask, Instant now,
                               AgentEffects* effects) {
  const bool isAvailable = grant_.fleet == 0 || now >= grant_.until || grant_.to == from;
  const bool unfounded = replica_ && replica_->isVoting() &&
                         freshness_.replicas().epoch.value == 0 && (isAvailable || ask.fleet == 0);
  const Envelope answer{
      settings_.self, from,
      FoundingResponse{ask.nonce, unfounded, settings_.mayFound,
                       replica_ ? replica_->store() : StoreId{}, freshness_.replicas()}};
  if (!unfounded || ask.fleet == 0) {
    effects->sends.push_back(answer);
    return;
  }
  if (isReplicaBacklogFull()) return;  // the founder sends its request again
  ReplicaWork work{{}, answer};
  if (grant_.to != from || grant_.fleet != ask.fleet)
    work.writes.push_back({kGrant, encodeValue(GrantRow{from, ask.fleet})});
  grant_ = {from, ask.fleet, now + kGrantDuration};
  enqueueReplicaWork(std::move(work), effects);
}

// Epoch 1 is the only epoch that is founded without an existing register. A machine that granted
// one founding rejects any other one that is still in progress, such as that of an earlier process
// of the founder.
bool AgentCore::mayAdopt(const ReplicaSet& replicas, Instant now) const {
  const bool isFounding = replicas.epoch.value == 1 && freshness_.replicas().epoch.value == 0;
  return !isFounding || grant_.fleet == 0 || now >= grant_.until || grant_.fleet == replicas.fleet;
}

// A machine with an empty disk whose seeds know a fleet learns about it here and joins it; it never
// founds another one.
void AgentCore::onFoundingMessage(const Envelope& envelope, Instant now, AgentEffects* effects) {
  if (const auto* ask = std::get_if<FoundingRequest>(&envelope.body))
    return answerFoundAsk(envelope.from, *ask, now, effects);
  const auto& answer = std::get<FoundingResponse>(envelope.body);
  adopt(answer.replicas, now, effects);
  const auto round = foundingRounds_.find(answer.nonce);
  if (!replica_ || !answer.unfounded || round == foundingRounds_.end()) return;
  SeedAnswer& seedAnswer = seedAnswers_[envelope.from];
  if (seedAnswer.askedAt <= round->second.sentAt)
    seedAnswer = {round->second.sentAt, round->second.requestsGrant, answer.mayFound, answer.store};
  foundWhenGranted(now, effects);
}

// Two seed lists that each keep more than half of the initial one have an initial seed in common,
// and that seed grants one founding at a time.
bool AgentCore::keepsMajorityOfInitialSeeds() const {
  const auto keptCount =
      std::count_if(initialSeeds_.begin(), initialSeeds_.end(), [this](const Address& seed) {
        return std::find(settings_.seeds.begin(), settings_.seeds.end(), seed) !=
               settings_.seeds.end();
      });
  return 2 * static_cast<std::size_t>(keptCount) > initialSeeds_.size();
}

// The seed with the lowest address founds the fleet, or the next one if all lower seeds answered
// that they may not found.
bool AgentCore::isFounder(Instant now) const {
  if (!settings_.mayFound || !replica_ || !replica_->isVoting() || !keepsMajorityOfInitialSeeds())
    return false;
  bool isSeed = false;
  for (const Address& seed : settings_.seeds) {
    isSeed = isSeed || seed == settings_.self;
    if (seed >= settings_.self) continue;
    const auto seedAnswer = seedAnswers_.find(seed);
    if (seedAnswer == seedAnswers_.end() ||
        now - seedAnswer->second.askedAt > kSeedAnswerValidity || seedAnswer->second.mayFound)
      return false;
  }
  return isSeed;
}

// Founds the fleet once all seeds have granted it. The seeds become the first replicas, in a single
// epoch that is settled from the start, since there is no earlier one.
void AgentCore::foundWhenGranted(Instant now, AgentEffects* effects) {
  if (freshness_.replicas().epoch.value > 0 || !isFounder(now) || grant_.fleet != ownFleet_) return;
  // During this wait, daemons that know an existing fleet but can't reach its register report it to
  // the seeds.
  if (startedAt_ == Instant{} || now - startedAt_ < settings_.foundingWait) return;
  ReplicaSet founded{Epoch{1}, ownFleet_, true, {{replica_->store(), settings_.self}}};
  for (const Address& seed : settings_.seeds) {
    if (seed == settings_.self) continue;
    const auto seedAnswer = seedAnswers_.find(seed);
    if (seedAnswer == seedAnswers_.end() || !seedAnswer->second.granted ||
        now - seedAnswer->second.askedAt > kSeedAnswerValidity)
      return;
    if (founded.members.size() < settings_.replicasWanted)
      founded.members.push_back({seedAnswer->second.store, seed});
  }
  std::sort(founded.members.begin(), founded.members.end());
  adopt(founded, now, effects);
  begin({{}, kReplicaSetKey, false, 0, encodeValue(founded), {}, now + 5s}, Purpose::Replicas, now,
        effects);
}

// A daemon that can't confirm its state may know an obsolete replica set: all members were replaced
// while it was partitioned, or the register was founded again elsewhere. Other daemons may know a
// newer set.
void AgentCore::queryNewerReplicaSet(Instant now, AgentEffects* effects) {
  const auto confirmed = freshness_.confirmedAt();
  if (confirmed && now - *confirmed < kQueryAfterUnconfirmed) return;
  for (const Address& peer :
       {membership_.randomNeighbour(), settings_.seeds.empty()
                                           ? Address{}
                                           : settings_.seeds[random_() % settings_.seeds.size()]}) {
    if (peer == Address{} || peer == settings_.self) continue;
    effects->sends.push_back({settings_.self, peer, FoundingRequest{0, 0}});
    // If all seeds lost their disks at once, they must not conclude that no fleet was founded.
    effects->sends.push_back(
        {settings_.self, peer, FoundingResponse{0, false, false, {}, freshness_.replicas()}});
  }
}

void AgentCore::tickFounding(Instant now, AgentEffects* effects) {
  if (grant_.until == Instant::max()) grant_.until = now + kGrantDuration;
  if (now < nextFounding_) return;
  const bool unfounded = freshness_.replicas().epoch.value == 0;
  nextFounding_ = now + (unfounded ? kFoundingInterval : kQueryInterval);
  if (!unfounded) return queryNewerReplicaSet(now, effects);
  std::erase_if(foundingRounds_,
                [&](const auto& round) { return now - round.second.sentAt > kSeedAnswerValidity; });
  const bool grantedElsewhere =
      grant_.fleet != 0 && grant_.fleet != ownFleet_ && now < grant_.until;
  const bool requestsGrant = isFounder(now) && !grantedElsewhere;
  if (requestsGrant) grant_ = {settings_.self, ownFleet_, now + kGrantDuration};
  const std::uint64_t nonce = random_() | 1;
  foundingRounds_[nonce] = {now, requestsGrant};
  for (const Address& seed : settings_.seeds) {
    if (seed != settings_.self)
      effects->sends.push_back(
          {settings_.self, seed, FoundingRequest{nonce, requestsGrant ? ownFleet_ : 0}});
  }
  foundWhenGranted(now, effects);
}

AgentCore::RecoveryResult AgentCore::recover(const std::string& savedConfiguration,
                                             std::uint64_t savedVersion, Instant now,
                                             AgentEffects* effects) {
  if (!replica_ || !replica_->isVoting())
    return {"this daemon has no sound register replica: ask one with a data folder", {}, 0};
  const auto confirmed = freshness_.confirmedAt();
  if (confirmed && now - *confirmed < kRecoverAfterUnconfirmed)
    return {"the register's majority answered lately: nothing is lost", {}, 0};
  RegisterValue configuration = freshness_.configuration().value;
  if (const auto stored = replica_->valueOf(kConfigurationKey);
      stored && stored->version > configuration.version)
    configuration = *stored;
  const std::uint64_t newestKnown = std::max(configuration.version, savedVersion);
  if (!savedConfiguration.empty()) configuration.body = savedConfiguration;
  if (configuration.body.empty())
    return {
        "no configuration is known here, and the fleet's daemons serve by one: give a saved one",
        {},
        0};
  // Skips the versions that only the lost replicas may know, so that none is assigned twice.
  const RegisterValue value{
      newestKnown + kRecoveryVersionGap, WriteId{random_() | 1}, {}, configuration.body};
  const ReplicaSet& old = freshness_.replicas();
  // Far above any epoch that the abandoned register can still reach by itself.
  const Epoch epoch{((old.epoch.value / kRecoveryEpochGap) + 1) * kRecoveryEpochGap +
                    random_() % 1024};
  const ReplicaSet founded{epoch, random_() | 1, true, {{replica_->store(), settings_.self}}};
  enqueueReplicaWork(
      {replica_->recover(founded, ProposerId{settings_.nonce}, WriteId{random_() | 1}, value,
                         freshness_.replicaSetVersion() + kRecoveryVersionGap),
       std::nullopt},
      effects);
  freshness_.adopt(founded);
  return {"", founded, value.version};
}

}  // namespace quayrill
