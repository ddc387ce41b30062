#include "sim/world.h"

#include <algorithm>

#include "base/digest.h"

namespace quayrill::sim {

using namespace std::chrono_literals;

namespace {
constexpr Span kTick = 50ms;
}  // namespace

World::World(const WorldSettings& settings)
    : settings_(settings), random_(settings.seed), now_(Instant(1s)) {
  const std::size_t atFirst = settings.diskMachines + settings.edgeMachines;
  const std::size_t count = atFirst + settings.reserveMachines;
  for (std::size_t i = 0; i < count; ++i) {
    Machine machine;
    machine.address =
        Address{"127.0." + std::to_string(i / 200) + "." + std::to_string(1 + i % 200) + ":7000"};
    machine.isReserve = i >= atFirst;
    machine.hasDisk = i < settings.diskMachines || machine.isReserve;
    machine.clockOffset = std::chrono::seconds(random_() % 100000);
    if (settings.plantFastClocks && i % 2 == 1) machine.clockRate = 6;
    byAddress_[machine.address] = i;
    machines_.push_back(std::move(machine));
  }
  for (Machine& machine : machines_) {
    for (std::size_t s = 0; s < std::min<std::size_t>(3, settings.diskMachines); ++s)
      machine.seeds.push_back(machines_[s].address);
  }
  for (std::size_t i = 0; i < count; ++i) start(i);
}

void World::violate(const std::string& what) { violations_.push_back({what, elapsed()}); }

void World::schedule(Event event) {
  event.order = ++order_;
  events_.push(std::move(event));
}

void World::start(std::size_t index) {
  Machine& machine = machines_[index];
  if (machine.core || machine.isReserve) return;
  ++machine.life;
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
        machine.life == 1 && index < settings_.diskMachines + settings_.edgeMachines;
    settings.foundingWait = Span{};
  }
  std::optional<std::map<std::string, std::string>> disk;
  if (machine.hasDisk) disk = machine.synced;
  machine.core = std::make_unique<AgentCore>(settings, disk);
  AgentEffects effects;
  effects.replicaWork = machine.core->start();
  apply(index, std::move(effects));
  schedule({now_ + Span(random_() % kTick.count()), 0, Kind::Tick, index, machine.life, {}, {}});
}

void World::crash(std::size_t index, bool powerLoss) {
  Machine& machine = machines_[index];
  if (!machine.core) return;
  machine.core.reset();
  // A kill leaves what the system was given; a power loss takes all that was not synced.
  if (!powerLoss) {
    for (const DiskWrite& write : machine.unsynced) machine.synced[write.key] = write.bytes;
  }
  machine.unsynced.clear();
  machine.diskQueue.clear();
  machine.diskBusy = false;
  std::erase_if(pending_, [&](const auto& row) { return row.first.first == index; });
}

void World::wipeDisk(std::size_t index) {
  const auto store = machines_[index].synced.find("store");
  const auto format = machines_[index].synced.find("format");
  std::map<std::string, std::string> kept;
  if (settings_.plantReusedStore && store != machines_[index].synced.end())
    kept = {*store, *format};
  machines_[index].synced = kept;
}

void World::replace(std::size_t index) {
  crash(index, true);
  wipeDisk(index);
  Machine& machine = machines_[index];
  byAddress_.erase(machine.address);
  machine.address = Address{"127.1.0." + std::to_string(index + 1) + ":7000"};
  byAddress_[machine.address] = index;
  for (std::size_t s = 0; s < machine.seeds.size(); ++s) machine.seeds[s] = machines_[s].address;
  start(index);
}

void World::setSeeds(std::size_t index, std::vector<Address> seeds) {
  Machine& machine = machines_[index];
  machine.seeds = std::move(seeds);
  if (machine.core) machine.core->setSeeds(machine.seeds);
}

void World::join(std::size_t index) {
  Machine& machine = machines_[index];
  machine.isReserve = false;
  machine.seeds.clear();
  for (const Machine& other : machines_) {
    if (other.core && other.hasDisk && machine.seeds.size() < 3)
      machine.seeds.push_back(other.address);
  }
  start(index);
}

void World::freeze(std::size_t index, Span span) {
  machines_[index].frozenUntil = std::max(machines_[index].frozenUntil, now_ + span);
}

void World::cutOneWay(std::size_t from, std::size_t to, bool cut) {
  if (cut)
    cuts_.insert({from, to});
  else
    cuts_.erase({from, to});
}

