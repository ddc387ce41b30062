#include "sim/world.h"

#include <algorithm>

#include "base/digest.h"

namespace quayrill::sim {

using namespace std::chrono_literals;

namespace {
constexpr Duration kTickInterval = 50ms;
}  // namespace

World::World(const WorldSettings& settings)
    : settings_(settings), random_(settings.seed), now_(Instant(1s)) {
  const std::size_t initialMachines = settings.diskMachines + settings.edgeMachines;
  const std::size_t count = initialMachines + settings.reserveMachines;
  for (std::size_t i = 0; i < count; ++i) {
    Machine machine;
    machine.address =
        Address{"127.0." + std::to_string(i / 200) + "." + std::to_string(1 + i % 200) + ":7000"};
    machine.isHeldInReserve = i >= initialMachines;
    machine.hasDisk = i < settings.diskMachines || machine.isHeldInReserve;
    machine.clockOffset = std::chrono::seconds(random_() % 100000);
    if (settings.injectFastClocks && i % 2 == 1) machine.clockRate = 6;
    machineByAddress_[machine.address] = i;
    machines_.push_back(std::move(machine));
  }
  for (Machine& machine : machines_) {
    for (std::size_t seed = 0; seed < std::min<std::size_t>(3, settings.diskMachines); ++seed)
      machine.seeds.push_back(machines_[seed].address);
  }
  for (std::size_t i = 0; i < count; ++i) start(i);
}

void World::recordViolation(const std::string& what) { violations_.push_back({what, elapsed()}); }

void World::schedule(Event event) {
  event.sequence = ++lastSequence_;
  events_.push(std::move(event));
}

void World::start(std::size_t index) {
  Machine& machine = machines_[index];
  if (machine.core || machine.isHeldInReserve) return;
  ++machine.incarnation;
  machine.highestConfiguration = 0;
  AgentSettings settings{
      machine.address,
      "zone" + std::to_string(zoneOf(index)),
      machine.seeds,
      {},
      random_(),
      settings_.replicasWanted ? settings_.replicasWanted : settings_.diskMachines};
  settings.leaseSpan = settings_.leaseSpan;
  settings.losses = settings_.losses;
  settings.catchUpSpan = settings_.catchUpSpan;
  if (settings_.bootstrap) {
    settings.mayFound =
        machine.incarnation == 1 && index < settings_.diskMachines + settings_.edgeMachines;
    settings.foundingWait = Duration{};
  }
  std::optional<std::map<std::string, std::string>> disk;
  if (machine.hasDisk) disk = machine.synced;
  machine.core = std::make_unique<AgentCore>(settings, disk);
  AgentEffects effects;
  effects.replicaWork = machine.core->start();
  apply(index, std::move(effects));
  schedule({now_ + Duration(random_() % kTickInterval.count()),
            0,
            Kind::Tick,
            index,
            machine.incarnation,
            {},
            {}});
}

void World::crash(std::size_t index, bool powerLoss) {
  Machine& machine = machines_[index];
  if (!machine.core) return;
  machine.core.reset();
  // When only the process ends, the operating system still writes the unsynced data; a power loss
  // discards it.
  if (!powerLoss) {
    for (const DiskWrite& write : machine.unsynced) machine.synced[write.key] = write.bytes;
  }
  machine.unsynced.clear();
  machine.diskQueue.clear();
  machine.diskBusy = false;
  std::erase_if(pending_, [&](const auto& row) { return row.first.first == index; });
}

// With injectReusedStore, the rows that identify the store survive.
void World::wipeDisk(std::size_t index) {
  const auto store = machines_[index].synced.find("store");
  const auto format = machines_[index].synced.find("format");
  std::map<std::string, std::string> remaining;
  if (settings_.injectReusedStore && store != machines_[index].synced.end())
    remaining = {*store, *format};
  machines_[index].synced = remaining;
}

void World::replace(std::size_t index) {
  crash(index, true);
  wipeDisk(index);
  Machine& machine = machines_[index];
  machineByAddress_.erase(machine.address);
  machine.address = Address{"127.1.0." + std::to_string(index + 1) + ":7000"};
  machineByAddress_[machine.address] = index;
  for (std::size_t seed = 0; seed < machine.seeds.size(); ++seed)
    machine.seeds[seed] = machines_[seed].address;
  start(index);
}

void World::setSeeds(std::size_t index, std::vector<Address> seeds) {
  Machine& machine = machines_[index];
  machine.seeds = std::move(seeds);
  if (machine.core) machine.core->setSeeds(machine.seeds);
}

void World::join(std::size_t index) {
  Machine& machine = machines_[index];
  machine.isHeldInReserve = false;
  machine.seeds.clear();
  for (const Machine& other : machines_) {
    if (other.core && other.hasDisk && machine.seeds.size() < 3)
      machine.seeds.push_back(other.address);
  }
  start(index);
}

void World::freeze(std::size_t index, Duration span) {
  machines_[index].frozenUntil = std::max(machines_[index].frozenUntil, now_ + span);
}

void World::setLinkBlocked(std::size_t from, std::size_t to, bool blocked) {
  if (blocked)
    blockedLinks_.insert({from, to});
  else
    blockedLinks_.erase({from, to});
}

void World::setPartitioned(const std::set<std::size_t>& side, bool partitioned) {
  for (std::size_t from = 0; from < machines_.size(); ++from) {
    for (std::size_t to = 0; to < machines_.size(); ++to) {
      if (side.contains(from) != side.contains(to)) setLinkBlocked(from, to, partitioned);
    }
  }
}

void World::healAll() {
  blockedLinks_.clear();
  for (std::size_t i = 0; i < machines_.size(); ++i) {
    machines_[i].frozenUntil = now_;
    machines_[i].diskDelay = Duration{};
    repairDisk(i);
    start(i);
  }
}

std::size_t World::indexOf(const Address& address) const {
  const auto row = machineByAddress_.find(address);
  return row == machineByAddress_.end() ? machines_.size() : row->second;
}

void World::sendMessage(std::size_t from, const Envelope& envelope) {
  const std::size_t to = indexOf(envelope.to);
  ++counters_.messages;
  const std::string bytes = encodeEnvelope(envelope);
  counters_.bytes += bytes.size();
  counters_.bytesByKind[messageName(envelope.body)] += bytes.size();
  machines_[from].bytesSent += bytes.size();
  if (to >= machines_.size() || blockedLinks_.contains({from, to})) return;
  const auto happens = [&](double probability) {
    return std::uniform_real_distribution<>(0, 1)(random_) < probability;
  };
  if (from != to && happens(settings_.messageLossRate)) return;
  const int deliveries = happens(settings_.messageDuplicationRate) ? 2 : 1;
  for (int i = 0; i < deliveries; ++i) {
    Duration delay =
        settings_.minMessageDelay +
        Duration(random_() % static_cast<std::uint64_t>(
                                 (settings_.maxMessageDelay - settings_.minMessageDelay).count()));
    if (happens(0.01)) delay *= 40;  // delivered late and out of order
    schedule({now_ + delay, 0, Kind::Arrive, to, 0, bytes, {}});
  }
}

void World::apply(std::size_t index, AgentEffects effects) {
  Machine& machine = machines_[index];
  for (const Envelope& envelope : effects.sends) sendMessage(index, envelope);
  for (ReplicaWork& work : effects.replicaWork) {
    for (const DiskWrite& write : work.writes) machine.unsynced.push_back(write);
    if (settings_.injectUnsyncedDisk && work.answer) {
      sendMessage(index, *work.answer);
      work.answer.reset();
    }
    machine.diskQueue.push_back(std::move(work));
  }
  startSync(index);
  for (const ChangeOutcome& done : effects.done) {
    const auto row = pending_.find({index, done.operation});
    if (row == pending_.end()) continue;
    RecordedOperation& operation = operations_[row->second - 1];
    operation.done = done;
    operation.completedAt = now_;
    pending_.erase(row);
    switch (done.result) {
      case ChangeResult::Chosen:
        ++counters_.chosen;
        break;
      case ChangeResult::Conflict:
        ++counters_.conflicts;
        break;
      case ChangeResult::NotTried:
        ++counters_.notTried;
        break;
      case ChangeResult::Unknown:
        ++counters_.unknown;
        break;
    }
    if (done.result == ChangeResult::Chosen && done.value.version > 0) {
      const std::uint64_t newest = acknowledged_.empty() ? 0 : acknowledged_.back().second;
      if (done.value.version > newest) acknowledged_.emplace_back(now_, done.value.version);
    }
  }
}

void World::startSync(std::size_t index) {
  Machine& machine = machines_[index];
  if (machine.diskBusy || machine.diskQueue.empty() || !machine.core) return;
  machine.diskBusy = true;
  const bool hasWrites = std::any_of(machine.diskQueue.begin(), machine.diskQueue.end(),
                                     [](const ReplicaWork& work) { return !work.writes.empty(); });
  Duration duration =
      hasWrites ? Duration(std::chrono::microseconds(100 + random_() % 900)) : Duration{};
  if (hasWrites) duration += machine.diskDelay;
  if (settings_.injectUnsyncedDisk) duration *= 400;
  schedule({now_ + duration,
            0,
            Kind::DiskDone,
            index,
            machine.incarnation,
            {},
            std::make_shared<std::vector<ReplicaWork>>(std::move(machine.diskQueue)),
            machine.diskGeneration});
  machine.diskQueue.clear();
}

void World::finishSync(std::size_t index, const std::vector<ReplicaWork>& batch) {
  Machine& machine = machines_[index];
  machine.diskBusy = false;
  // A failed batch may nevertheless be on the disk as a whole; it is never acknowledged, and
  // nothing is written after it.
  const bool fails = machine.diskFails &&
                     std::any_of(batch.begin(), batch.end(),
                                 [](const ReplicaWork& work) { return !work.writes.empty(); });
  const bool isPersisted =
      fails ? machine.core->isWritable() && random_() % 2 == 0 : !machine.diskFails;
  if (fails) machine.core->onDiskError();
  for (const ReplicaWork& work : batch) {
    machine.core->onReplicaWorkDone();
    for (const DiskWrite& write : work.writes) {
      if (isPersisted) machine.synced[write.key] = write.bytes;
      if (!machine.unsynced.empty()) machine.unsynced.erase(machine.unsynced.begin());
    }
    if (work.answer && machine.core->isWritable()) sendMessage(index, *work.answer);
  }
  startSync(index);
}

void World::repairDisk(std::size_t index) {
  Machine& machine = machines_[index];
  if (!machine.diskFails) return;
  machine.diskFails = false;
  machine.diskDelay = Duration{};
  if (!machine.core || machine.core->isWritable()) return;
  // Work that was queued before the disk is read again fails, and its answers are never sent.
  for (std::size_t i = 0; i < machine.diskQueue.size(); ++i) machine.core->onReplicaWorkDone();
  machine.diskQueue.clear();
  machine.unsynced.clear();
  ++machine.diskGeneration;
  machine.diskBusy = false;
  AgentEffects effects;
  if (!machine.core->onDiskReloaded(machine.synced, &effects))
    recordViolation("a mended disk could not be read anew");
  apply(index, std::move(effects));
}

std::uint64_t World::change(std::size_t index, std::uint64_t expectedVersion, std::string body) {
  return submit(index, {{}, kConfigurationKey, false, expectedVersion, std::move(body), {}, {}});
}

std::uint64_t World::read(std::size_t index) {
  return submit(index, {{}, kConfigurationKey, true, 0, {}, {}, {}});
}

AgentCore::RecoveryResult World::recover(std::size_t index, const std::string& given,
                                         std::uint64_t givenVersion) {
  AgentEffects effects;
  auto recovered =
      machines_[index].core->recover(given, givenVersion, localTime(machines_[index]), &effects);
  apply(index, std::move(effects));
  return recovered;
}

std::uint64_t World::submit(std::size_t index, ChangeRequest change) {
  Machine& machine = machines_[index];
  if (!machine.core || now_ < machine.frozenUntil) return 0;
  change.writeId = WriteId{random_() | 1};
  change.deadline = localTime(machine) + 3s;
  operations_.push_back({operations_.size() + 1, index, change, now_, {}, {}});
  const std::uint64_t id = operations_.size();
  AgentEffects effects;
  const OperationId operation = machine.core->requestChange(change, localTime(machine), &effects);
  pending_[{index, operation}] = id;
  apply(index, std::move(effects));
  return id;
}

void World::handle(const Event& event) {
  Machine& machine = machines_[event.machine];
  if (!machine.core || (event.incarnation != 0 && event.incarnation != machine.incarnation)) return;
  if (event.kind != Kind::DiskDone && now_ < machine.frozenUntil) {
    Event postponed = event;
    postponed.at = machine.frozenUntil + Duration(event.sequence % 1000);
    schedule(std::move(postponed));
    return;
  }
  traceHash_ = combineHashes(
      traceHash_, combineHashes(static_cast<std::uint64_t>(event.at.time_since_epoch().count()),
                                event.machine * 8 + static_cast<std::uint64_t>(event.kind)));
  ++counters_.events;
  AgentEffects effects;
  switch (event.kind) {
    case Kind::Tick: {
      machine.core->onTick(localTime(machine), &effects);
      for (const std::string& role : leaderRoles_) {
        if (machine.core->ownsRole(role, localTime(machine)))
          machine.core->tryAcquireLease(RegisterKey{"hold/" + role}, localTime(machine), &effects);
      }
      schedule({now_ + kTickInterval, 0, Kind::Tick, event.machine, machine.incarnation, {}, {}});
      break;
    }
    case Kind::Arrive: {
      ++machine.messagesReceived;
      const auto envelope = decodeEnvelope(event.bytes);
      if (!envelope.ok()) return recordViolation("a message did not decode");
      machine.core->onMessage(*envelope, localTime(machine), &effects);
      break;
    }
    case Kind::DiskDone: {
      if (event.diskGeneration == machine.diskGeneration) {
        finishSync(event.machine, *event.batch);
      } else {
        for (std::size_t i = 0; i < event.batch->size(); ++i) machine.core->onReplicaWorkDone();
      }
      break;
    }
  }
  apply(event.machine, std::move(effects));
  checkMachine(event.machine);
}

void World::run(Duration span) {
  const Instant until = now_ + span;
  Instant nextLeaseCheck = now_;
  while (!events_.empty() && events_.top().at <= until) {
    const Event event = events_.top();
    events_.pop();
    now_ = std::max(now_, event.at);
    handle(event);
    if (now_ >= nextLeaseCheck) {
      checkLeases();
      nextLeaseCheck = now_ + 5ms;
    }
  }
  now_ = until;
}

}  // namespace quayrill::sim
