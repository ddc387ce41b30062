// Measures the control plane's cost at a given fleet size, and how long it takes to converge.
#include <ctime>

#include "sim/scenario.h"

namespace quayrill::sim {

using namespace std::chrono_literals;

namespace {
std::set<std::size_t> machinesOf(const World& world, const std::set<std::size_t>& zones) {
  std::set<std::size_t> machines;
  for (std::size_t i = 0; i < world.size(); ++i) {
    if (zones.contains(world.zoneOf(i))) machines.insert(i);
  }
  return machines;
}

// Runs the world until `condition` holds, checked every 10 ms, or until `limit` has passed. Returns
// the simulated time that it took.
template <class Condition>
Duration runUntil(World& world, Duration limit, Condition condition) {
  const Duration startedAt = world.elapsed();
  while (world.elapsed() - startedAt < limit && !condition()) world.run(10ms);
  return world.elapsed() - startedAt;
}

void measureTraffic(World& world, Duration span, SteadyResult* result) {
  const RunCounters before = world.counters();
  std::vector<std::uint64_t> bytesSentBefore, messagesReceivedBefore;
  for (std::size_t i = 0; i < world.diskMachines(); ++i) {
    bytesSentBefore.push_back(world.bytesSentBy(i));
    messagesReceivedBefore.push_back(world.messagesReceived(i));
  }
  const std::clock_t cpuBefore = std::clock();
  world.run(span);
  const double seconds = std::chrono::duration<double>(span).count();
  const double machineSeconds = seconds * static_cast<double>(world.size());
  const auto perMachine = [&](std::uint64_t count) {
    return static_cast<double>(count) / machineSeconds;
  };
  result->cpuSecondsPerMachineSecond =
      static_cast<double>(std::clock() - cpuBefore) / CLOCKS_PER_SEC / machineSeconds;
  result->messagesPerMachineSecond = perMachine(world.counters().messages - before.messages);
  result->bytesPerMachineSecond = perMachine(world.counters().bytes - before.bytes);
  for (const auto& [kind, bytes] : world.counters().bytesByKind) {
    const auto earlier = before.bytesByKind.find(kind);
    result->bytesByKind[kind] =
        perMachine(bytes - (earlier == before.bytesByKind.end() ? 0 : earlier->second));
  }
  for (std::size_t i = 0; i < world.diskMachines(); ++i) {
    result->replicaMessagesPerSecond = std::max(
        result->replicaMessagesPerSecond,
        static_cast<double>(world.messagesReceived(i) - messagesReceivedBefore[i]) / seconds);
    result->replicaBytesPerSecond =
        std::max(result->replicaBytesPerSecond,
                 static_cast<double>(world.bytesSentBy(i) - bytesSentBefore[i]) / seconds);
  }
}

// Measures how fast several changes propagate and how many bytes each costs beyond the steady
// traffic measured before.
void measureChanges(World& world, std::size_t bodyBytes, SteadyResult* result) {
  constexpr std::uint64_t kChanges = 5;
  const std::uint64_t bytesBefore = world.counters().bytes, replicaBefore = world.bytesSentBy(0);
  const Duration startedAt = world.elapsed();
  for (std::uint64_t version = 0; version < kChanges; ++version) {
    const std::uint64_t id = world.change(world.size() - 1 - version, version,
                                          std::string(bodyBytes, static_cast<char>('a' + version)));
    for (int i = 0; i < 3000 && !world.operationById(id).done; ++i) world.run(1ms);
    const Duration acknowledgedAt = world.elapsed();
    for (int i = 0; i < 10000 && !world.isInForce(version + 1); ++i) world.run(1ms);
    result->changePropagatedAfter =
        std::max(result->changePropagatedAfter, world.elapsed() - acknowledgedAt);
    world.run(1s);
  }
  const double seconds = std::chrono::duration<double>(world.elapsed() - startedAt).count();
  result->bytesPerChange =
      (static_cast<double>(world.counters().bytes - bytesBefore) -
       result->bytesPerMachineSecond * seconds * static_cast<double>(world.size())) /
      kChanges;
  result->replicaBytesPerChange = (static_cast<double>(world.bytesSentBy(0) - replicaBefore) -
                                   result->replicaBytesPerSecond * seconds) /
                                  kChanges;
}

RegionPartition measureRegionPartition(World& world, Duration span, std::size_t zones) {
  RegionPartition regionPartition;
  std::set<std::size_t> firstZones;
  for (std::size_t zone = 0; zone < (zones + 1) / 2; ++zone) firstZones.insert(zone);
  const auto majority = machinesOf(world, firstZones);
  std::vector<std::size_t> minority;
  for (std::size_t i = 0; i < world.size(); ++i) {
    if (!majority.contains(i)) minority.push_back(i);
  }
  const auto minorityConfirms = [&] {
    return std::any_of(minority.begin(), minority.end(),
                       [&](std::size_t i) { return world.isConfirmed(i, 2s); });
  };
  world.setPartitioned(majority, true);
  regionPartition.minorityClosedAfter = runUntil(world, 60s, [&] { return !minorityConfirms(); });
  const Duration until = world.elapsed() + span;
  const auto countChosen = [&](std::uint64_t id) -> std::size_t {
    return id != 0 && world.operationById(id).done &&
           world.operationById(id).done->result == ChangeResult::Chosen;
  };
  while (world.elapsed() < until) {
    ++regionPartition.changesPerSide;
    const auto versionAt = [&](std::size_t i) {
      return world.core(i).freshness().configuration().value.version;
    };
    const std::size_t majorityMachine = *majority.rbegin(), minorityMachine = minority.back();
    const auto majorityChange = world.change(majorityMachine, versionAt(majorityMachine), "larger");
    const auto minorityChange =
        world.change(minorityMachine, versionAt(minorityMachine), "smaller");
    world.run(std::min<Duration>(45s, until - world.elapsed() + 5s));
    regionPartition.chosenByMajority += countChosen(majorityChange);
    regionPartition.chosenByMinority += countChosen(minorityChange);
    regionPartition.minorityStayedClosed =
        regionPartition.minorityStayedClosed && !minorityConfirms();
  }
  world.healAll();
  regionPartition.reconvergedAfter =
      runUntil(world, 600s, [&] { return world.isConverged() && world.isMembershipComplete(); });
  return regionPartition;
}
}  // namespace

SteadyResult runSteady(const WorldSettings& settings, const SteadySettings& steady) {
  World world(settings);
  SteadyResult result;
  result.founded = runUntilFounded(world, 120s);
  for (std::size_t i = 0; i < steady.leaderRoles; ++i)
    world.addLeaderRole("orders/10.0.0.1:" + std::to_string(10000 + i));
  if (steady.leaderRoles > 0) world.run(10s);
  measureTraffic(world, steady.span, &result);
  measureChanges(world, steady.bodyBytes, &result);

  std::set<std::size_t> side;
  for (std::size_t i = 0; i < world.size(); i += 2) side.insert(i);
  world.setPartitioned(side, true);
  world.run(20s);
  world.healAll();
  const auto hasConverged = [&] { return world.isConverged() && world.isMembershipComplete(); };
  result.reconvergedAfterPartition = runUntil(world, 600s, hasConverged);

  const auto zone = machinesOf(world, {settings.zones - 1});
  world.setPartitioned(zone, true);
  result.zoneLossDetectedAfter = runUntil(world, 60s, [&] {
    for (std::size_t i = 0; i < world.size(); ++i) {
      if (!zone.contains(i) && world.liveMachinesSeenBy(i) != world.size() - zone.size())
        return false;
    }
    return true;
  });
  world.run(20s);
  world.healAll();
  result.zoneRejoinedAfter = runUntil(world, 600s, hasConverged);
  result.hasRegions = steady.partitionSpan > Duration{};
  if (result.hasRegions)
    result.regionPartition = measureRegionPartition(world, steady.partitionSpan, settings.zones);
  world.read(0);
  world.run(4s);
  world.checkHistory();
  result.violations = world.violations();
  return result;
}

}  // namespace quayrill::sim
