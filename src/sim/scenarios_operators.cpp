// Scenarios about the operators' changes: an isolated machine, and competing operators.
#include <algorithm>

#include "sim/operators.h"
#include "sim/scenario.h"
#include "sim/scenarios.h"

namespace quayrill::sim {

using namespace std::chrono_literals;

namespace {
constexpr Duration kFoundingLimit = 60s;
constexpr Duration kIsolationSpan = 20s;
constexpr Duration kConfirmationMaxAge = 2s;  // a proxy serves by no older confirmation
constexpr Duration kCatchUpLimit = 5s;
constexpr double kAnswerLossRate = 0.7;

WorldSettings smallFleet(std::uint64_t seed) {
  WorldSettings settings;
  settings.seed = seed;
  settings.diskMachines = 4;
  settings.replicasWanted = 3;
  settings.edgeMachines = 3;
  settings.bootstrap = true;
  return settings;
}

// Which messages of the isolated machine are blocked.
enum class Isolation { BothDirections, Inbound, Outbound, FromReplicas };

void isolate(World& world, std::size_t machine, Isolation kind) {
  for (std::size_t other = 0; other < world.size(); ++other) {
    if (other == machine) continue;
    if (kind == Isolation::FromReplicas && other >= world.diskMachines()) continue;
    if (kind != Isolation::Outbound) world.setLinkBlocked(other, machine, true);
    if (kind != Isolation::Inbound) world.setLinkBlocked(machine, other, true);
  }
}

// When each configuration number was acknowledged: the bound for what a machine may still serve.
struct AcknowledgedNumbers {
  std::vector<std::pair<Duration, std::uint64_t>> acknowledged;  // (time, number), both rising
  void add(Duration at, std::uint64_t number) {
    if (acknowledged.empty() || number > acknowledged.back().second)
      acknowledged.emplace_back(at, number);
  }
  std::uint64_t newestBefore(Duration at) const {
    std::uint64_t newest = 0;
    for (const auto& [acknowledgedAt, number] : acknowledged) {
      if (acknowledgedAt < at) newest = number;
    }
    return newest;
  }
};

// The number of the configuration that the machine has.
std::uint64_t numberAt(World& world, std::size_t machine) {
  return decodeSimulatedBody(world.core(machine).freshness().configuration().value.body).number;
}

void countOutcomes(const Operators& operators, NamedScenarioResult* result) {
  for (const Submission& submission : operators.submissions()) {
    if (submission.confirmed)
      ++result->confirmed;
    else if (submission.refused)
      ++result->refused;
    else
      ++result->unclear;
  }
}

// The register's present body, read through any machine.
std::string readPresentBody(World& world, std::vector<std::string>* violations) {
  for (int attempt = 0; attempt < 20; ++attempt) {
    const std::uint64_t id = world.read(static_cast<std::size_t>(attempt) % world.size());
    world.run(3500ms);
    if (id == 0) continue;
    const auto& done = world.operationById(id).done;
    if (done && done->result == ChangeResult::Chosen) return done->value.body;
  }
  violations->push_back("the register did not answer after all was healed");
  return {};
}

void finish(World& world, const Operators& operators, NamedScenarioResult* result) {
  const std::string body = readPresentBody(world, &result->violations);
  for (std::string& what : operators.violations(body))
    result->violations.push_back(std::move(what));
  world.checkHistory();
  for (const Violation& violation : world.violations())
    result->violations.push_back(violation.what);
  countOutcomes(operators, result);
}
}  // namespace

NamedScenarioResult runCutOff(std::uint64_t seed, bool injectDefect) {
  NamedScenarioResult result;
  WorldSettings settings = smallFleet(seed);
  settings.injectStaleConfirm = injectDefect;
  World world(settings);
  if (!runUntilFounded(world, kFoundingLimit)) result.violations.push_back("not founded");
  Operators operators(world);
  AcknowledgedNumbers acknowledgedNumbers;
  for (const Isolation kind : {Isolation::BothDirections, Isolation::Inbound, Isolation::Outbound,
                               Isolation::FromReplicas}) {
    const std::size_t machine = world.random()() % world.diskMachines();
    const std::size_t elsewhere = (machine + 2) % world.diskMachines();
    ++result.injectedFaults;
    isolate(world, machine, kind);
    std::vector<std::size_t> sentToIsolated;
    for (Duration isolatedFor{}; isolatedFor < kIsolationSpan; isolatedFor += 500ms) {
      const std::uint64_t basis = operators.newestConfirmed();
      operators.send(operators.create(basis, basis + 1 + world.random()() % 3), elsewhere, false);
      if (isolatedFor % 2s == Duration{}) {
        sentToIsolated.push_back(operators.create(basis, basis + 1 + world.random()() % 3));
        operators.send(sentToIsolated.back(), machine, false);
      }
      for (int step = 0; step < 10; ++step) {
        operators.run(50ms);
        acknowledgedNumbers.add(world.elapsed(), operators.newestConfirmed());
        if (!world.isConfirmed(machine, kConfirmationMaxAge)) continue;
        if (numberAt(world, machine) <
            acknowledgedNumbers.newestBefore(world.elapsed() - kConfirmationMaxAge))
          result.violations.push_back("the machine cut off serves a configuration past the bound");
      }
    }
    operators.run(8s);
    for (const std::size_t submission : sentToIsolated) {
      const Submission& submitted = operators.submission(submission);
      // The first change was sent as the isolation began and may have completed.
      if (submission == sentToIsolated.front()) continue;
      if (submitted.confirmed) result.violations.push_back("a machine cut off confirmed an order");
      if (submitted.refused)
        result.violations.push_back("a machine cut off refused an order for good");
    }
    world.healAll();
    const Duration healedAt = world.elapsed();
    const auto isCaughtUp = [&] {
      return world.isConfirmed(machine, 500ms) &&
             numberAt(world, machine) >= operators.newestConfirmed();
    };
    while (!isCaughtUp() && world.elapsed() - healedAt < 60s) world.run(50ms);
    result.slowestCatchUp = std::max(result.slowestCatchUp, world.elapsed() - healedAt);
    // A change without a definite answer is sent again to another machine and must get one.
    for (const std::size_t submission : sentToIsolated) {
      if (operators.submission(submission).isAnswered) continue;
      operators.send(submission, elsewhere, false);
      ++result.resends;
      operators.run(4s);
      if (!operators.submission(submission).isAnswered)
        result.violations.push_back("an order stayed unclear");
    }
  }
  if (result.slowestCatchUp > kCatchUpLimit)
    result.violations.push_back("a machine that was cut off caught up too late");
  finish(world, operators, &result);
  return result;
}

NamedScenarioResult runRacingOperators(std::uint64_t seed, bool injectDefect) {
  NamedScenarioResult result;
  WorldSettings settings = smallFleet(seed);
  settings.messageLossRate = 0.05;
  settings.messageDuplicationRate = 0.05;
  World world(settings);
  if (!runUntilFounded(world, kFoundingLimit)) result.violations.push_back("not founded");
  Operators operators(world);
  const auto isAnswerLost = [&] {
    return std::uniform_real_distribution<>(0, 1)(world.random()) < kAnswerLossRate;
  };
  const auto randomMachine = [&] { return world.random()() % world.size(); };
  operators.injectForgetting(injectDefect);
  std::vector<std::size_t> sent;
  for (int round = 0; round < 40; ++round) {
    const std::uint64_t basis = operators.newestConfirmed();
    const std::uint64_t number = basis + 1 + world.random()() % 3;
    const std::size_t pair[] = {operators.create(basis, number), operators.create(basis, number)};
    for (int attempt = 0; attempt < 6; ++attempt) {
      for (const std::size_t submission : pair) {
        sent.push_back(submission);
        if (operators.submission(submission).isAnswered) continue;
        operators.send(submission, randomMachine(), isAnswerLost());
        if (world.random()() % 4 == 0) operators.send(submission, randomMachine(), isAnswerLost());
        result.resends += attempt > 0;
      }
      operators.run(std::chrono::milliseconds(5 * (1 + world.random()() % 200)));
    }
    // Any earlier change is sent again.
    operators.send(sent[world.random()() % sent.size()], randomMachine(), isAnswerLost());
    ++result.resends;
    ++result.injectedFaults;
  }
  operators.run(10s);
  world.healAll();
  for (std::size_t submission = 0; submission < operators.submissions().size(); ++submission) {
    operators.send(submission, randomMachine(), false);
    if (submission % 8 == 7) operators.run(4s);
    ++result.resends;
  }
  operators.run(8s);
  finish(world, operators, &result);
  return result;
}

}  // namespace quayrill::sim