void World::cut(const std::set<std::size_t>& side, bool cut) {
  for (std::size_t a = 0; a < machines_.size(); ++a) {
    for (std::size_t b = 0; b < machines_.size(); ++b) {
      if (side.contains(a) != side.contains(b)) cutOneWay(a, b, cut);
    }
  }
}

void World::healAll() {
  cuts_.clear();
  for (std::size_t i = 0; i < machines_.size(); ++i) {
    machines_[i].frozenUntil = now_;
    machines_[i].diskDelay = Span{};
    mendDisk(i);
    start(i);
  }
}

std::size_t World::indexOf(const Address& address) const {
  const auto row = byAddress_.find(address);
  return row == byAddress_.end() ? machines_.size() : row->second;
}

void World::transmit(std::size_t from, const Envelope& envelope) {
  const std::size_t to = indexOf(envelope.to);
  ++tally_.messages;
  const std::string bytes = encodeEnvelope(envelope);
  tally_.bytes += bytes.size();
  tally_.bytesOfKind[messageName(envelope.body)] += bytes.size();
  machines_[from].bytesSent += bytes.size();
  if (to >= machines_.size() || cuts_.contains({from, to})) return;
  const auto chance = [&](double rate) {
    return std::uniform_real_distribution<>(0, 1)(random_) < rate;
  };
  if (from != to && chance(settings_.lossRate)) return;
  const int replicas = chance(settings_.duplicateRate) ? 2 : 1;
  for (int i = 0; i < replicas; ++i) {
    Span delay = settings_.delayLow +
                 Span(random_() % static_cast<std::uint64_t>(
                                      (settings_.delayHigh - settings_.delayLow).count()));
    if (chance(0.01)) delay *= 40;  // late and out of order
    schedule({now_ + delay, 0, Kind::Arrive, to, 0, bytes, {}});
  }
}

void World::apply(std::size_t index, AgentEffects effects) {
  Machine& machine = machines_[index];
  for (const Envelope& envelope : effects.sends) transmit(index, envelope);
  for (ReplicaWork& work : effects.replicaWork) {
    for (const DiskWrite& write : work.writes) machine.unsynced.push_back(write);
    if (settings_.plantUnsyncedDisk && work.answer) {
      transmit(index, *work.answer);
      work.answer.reset();
    }
    machine.diskQueue.push_back(std::move(work));
  }
  startSync(index);
  for (const ChangeOutcome& done : effects.done) {
    const auto row = pending_.find({index, done.operation});
    if (row == pending_.end()) continue;
    Asked& asked = asked_[row->second - 1];
    asked.done = done;
    asked.doneAt = now_;
    pending_.erase(row);
    switch (done.result) {
      case ChangeResult::Chosen:
        ++tally_.chosen;
        break;
      case ChangeResult::Conflict:
        ++tally_.conflicts;
        break;
      case ChangeResult::NotTried:
        ++tally_.notTried;
        break;
      case ChangeResult::Unknown:
        ++tally_.unknown;
        break;
    }
    if (done.result == ChangeResult::Chosen && done.value.version > 0) {
      const std::uint64_t last = acknowledged_.empty() ? 0 : acknowledged_.back().second;
      if (done.value.version > last) acknowledged_.emplace_back(now_, done.value.version);
    }
  }
}

void World::startSync(std::size_t index) {
  Machine& machine = machines_[index];
  if (machine.diskBusy || machine.diskQueue.empty() || !machine.core) return;
  machine.diskBusy = true;
  const bool writes = std::any_of(machine.diskQueue.begin(), machine.diskQueue.end(),
                                  [](const ReplicaWork& work) { return !work.writes.empty(); });
  Span cost = writes ? Span(std::chrono::microseconds(100 + random_() % 900)) : Span{};
  if (writes) cost += machine.diskDelay;
  if (settings_.plantUnsyncedDisk) cost *= 400;
  schedule({now_ + cost,
            0,
            Kind::DiskDone,
            index,
            machine.life,
            {},
            std::make_shared<std::vector<ReplicaWork>>(std::move(machine.diskQueue)),
            machine.diskLife});
  machine.diskQueue.clear();
}

