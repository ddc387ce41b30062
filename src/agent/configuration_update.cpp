// Changes to the configuration that are based on its current value (read, modify, propose).

#include "agent/agent.h"
#include "agent/view.h"
#include "net/log.h"
#include "register/update_operation.h"

namespace quayrill {

using namespace std::chrono_literals;

namespace {
constexpr Duration kUpdateTimeout = 3500ms;
constexpr Duration kRegisterContactMaxAge = 2s;  // several confirmation rounds
}  // namespace

bool Agent::isRegisterReachable() const {
  const auto confirmedAt = core_->freshness().confirmedAt();
  return confirmedAt && BootClock::now() - *confirmedAt < kRegisterContactMaxAge;
}

bool Agent::hasReplicasToSpare() const {
  return core_->freshness().replicas().members.size() >=
         std::min<std::size_t>(3, settings_.replicasWanted);
}

// Some servers run a request although its connection was closed, so what the data planes end may
// start all the same. The later the change is acknowledged, the fewer requests are left to do so.
awaitable<void> Agent::awaitIsolation() {
  const Duration span = settings_.applyLimit - kStartDeadlineMargin;
  while (isolatedAt_ && BootClock::now() < *isolatedAt_ + span)
    co_await pauseFor(*isolatedAt_ + span - BootClock::now());
}

awaitable<UpdateOutcome> Agent::updateConfiguration(Update change) {
  if (!isRegisterReachable())
    co_return UpdateOutcome{UpdateResult::NotApplied,
                            "no majority of register replicas is heard here"};
  if (!hasReplicasToSpare())
    co_return UpdateOutcome{UpdateResult::NotApplied,
                            "too few register replicas to survive the loss of one"};
  UpdateOperation updateOperation(std::move(change), kRegisterBodyLimit,
                                  BootClock::now() + kUpdateTimeout);
  for (;;) {
    const std::optional<ChangeRequest> request = updateOperation.next(BootClock::now());
    if (!request) break;
    const ChangeOutcome answer = co_await submitChange(*request);
    updateOperation.onAnswer(answer);
  }
  const UpdateResult result = updateOperation.done()->result;
  if (result == UpdateResult::Applied || result == UpdateResult::AlreadyApplied)
    co_await awaitIsolation();
  if (result == UpdateResult::Applied) LOG_LINE(kInfo) << "configuration change acknowledged";
  co_return *updateOperation.done();
}

}  // namespace quayrill
