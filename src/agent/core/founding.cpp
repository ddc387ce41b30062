// How a fleet's register comes to be: founded, and founded again after the loss of its majority.
#include <algorithm>

#include "agent/core/agent_core.h"

namespace quayrill {

using namespace std::chrono_literals;

namespace {
constexpr Span kRefoundAfter = 10s;
constexpr Span kAskAroundAfter = 1500ms;
constexpr Span kAskAroundEvery = 500ms;
constexpr Span kUnfoundedEvery = 150ms;
constexpr Span kGrantSpan = 10s;
constexpr Span kSaidSpan = 2s;  // far below kGrantSpan: what a seed said still binds it
constexpr char kGrant[] = "grant";
constexpr std::uint64_t kRefoundVersions = 1000000;
constexpr std::uint64_t kRefoundEpochs = 1 << 20;

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

void AgentCore::answerFounder(const Address& from, const FoundAsk& ask, Instant now,
                              AgentEffects* effects) {
  const bool free = grant_.fleet == 0 || now >= grant_.until || grant_.to == from;
  const bool unfounded = copy_ && copy_->isVoting() && freshness_.copies().epoch.value == 0 &&
                         (free || ask.fleet == 0);
  const Envelope answer{boot_.self, from,
                        FoundAnswer{ask.nonce, unfounded, boot_.mayFound,
                                    copy_ ? copy_->store() : StoreId{}, freshness_.copies()}};
  if (!unfounded || ask.fleet == 0) {
    effects->sends.push_back(answer);
    return;
  }
  if (isCopyFull()) return;  // the founder asks again
  CopyWork work{{}, answer};
  if (grant_.to != from || grant_.fleet != ask.fleet)
    work.writes.push_back({kGrant, encodeValue(GrantRow{from, ask.fleet})});
  grant_ = {from, ask.fleet, now + kGrantSpan};
  hand(std::move(work), effects);
}

// Epoch 1 is the only one that is founded without the register. A machine that gave its grant to
// one founding takes no other that is still on its way, such as that of a founder's earlier life.
bool AgentCore::mayAdopt(const CopySet& copies, Instant now) const {
  const bool isFounding = copies.epoch.value == 1 && freshness_.copies().epoch.value == 0;
  return !isFounding || grant_.fleet == 0 || now >= grant_.until || grant_.fleet == copies.fleet;
}

// An empty machine whose seeds know a fleet learns it here and joins; it never founds another.
void AgentCore::handleFounding(const Envelope& envelope, Instant now, AgentEffects* effects) {
  if (const auto* ask = std::get_if<FoundAsk>(&envelope.body))
    return answerFounder(envelope.from, *ask, now, effects);
  const auto& answer = std::get<FoundAnswer>(envelope.body);
  adopt(answer.copies, now, effects);
  const auto round = foundingRounds_.find(answer.nonce);
  if (!copy_ || !answer.unfounded || round == foundingRounds_.end()) return;
  SeedSaid& said = said_[envelope.from];
  if (said.askedAt <= round->second.sentAt)
    said = {round->second.sentAt, round->second.wantsGrant, answer.mayFound, answer.store};
  foundWhenGranted(now, effects);
}

// Two lists that each keep more than half of the first one have a seed of it in common, and that
// seed grants one founding at a time.
bool AgentCore::keepsMostFirstSeeds() const {
  const auto kept =
      std::count_if(firstSeeds_.begin(), firstSeeds_.end(), [this](const Address& seed) {
        return std::find(boot_.seeds.begin(), boot_.seeds.end(), seed) != boot_.seeds.end();
      });
  return 2 * static_cast<std::size_t>(kept) > firstSeeds_.size();
}

// The lowest of the seeds founds, or the next where the lower ones say that they never will.
bool AgentCore::isFounder(Instant now) const {
  if (!boot_.mayFound || !copy_ || !copy_->isVoting() || !keepsMostFirstSeeds()) return false;
  bool isSeed = false;
  for (const Address& seed : boot_.seeds) {
    isSeed = isSeed || seed == boot_.self;
    if (seed >= boot_.self) continue;
    const auto said = said_.find(seed);
    if (said == said_.end() || now - said->second.askedAt > kSaidSpan || said->second.mayFound)
      return false;
  }
  return isSeed;
}

// All seeds gave this life's fleet their grant, so all of them are its first copies: at once, under
// one epoch, which is settled since there was none before it.
void AgentCore::foundWhenGranted(Instant now, AgentEffects* effects) {
  if (freshness_.copies().epoch.value > 0 || !isFounder(now) || grant_.fleet != ownFleet_) return;
  // Daemons that serve a fleet without its register tell the seeds of it in this time.
  if (startedAt_ == Instant{} || now - startedAt_ < boot_.foundingWait) return;
  CopySet founded{Epoch{1}, ownFleet_, true, {{copy_->store(), boot_.self}}};
  for (const Address& seed : boot_.seeds) {
    if (seed == boot_.self) continue;
    const auto said = said_.find(seed);
    if (said == said_.end() || !said->second.granted || now - said->second.askedAt > kSaidSpan)
      return;
    if (founded.members.size() < boot_.copiesWanted)
      founded.members.push_back({said->second.store, seed});
  }
  std::sort(founded.members.begin(), founded.members.end());
  adopt(founded, now, effects);
  begin({{}, kCopySetKey, false, 0, encodeValue(founded), {}, now + 5s}, Purpose::Copies, now,
        effects);
}

// A daemon that can't confirm may know a copy set that nobody uses any more: all of it moved while
// it was cut off, or the register was founded again elsewhere. Others may know a newer one.
void AgentCore::askAround(Instant now, AgentEffects* effects) {
  const auto confirmed = freshness_.confirmedAt();
  if (confirmed && now - *confirmed < kAskAroundAfter) return;
  for (const Address& known :
       {membership_.randomNeighbour(),
        boot_.seeds.empty() ? Address{} : boot_.seeds[random_() % boot_.seeds.size()]}) {
    if (known == Address{} || known == boot_.self) continue;
    effects->sends.push_back({boot_.self, known, FoundAsk{0, 0}});
    // Seeds that lost their disks all at once must not take the fleet for unfounded.
    effects->sends.push_back(
        {boot_.self, known, FoundAnswer{0, false, false, {}, freshness_.copies()}});
  }
}

void AgentCore::tickFounding(Instant now, AgentEffects* effects) {
  if (grant_.until == Instant::max()) grant_.until = now + kGrantSpan;
  if (now < nextFounding_) return;
  const bool unfounded = freshness_.copies().epoch.value == 0;
  nextFounding_ = now + (unfounded ? kUnfoundedEvery : kAskAroundEvery);
  if (!unfounded) return askAround(now, effects);
  std::erase_if(foundingRounds_,
                [&](const auto& round) { return now - round.second.sentAt > kSaidSpan; });
  const bool grantedElsewhere =
      grant_.fleet != 0 && grant_.fleet != ownFleet_ && now < grant_.until;
  const bool wantsGrant = isFounder(now) && !grantedElsewhere;
  if (wantsGrant) grant_ = {boot_.self, ownFleet_, now + kGrantSpan};
  const std::uint64_t nonce = random_() | 1;
  foundingRounds_[nonce] = {now, wantsGrant};
  for (const Address& seed : boot_.seeds) {
    if (seed != boot_.self)
      effects->sends.push_back({boot_.self, seed, FoundAsk{nonce, wantsGrant ? ownFleet_ : 0}});
  }
  foundWhenGranted(now, effects);
}

AgentCore::Refounded AgentCore::refound(const std::string& given, std::uint64_t givenVersion,
                                        Instant now, AgentEffects* effects) {
  if (!copy_ || !copy_->isVoting())
    return {"this daemon has no sound register copy: ask one with a data folder", {}, 0};
  const auto confirmed = freshness_.confirmedAt();
  if (confirmed && now - *confirmed < kRefoundAfter)
    return {"the register's majority answered lately: nothing is lost", {}, 0};
  RegisterValue spec = freshness_.spec().value;
  if (const auto kept = copy_->valueOf(kSpecKey); kept && kept->version > spec.version)
    spec = *kept;
  const std::uint64_t known = std::max(spec.version, givenVersion);
  if (!given.empty()) spec.body = given;
  if (spec.body.empty())
    return {"no spec is known here, and the fleet's daemons serve by one: give a saved one", {}, 0};
  // Versions that only the lost copies knew must never be given twice.
  const RegisterValue value{known + kRefoundVersions, WriteId{random_() | 1}, {}, spec.body};
  const CopySet& old = freshness_.copies();
  // Far above every epoch that the given-up register may still reach by itself.
  const Epoch epoch{((old.epoch.value / kRefoundEpochs) + 1) * kRefoundEpochs + random_() % 1024};
  const CopySet founded{epoch, random_() | 1, true, {{copy_->store(), boot_.self}}};
  hand({copy_->refound(founded, ProposerId{boot_.nonce}, WriteId{random_() | 1}, value,
                       freshness_.copySetVersion() + kRefoundVersions),
        std::nullopt},
       effects);
  freshness_.adopt(founded);
  return {"", founded, value.version};
}

}  // namespace quayrill
