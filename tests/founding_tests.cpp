// A seed's grant to a founder survives a restart of the seed, and is on disk before it is answered.
#include <catch2/catch.hpp>

#include <algorithm>

#include "agent/core/agent_core.h"
#include "sim/scenario.h"

using namespace quayrill;
using namespace std::chrono_literals;

namespace {
const Address kFounder{"10.0.0.1:7"}, kSeed{"10.0.0.2:7"}, kOther{"10.0.0.3:7"};
constexpr std::uint64_t kEarlierFleet = 55, kGrantedFleet = 77;

AgentSettings seedSettings() {
  AgentSettings settings;
  settings.self = kSeed;
  settings.zone = "zone";
  settings.seeds = {kFounder, kSeed, kOther};
  settings.nonce = 9;
  settings.replicasWanted = 3;
  return settings;
}

// A seed process with its disk: each unit of replica work is synced, then its answer is sent.
struct Seed {
  std::map<std::string, std::string> disk;
  std::optional<AgentCore> core;
  std::vector<Envelope> answers;
  std::size_t answersAtOnce = 0;  // answers sent before any sync

  void start() {
    core.emplace(seedSettings(), disk);
    sync(core->start());
  }
  void sync(const std::vector<ReplicaWork>& replicaWork) {
    for (const ReplicaWork& work : replicaWork) {
      for (const DiskWrite& write : work.writes) disk[write.key] = write.bytes;
      if (work.answer) answers.push_back(*work.answer);
      core->onReplicaWorkDone();
    }
  }
  void receive(const Address& from, Message body, Instant now, bool losesPower = false) {
    AgentEffects effects;
    core->onMessage({from, kSeed, std::move(body)}, now, &effects);
    answersAtOnce += effects.sends.size();
    answers.insert(answers.end(), effects.sends.begin(), effects.sends.end());
    if (!losesPower) sync(effects.replicaWork);
  }
  ReplicaSet foundedSet(std::uint64_t fleet) const {
    ReplicaSet set{Epoch{1}, fleet, true, {}};
    set.members = {{StoreId{1}, kFounder}, {core->store(), kSeed}, {StoreId{3}, kOther}};
    std::sort(set.members.begin(), set.members.end());
    return set;
  }
  void receiveFounding(std::uint64_t fleet, Instant now) {
    const Ballot ballot{Epoch{1}, 1, ProposerId{4}};
    receive(kFounder,
            Prepare{OperationId{1}, kReplicaSetKey, ballot, core->store(), foundedSet(fleet)}, now);
  }
};
}  // namespace

TEST_CASE("founding: the grant is on the disk before the answer leaves") {
  Seed seed;
  seed.start();
  seed.receive(kFounder, FoundingRequest{1, kGrantedFleet}, Instant{10s}, /*losesPower=*/true);
  CHECK(seed.answersAtOnce == 0);
  CHECK(seed.answers.empty());
  seed.receive(kFounder, FoundingRequest{2, kGrantedFleet}, Instant{10s});
  REQUIRE(seed.answers.size() == 1);
  const auto& answer = std::get<FoundingResponse>(seed.answers[0].body);
  CHECK(answer.unfounded);
  CHECK(answer.nonce == 2);
}

TEST_CASE("founding: a seed that restarts takes no founding but the one that it granted") {
  Seed seed;
  seed.start();
  seed.receive(kFounder, FoundingRequest{1, kEarlierFleet}, Instant{10s});
  seed.receive(kFounder, FoundingRequest{2, kGrantedFleet}, Instant{11s});  // the restarted founder
  seed.start();
  // Delayed messages of the founder's earlier process are rejected, before and after the first tick
  // of the restarted seed.
  seed.receiveFounding(kEarlierFleet, Instant{12s});
  CHECK(seed.core->freshness().replicas().epoch == Epoch{0});
  AgentEffects effects;
  seed.core->onTick(Instant{12s}, &effects);
  seed.receiveFounding(kEarlierFleet, Instant{13s});
  CHECK(seed.core->freshness().replicas().epoch == Epoch{0});
  seed.receive(kOther, FoundingRequest{3, 99}, Instant{14s});
  CHECK_FALSE(std::get<FoundingResponse>(seed.answers.back().body).unfounded);
  seed.receiveFounding(kGrantedFleet, Instant{14s});
  CHECK(seed.core->freshness().replicas().fleet == kGrantedFleet);
}

TEST_CASE("founding: a grant that was never used runs out after a restart too") {
  Seed seed;
  seed.start();
  seed.receive(kFounder, FoundingRequest{1, kGrantedFleet}, Instant{10s});
  seed.start();
  AgentEffects effects;
  seed.core->onTick(Instant{12s}, &effects);
  seed.receive(kOther, FoundingRequest{2, 99}, Instant{21s});
  CHECK_FALSE(std::get<FoundingResponse>(seed.answers.back().body).unfounded);
  seed.receive(kOther, FoundingRequest{3, 99}, Instant{23s});
  CHECK(std::get<FoundingResponse>(seed.answers.back().body).unfounded);
}

TEST_CASE("sim: seeds and founders that restart while the fleet is founded end in one fleet") {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    INFO("seed " << seed);
    sim::WorldSettings settings;
    settings.seed = seed;
    settings.diskMachines = 4;
    settings.edgeMachines = 2;
    settings.replicasWanted = 3;
    settings.bootstrap = true;
    settings.maxMessageDelay = 60ms;  // one message in a hundred takes 2.4 s
    settings.messageLossRate = 0.1;
    sim::World world(settings);
    for (int i = 0; i < 6; ++i) {
      world.run(std::chrono::milliseconds(10 + world.random()() % 120));
      const std::size_t machine = world.random()() % 3;
      world.crash(machine, world.random()() % 2 == 0);
      world.run(std::chrono::milliseconds(world.random()() % 60));
      world.start(machine);
    }
    world.run(25s);
    const std::uint64_t fleet = world.core(4).freshness().replicas().fleet;
    CHECK(fleet != 0);
    for (std::size_t i = 0; i < 4; ++i) {
      CHECK(world.core(i).freshness().replicas().fleet == fleet);
      CHECK(world.core(i).isWritable());  // no replica has taken part in another fleet
    }
    CHECK(world.isConverged());
    for (const auto& violation : world.violations()) FAIL_CHECK(violation.what);
  }
}
