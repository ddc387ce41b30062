// How a fleet's register comes to be: founded, and founded again after the loss of its majority.
#include <algorithm>

#include "agent/core/agent_core.h"

namespace quayrill {

using namespace std::chrono_literals;

namespace {
constexpr Span kRefoundAfter = 10s;
constexpr Span kAskAroundAfter = 1500ms;
constexpr Span kFoundingWait = 3s;
constexpr std::uint64_t kRefoundVersions = 1000000;
constexpr std::uint64_t kRefoundEpochs = 1 << 20;
}  // namespace

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
  // Daemons that serve a fleet without its register tell the seeds of it in this time.
  const bool mayHaveHeard = startedAt_ != Instant{} && now - startedAt_ >= kFoundingWait;
  if (!allSaid || !mayFound() || grantedElsewhere || !mayHaveHeard) return;
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

// A daemon that can't confirm may know a copy set that nobody uses any more: all of it moved while
// it was cut off, or the register was founded again elsewhere. Others may know a newer one.
void AgentCore::askAround(Instant now, AgentEffects* effects) {
  const auto confirmed = freshness_.confirmedAt();
  if (confirmed && now - *confirmed < kAskAroundAfter) return;
  for (const Address& known :
       {membership_.randomNeighbour(),
        boot_.seeds.empty() ? Address{} : boot_.seeds[random_() % boot_.seeds.size()]}) {
    if (known == Address{} || known == boot_.self) continue;
    effects->sends.push_back({boot_.self, known, FoundAsk{0, false}});
    // Seeds that lost their disks all at once must not take the fleet for unfounded.
    effects->sends.push_back({boot_.self, known, FoundAnswer{0, false, freshness_.copies()}});
  }
}

void AgentCore::tickFounding(Instant now, AgentEffects* effects) {
  if (now < nextFounding_) return;
  nextFounding_ = now + 500ms;
  if (freshness_.copies().epoch.value > 0) return askAround(now, effects);
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
