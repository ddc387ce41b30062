// The scenario about register replicas: hundreds of changes while replicas restart and their disks
// fail. Also the table of all named scenarios.
#include <algorithm>

#include "sim/operators.h"
#include "sim/scenario.h"
#include "sim/scenarios.h"

namespace quayrill::sim {

using namespace std::chrono_literals;

namespace {
constexpr std::size_t kChanges = 600;
constexpr std::size_t kChangesPerFault = 30;
constexpr std::size_t kBodyBytes = 16 << 10;
constexpr Duration kFaultSpan = 6s;
constexpr Duration kRecoveryLimit = 30s;

// What happens to a machine and its disk.
enum class ReplicaFault { Kill, PowerLoss, DiskWiped, DiskSlow, DiskStalled, DiskFailing, Count };

void inject(World& world, std::size_t machine, ReplicaFault fault) {
  switch (fault) {
    case ReplicaFault::Kill:
      return world.crash(machine, false);
    case ReplicaFault::PowerLoss:
      return world.crash(machine, true);
    case ReplicaFault::DiskWiped:
      world.crash(machine, true);
      return world.wipeDisk(machine);
    case ReplicaFault::DiskSlow:
      return world.setDiskDelay(machine, 400ms);
    case ReplicaFault::DiskStalled:
      return world.setDiskDelay(machine, kFaultSpan);
    case ReplicaFault::DiskFailing:
      return world.setDiskFailing(machine, true);
    case ReplicaFault::Count:
      return;
  }
}

// True if the machine's replica votes: it is writable, and its store is in a settled replica set.
bool isVotingMember(World& world, std::size_t machine) {
  if (!world.isUp(machine) || !world.core(machine).isWritable()) return false;
  const ReplicaSet& replicas = world.core(machine).freshness().replicas();
  const StoreId store = world.core(machine).store();
  return replicas.settled &&
         std::any_of(replicas.members.begin(), replicas.members.end(),
                     [&](const ReplicaMember& member) { return member.store == store; });
}

// Submits one change on top of the newest, through random machines, until it gets a definite
// answer. Returns whether it was confirmed.
bool submitChange(World& world, Operators* operators, NamedScenarioResult* result) {
  const std::uint64_t basis = operators->newestConfirmed();
  const std::size_t submission = operators->create(basis, basis + 1);
  for (int attempt = 0; attempt < 60; ++attempt) {
    const std::size_t machine = world.random()() % world.size();
    operators->send(submission, machine, false);
    result->resends += attempt > 0;
    for (int step = 0; step < 100 && !operators->submission(submission).isAnswered; ++step) {
      operators->run(10ms);
      if (operators->isIdle()) break;
    }
    if (operators->submission(submission).isAnswered)
      return operators->submission(submission).confirmed;
  }
  return false;
}
}  // namespace

NamedScenarioResult runManyChanges(std::uint64_t seed, bool injectDefect) {
  NamedScenarioResult result;
  WorldSettings settings;
  settings.seed = seed;
  settings.diskMachines = 3;
  settings.edgeMachines = 2;
  settings.injectReusedStore = injectDefect;
  World world(settings);
  if (!runUntilFounded(world, 60s)) result.violations.push_back("not founded");
  Operators operators(world);
  operators.setPadding(kBodyBytes);
  std::size_t machine = 0;
  for (std::size_t change = 0; change < kChanges; ++change) {
    const bool startsFault = change % kChangesPerFault == kChangesPerFault - 1;
    if (!startsFault) {
      if (!submitChange(world, &operators, &result)) result.violations.push_back("a change failed");
      continue;
    }
    const auto kinds = static_cast<std::size_t>(ReplicaFault::Count);
    const auto fault = static_cast<ReplicaFault>(result.injectedFaults++ % kinds);
    machine = (machine + 1) % world.diskMachines();
    inject(world, machine, fault);
    const Duration until = world.elapsed() + kFaultSpan;
    while (world.elapsed() < until) {
      if (!submitChange(world, &operators, &result)) result.violations.push_back("a change failed");
    }
    const Duration healedAt = world.elapsed();
    world.healAll();
    Duration caughtUpAfter{}, votingAfter{};
    while (world.elapsed() - healedAt < kRecoveryLimit &&
           (caughtUpAfter == Duration{} || votingAfter == Duration{})) {
      world.run(20ms);
      const Duration sinceHeal = world.elapsed() - healedAt;
      const std::uint64_t number =
          decodeSimulatedBody(world.core(machine).freshness().configuration().value.body).number;
      const bool isNewest = number >= operators.newestConfirmed();
      if (caughtUpAfter == Duration{} && isNewest && world.isConfirmed(machine, 500ms))
        caughtUpAfter = sinceHeal;
      if (votingAfter == Duration{} && isVotingMember(world, machine)) votingAfter = sinceHeal;
    }
    if (caughtUpAfter == Duration{} || votingAfter == Duration{})
      result.violations.push_back("a replica never came back after trouble " +
                                  std::to_string(static_cast<int>(fault)));
    result.slowestCatchUp = std::max(result.slowestCatchUp, caughtUpAfter);
    result.slowestVotingRestore = std::max(result.slowestVotingRestore, votingAfter);
  }
  world.run(4s);
  const std::uint64_t id = world.read(0);
  world.run(4s);
  const auto& done = world.operationById(id).done;
  const std::string body = done && done->result == ChangeResult::Chosen ? done->value.body : "";
  for (std::string& what : operators.violations(body)) result.violations.push_back(std::move(what));
  world.checkHistory();
  for (const Violation& violation : world.violations()) result.violations.push_back(violation.what);
  for (const Submission& submission : operators.submissions())
    result.confirmed += submission.confirmed;
  return result;
}

const std::vector<NamedScenario>& namedScenarios() {
  static const std::vector<NamedScenario> kAll = {
      {"cut-off", "a control machine cut off for 20 s while changes go on", runCutOff},
      {"racing-operators", "two operators under one number, 7 of 10 answers lost",
       runRacingOperators},
      {"many-changes", "600 changes while replicas restart and disks fail", runManyChanges}};
  return kAll;
}

}  // namespace quayrill::sim
