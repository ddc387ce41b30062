// Changes to the register's body that build on what stands there.
#include <glog/logging.h>

#include "agent/agent.h"
#include "register/amending.h"

namespace quayrill {

using namespace std::chrono_literals;

namespace {
constexpr Span kAmendDue = 3500ms;
constexpr Span kHeardWithin = 2s;  // ours: several rounds of confirming
}  // namespace

bool Agent::hearsRegister() const {
  const auto confirmed = core_->freshness().confirmedAt();
  return confirmed && BootClock::now() - *confirmed < kHeardWithin;
}

bool Agent::hasCopiesToSpare() const {
  return core_->freshness().copies().members.size() >= std::min<std::size_t>(3, boot_.copiesWanted);
}

awaitable<AmendDone> Agent::amendSpec(Amendment change) {
  if (!hearsRegister())
    co_return AmendDone{AmendResult::NotTaken, "no majority of register copies is heard here"};
  if (!hasCopiesToSpare())
    co_return AmendDone{AmendResult::NotTaken,
                        "too few register copies to survive the loss of one"};
  Amending amending(std::move(change), kBodyLimit, BootClock::now() + kAmendDue);
  for (;;) {
    const std::optional<ChangeAsked> asked = amending.next(BootClock::now());
    if (!asked) break;
    const ChangeDone answer = co_await ask(*asked);
    amending.onAnswer(answer);
  }
  if (amending.done()->result == AmendResult::Taken) LOG(INFO) << "change of the spec acknowledged";
  co_return *amending.done();
}

}  // namespace quayrill