void World::finishSync(std::size_t index, const std::vector<ReplicaWork>& batch) {
  Machine& machine = machines_[index];
  machine.diskBusy = false;
  // The batch that fails may be on the disk all the same, whole; nobody is told of it, and nothing
  // is written after it.
  const bool fails = machine.diskFails &&
                     std::any_of(batch.begin(), batch.end(),
                                 [](const ReplicaWork& work) { return !work.writes.empty(); });
  const bool kept = fails ? machine.core->isWritable() && random_() % 2 == 0 : !machine.diskFails;
  if (fails) machine.core->onDiskError();
  for (const ReplicaWork& work : batch) {
    machine.core->onReplicaWorkDone();
    for (const DiskWrite& write : work.writes) {
      if (kept) machine.synced[write.key] = write.bytes;
      if (!machine.unsynced.empty()) machine.unsynced.erase(machine.unsynced.begin());
    }
    if (work.answer && machine.core->isWritable()) transmit(index, *work.answer);
  }
  startSync(index);
}

void World::mendDisk(std::size_t index) {
  Machine& machine = machines_[index];
  if (!machine.diskFails) return;
  machine.diskFails = false;
  machine.diskDelay = Span{};
  if (!machine.core || machine.core->isWritable()) return;
  // What was handed to the disk before it was read anew has failed, answers and all.
  for (std::size_t i = 0; i < machine.diskQueue.size(); ++i) machine.core->onReplicaWorkDone();
  machine.diskQueue.clear();
  machine.unsynced.clear();
  ++machine.diskLife;
  machine.diskBusy = false;
  AgentEffects effects;
  if (!machine.core->onDiskReloaded(machine.synced, &effects))
    violate("a mended disk could not be read anew");
  apply(index, std::move(effects));
}

std::uint64_t World::change(std::size_t index, std::uint64_t expectedVersion, std::string body) {
  return ask(index, {{}, kConfigurationKey, false, expectedVersion, std::move(body), {}, {}});
}

std::uint64_t World::read(std::size_t index) {
  return ask(index, {{}, kConfigurationKey, true, 0, {}, {}, {}});
}

AgentCore::RecoveryResult World::recover(std::size_t index, const std::string& given,
                                         std::uint64_t givenVersion) {
  AgentEffects effects;
  auto made =
      machines_[index].core->recover(given, givenVersion, local(machines_[index]), &effects);
  apply(index, std::move(effects));
  return made;
}

std::uint64_t World::ask(std::size_t index, ChangeRequest change) {
  Machine& machine = machines_[index];
  if (!machine.core || now_ < machine.frozenUntil) return 0;
  change.writeId = WriteId{random_() | 1};
  change.deadline = local(machine) + 3s;
  asked_.push_back({asked_.size() + 1, index, change, now_, {}, {}});
  const std::uint64_t id = asked_.size();
  AgentEffects effects;
  const OperationId operation = machine.core->requestChange(change, local(machine), &effects);
  pending_[{index, operation}] = id;
  apply(index, std::move(effects));
  return id;
}

void World::handle(const Event& event) {
  Machine& machine = machines_[event.machine];
  if (!machine.core || (event.life != 0 && event.life != machine.life)) return;
  if (event.kind != Kind::DiskDone && now_ < machine.frozenUntil) {
    Event later = event;
    later.at = machine.frozenUntil + Span(event.order % 1000);
    schedule(std::move(later));
    return;
  }
  traceHash_ =
      mixHash(traceHash_, mixHash(static_cast<std::uint64_t>(event.at.time_since_epoch().count()),
                                  event.machine * 8 + static_cast<std::uint64_t>(event.kind)));
  ++tally_.events;
  AgentEffects effects;
  switch (event.kind) {
    case Kind::Tick: {
      machine.core->onTick(local(machine), &effects);
      for (const std::string& role : roles_) {
        if (machine.core->ownsRole(role, local(machine)))
          machine.core->tryAcquireLease(RegisterKey{"hold/" + role}, local(machine), &effects);
      }
      schedule({now_ + kTick, 0, Kind::Tick, event.machine, machine.life, {}, {}});
      break;
    }
    case Kind::Arrive: {
      ++machine.arrivals;
      const auto envelope = decodeEnvelope(event.bytes);
      if (!envelope.ok()) return violate("a message did not decode");
      machine.core->onMessage(*envelope, local(machine), &effects);
      break;
    }
    case Kind::DiskDone: {
      if (event.diskLife == machine.diskLife) {
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

void World::run(Span span) {
  const Instant until = now_ + span;
  Instant nextCheck = now_;
  while (!events_.empty() && events_.top().at <= until) {
    const Event event = events_.top();
    events_.pop();
    now_ = std::max(now_, event.at);
    handle(event);
    if (now_ >= nextCheck) {
      checkLeases();
      nextCheck = now_ + 5ms;
    }
  }
  now_ = until;
}

}  // namespace quayrill::sim
