// Scenarios about orders: a control machine that is cut off, and operators that race.
#include <algorithm>

#include "sim/operators.h"
#include "sim/scenario.h"
#include "sim/scenarios.h"

namespace quayrill::sim {

using namespace std::chrono_literals;

namespace {
constexpr Span kFoundingLimit = 60s;
constexpr Span kCutSpan = 20s;
constexpr Span kServedWithin = 2s;  // a proxy's limit on an unconfirmed configuration
constexpr Span kCatchUpLimit = 5s;
constexpr double kAnswersLost = 0.7;

WorldSettings smallCore(std::uint64_t seed) {
  WorldSettings settings;
  settings.seed = seed;
  settings.diskMachines = 4;
  settings.replicasWanted = 3;
  settings.edgeMachines = 3;
  settings.bootstrap = true;
  return settings;
}

enum class Cut { BothWays, Inward, Outward, FromReplicas };

void cutOff(World& world, std::size_t machine, Cut kind) {
  for (std::size_t other = 0; other < world.size(); ++other) {
    if (other == machine) continue;
    if (kind == Cut::FromReplicas && other >= world.diskMachines()) continue;
    if (kind != Cut::Outward) world.setLinkBlocked(other, machine, true);
    if (kind != Cut::Inward) world.setLinkBlocked(machine, other, true);
  }
}

// Versions of the register as they were acknowledged, to judge what a machine serves.
struct Served {
  std::vector<std::pair<Span, std::uint64_t>> acknowledged;
  void note(Span at, std::uint64_t number) {
    if (acknowledged.empty() || number > acknowledged.back().second)
      acknowledged.emplace_back(at, number);
  }
  std::uint64_t newestBefore(Span at) const {
    std::uint64_t newest = 0;
    for (const auto& [when, number] : acknowledged) {
      if (when < at) newest = number;
    }
    return newest;
  }
};

std::uint64_t numberAt(World& world, std::size_t machine) {
  return decodeSimulatedBody(world.core(machine).freshness().configuration().value.body).number;
}

void note(const Operators& operators, NamedScenarioResult* result) {
  for (const Submission& submission : operators.submissions()) {
    if (submission.confirmed)
      ++result->confirmed;
    else if (submission.refused)
      ++result->refused;
    else
      ++result->unclear;
  }
}

// A settled read through any machine.
std::string standing(World& world, std::vector<std::string>* violations) {
  for (int tries = 0; tries < 20; ++tries) {
    const std::uint64_t id = world.read(static_cast<std::size_t>(tries) % world.size());
    world.run(3500ms);
    if (id == 0) continue;
    const auto& done = world.operationById(id).done;
    if (done && done->result == ChangeResult::Chosen) return done->value.body;
  }
  violations->push_back("the register did not answer after all was healed");
  return {};
}

void finish(World& world, const Operators& operators, NamedScenarioResult* result) {
  const std::string body = standing(world, &result->violations);
  for (std::string& what : operators.violations(body))
    result->violations.push_back(std::move(what));
  world.checkHistory();
  for (const Violation& violation : world.violations())
    result->violations.push_back(violation.what);
  note(operators, result);
}
}  // namespace

NamedScenarioResult runCutOff(std::uint64_t seed, bool plant) {
  NamedScenarioResult result;
  WorldSettings settings = smallCore(seed);
  settings.injectStaleConfirm = plant;
  World world(settings);
  if (!runUntilFounded(world, kFoundingLimit)) result.violations.push_back("not founded");
  Operators operators(world);
  Served served;
  for (const Cut kind : {Cut::BothWays, Cut::Inward, Cut::Outward, Cut::FromReplicas}) {
    const std::size_t machine = world.random()() % world.diskMachines();
    const std::size_t elsewhere = (machine + 2) % world.diskMachines();
    ++result.injectedFaults;
    cutOff(world, machine, kind);
    std::vector<std::size_t> there;  // orders that were sent to the machine cut off
    for (Span past{}; past < kCutSpan; past += 500ms) {
      const std::uint64_t basis = operators.newestConfirmed();
      operators.send(operators.create(basis, basis + 1 + world.random()() % 3), elsewhere, false);
      if (past % 2s == Span{}) {
        there.push_back(operators.create(basis, basis + 1 + world.random()() % 3));
        operators.send(there.back(), machine, false);
      }
      for (int step = 0; step < 10; ++step) {
        operators.run(50ms);
        served.note(world.elapsed(), operators.newestConfirmed());
        if (!world.isConfirmed(machine, kServedWithin)) continue;
        if (numberAt(world, machine) < served.newestBefore(world.elapsed() - kServedWithin))
          result.violations.push_back("the machine cut off serves a configuration past the bound");
      }
    }
    operators.run(8s);
    for (const std::size_t submission : there) {
      const Submission& asked = operators.submission(submission);
      // What it was asked just as it was cut off may have been settled.
      if (submission == there.front()) continue;
      if (asked.confirmed) result.violations.push_back("a machine cut off confirmed an order");
      if (asked.refused) result.violations.push_back("a machine cut off refused an order for good");
    }
    world.healAll();
    const Span healed = world.elapsed();
    const auto isCaughtUp = [&] {
      return world.isConfirmed(machine, 500ms) &&
             numberAt(world, machine) >= operators.newestConfirmed();
    };
    while (!isCaughtUp() && world.elapsed() - healed < 60s) world.run(50ms);
    result.slowestCatchUp = std::max(result.slowestCatchUp, world.elapsed() - healed);
    // What had no clear answer there is sent again elsewhere and gets one.
    for (const std::size_t submission : there) {
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

NamedScenarioResult runRacingOperators(std::uint64_t seed, bool plant) {
  NamedScenarioResult result;
  WorldSettings settings = smallCore(seed);
  settings.messageLossRate = 0.05;
  settings.messageDuplicationRate = 0.05;
  World world(settings);
  if (!runUntilFounded(world, kFoundingLimit)) result.violations.push_back("not founded");
  Operators operators(world);
  const auto isLost = [&] {
    return std::uniform_real_distribution<>(0, 1)(world.random()) < kAnswersLost;
  };
  const auto anyMachine = [&] { return world.random()() % world.size(); };
  operators.injectForgetting(plant);
  std::vector<std::size_t> all;
  for (int round = 0; round < 40; ++round) {
    const std::uint64_t basis = operators.newestConfirmed();
    const std::uint64_t number = basis + 1 + world.random()() % 3;
    const std::size_t pair[] = {operators.create(basis, number), operators.create(basis, number)};
    for (int tries = 0; tries < 6; ++tries) {
      for (const std::size_t submission : pair) {
        all.push_back(submission);
        if (operators.submission(submission).isAnswered) continue;
        operators.send(submission, anyMachine(), isLost());
        if (world.random()() % 4 == 0) operators.send(submission, anyMachine(), isLost());
        result.resends += tries > 0;
      }
      operators.run(std::chrono::milliseconds(5 * (1 + world.random()() % 200)));
    }
    // An order of long ago comes again.
    operators.send(all[world.random()() % all.size()], anyMachine(), isLost());
    ++result.resends;
    ++result.injectedFaults;
  }
  operators.run(10s);
  world.healAll();
  for (std::size_t submission = 0; submission < operators.submissions().size(); ++submission) {
    operators.send(submission, anyMachine(), false);
    if (submission % 8 == 7) operators.run(4s);
    ++result.resends;
  }
  operators.run(8s);
  finish(world, operators, &result);
  return result;
}

}  // namespace quayrill::sim
