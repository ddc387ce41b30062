// Scenarios about copies: hundreds of changes while each of them restarts and its disk fails.
#include <algorithm>

#include "sim/operators.h"
#include "sim/scenario.h"
#include "sim/scenarios.h"

namespace quayrill::sim {

using namespace std::chrono_literals;

namespace {
constexpr std::size_t kChanges = 600;
constexpr std::size_t kChangesBetween = 30;  // from one trouble to the next
constexpr std::size_t kBodyBytes = 16 << 10;
constexpr Span kTroubleSpan = 6s;
constexpr Span kBackLimit = 30s;

enum class Trouble { Kill, PowerLoss, Emptied, Slow, Stalled, Failing, Count };

void begin(World& world, std::size_t machine, Trouble trouble) {
  switch (trouble) {
    case Trouble::Kill:
      return world.crash(machine, false);
    case Trouble::PowerLoss:
      return world.crash(machine, true);
    case Trouble::Emptied:
      world.crash(machine, true);
      return world.wipeDisk(machine);
    case Trouble::Slow:
      return world.setDiskDelay(machine, 400ms);
    case Trouble::Stalled:
      return world.setDiskDelay(machine, kTroubleSpan);
    case Trouble::Failing:
      return world.setDiskFailing(machine, true);
    case Trouble::Count:
      return;
  }
}

// The replica of the machine votes: it may write, and a settled set names its store.
bool votes(World& world, std::size_t machine) {
  if (!world.isUp(machine) || !world.core(machine).isWritable()) return false;
  const ReplicaSet& replicas = world.core(machine).freshness().replicas();
  const StoreId store = world.core(machine).store();
  return replicas.settled &&
         std::any_of(replicas.members.begin(), replicas.members.end(),
                     [&](const ReplicaMember& member) { return member.store == store; });
}

// Makes one change on top of the newest, through any machine that is up, until it is confirmed.
bool makeChange(World& world, Operators* operators, NamedScenarioResult* result) {
  const std::uint64_t basis = operators->newestConfirmed();
  const std::size_t submission = operators->create(basis, basis + 1);
  for (int tries = 0; tries < 60; ++tries) {
    const std::size_t machine = world.random()() % world.size();
    operators->send(submission, machine, false);
    result->resends += tries > 0;
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

NamedScenarioResult runManyChanges(std::uint64_t seed, bool plant) {
  NamedScenarioResult result;
  WorldSettings settings;
  settings.seed = seed;
  settings.diskMachines = 3;
  settings.edgeMachines = 2;
  settings.injectReusedStore = plant;
  World world(settings);
  if (!runUntilFounded(world, 60s)) result.violations.push_back("not founded");
  Operators operators(world);
  operators.setPadding(kBodyBytes);
  std::size_t machine = 0;
  for (std::size_t change = 0; change < kChanges; ++change) {
    const bool isTrouble = change % kChangesBetween == kChangesBetween - 1;
    if (!isTrouble) {
      if (!makeChange(world, &operators, &result)) result.violations.push_back("a change failed");
      continue;
    }
    const auto kinds = static_cast<std::size_t>(Trouble::Count);
    const auto trouble = static_cast<Trouble>(result.injectedFaults++ % kinds);
    machine = (machine + 1) % world.diskMachines();
    begin(world, machine, trouble);
    const Span until = world.elapsed() + kTroubleSpan;
    while (world.elapsed() < until) {
      if (!makeChange(world, &operators, &result)) result.violations.push_back("a change failed");
    }
    const Span ended = world.elapsed();
    world.healAll();
    Span caughtUp{}, voting{};
    while (world.elapsed() - ended < kBackLimit && (caughtUp == Span{} || voting == Span{})) {
      world.run(20ms);
      const Span past = world.elapsed() - ended;
      const std::uint64_t number =
          decodeSimulatedBody(world.core(machine).freshness().configuration().value.body).number;
      const bool isNewest = number >= operators.newestConfirmed();
      if (caughtUp == Span{} && isNewest && world.isConfirmed(machine, 500ms)) caughtUp = past;
      if (voting == Span{} && votes(world, machine)) voting = past;
    }
    if (caughtUp == Span{} || voting == Span{})
      result.violations.push_back("a replica never came back after trouble " +
                                  std::to_string(static_cast<int>(trouble)));
    result.slowestCatchUp = std::max(result.slowestCatchUp, caughtUp);
    result.slowestVotingRestore = std::max(result.slowestVotingRestore, voting);
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
