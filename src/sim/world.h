#pragma once
// A deterministic world round the real control logic: fake clocks, network and disks, faults by
// seed, and checkers that see everything. The same seed gives the same trace.
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "agent/core/agent_core.h"

namespace quayrill::sim {

struct WorldSettings {
  std::uint64_t seed = 1;
  std::size_t diskMachines = 4;
  std::size_t edgeMachines = 9;
  std::size_t replicasWanted = 0;  // 0: as many as there are disks
  LossTolerance losses{};
  Span catchUpSpan{};
  std::size_t reserveMachines = 0;  // empty disks that join later; their indices come last
  // Only the first start of all is told that it may found, and need not wait; every later start is
  // told that it may not.
  bool bootstrap = false;
  Span leaseSpan{};
  std::size_t zones = 4;  // machines go to zones in turn
  double lossRate = 0.02;
  double duplicateRate = 0.02;
  Span delayLow = std::chrono::microseconds(200);
  Span delayHigh = std::chrono::milliseconds(8);
  // Planted defects: each must trip a checker.
  bool plantUnsyncedDisk = false;  // answers leave before the write is synced
  bool plantReusedStore = false;   // an emptied disk comes back under its old identity
  bool plantFastClocks = false;    // every other machine's clock runs six times too fast
  bool plantStaleConfirm = false;  // a daemon vouches for the configuration without asking
};

struct Violation {
  std::string what;
  Span at;
};

struct Asked {
  std::uint64_t id = 0;
  std::size_t machine = 0;
  ChangeRequest change;
  Instant askedAt;
  std::optional<Instant> doneAt;
  std::optional<ChangeOutcome> done;
};

struct Tally {
  std::uint64_t messages = 0, bytes = 0, chosen = 0, conflicts = 0, notTried = 0, unknown = 0;
  std::uint64_t leasesSeen = 0, events = 0;
  std::map<std::string, std::uint64_t> bytesOfKind;
};

class World {
 public:
  explicit World(const WorldSettings& settings);

  void run(Span span);
  Span elapsed() const { return now_.time_since_epoch(); }

  // Faults. A machine's index stays the same across its lives.
  void crash(std::size_t machine, bool powerLoss);
  void start(std::size_t machine);
  void wipeDisk(std::size_t machine);
  // The machine is gone; an empty one at a new address takes its place. Only the new one is told
  // where the seeds are now.
  void replace(std::size_t machine);
  // The settings of a machine name these seeds now; it runs on, and its later lives start so.
  void setSeeds(std::size_t machine, std::vector<Address> seeds);
  Address addressOf(std::size_t machine) const { return machines_[machine].address; }
  // A reserve machine joins: it is told of the first three machines with a disk that are up.
  void join(std::size_t machine);
  // The machine was told to end, and serves on meanwhile.
  void leave(std::size_t machine) { machines_[machine].core->setLeaving(true); }
  void freeze(std::size_t machine, Span span);
  void cutOneWay(std::size_t from, std::size_t to, bool cut);
  void cut(const std::set<std::size_t>& side, bool cut);
  void healAll();
  void failDisk(std::size_t machine, bool failing) { machines_[machine].diskFails = failing; }
  // A failing disk is sound again, and its folder is opened and read anew under the same process.
  void mendDisk(std::size_t machine);
  void slowDisk(std::size_t machine, Span delay) { machines_[machine].diskDelay = delay; }

  std::uint64_t change(std::size_t machine, std::uint64_t expectedVersion, std::string body);
  std::uint64_t read(std::size_t machine);
  AgentCore::RecoveryResult recover(std::size_t machine, const std::string& given,
                                    std::uint64_t givenVersion);
  void plant(bool unsynced, bool reused) {
    settings_.plantUnsyncedDisk = unsynced;
    settings_.plantReusedStore = reused;
  }
  void wantRole(const std::string& role) { roles_.insert(role); }

  bool hasDisk(std::size_t machine) const { return machines_[machine].hasDisk; }
  bool isUp(std::size_t machine) const { return machines_[machine].core != nullptr; }
  AgentCore& core(std::size_t machine) { return *machines_[machine].core; }
  std::size_t size() const { return machines_.size(); }
  std::size_t diskMachines() const { return settings_.diskMachines; }
  std::size_t replicasWanted() const {
    return settings_.replicasWanted ? settings_.replicasWanted : settings_.diskMachines;
  }
  const Asked& asked(std::uint64_t id) const { return asked_.at(id - 1); }
  const std::vector<Asked>& history() const { return asked_; }
  Instant localNow(std::size_t machine) const { return local(machines_[machine]); }
  std::mt19937_64& random() { return random_; }
  const std::vector<Violation>& violations() const { return violations_; }
  void checkHistory();  // linearizability of the configuration register over all that was asked
  std::uint64_t traceHash() const { return traceHash_; }
  const Tally& tally() const { return tally_; }
  // True when every live machine has confirmed one and the same configuration version lately.
  bool isConverged() const;
  bool isInForce(std::uint64_t version) const;  // at every live machine
  bool knowsAll() const;                        // every live machine lists all live machines
  std::size_t zoneOf(std::size_t machine) const { return machine % settings_.zones; }
  bool isConfirmed(std::size_t machine, Span lately) const;
  std::size_t listedBy(std::size_t machine) const;  // live machines, itself too
  std::uint64_t arrivals(std::size_t machine) const { return machines_[machine].arrivals; }
  std::uint64_t bytesFrom(std::size_t machine) const { return machines_[machine].bytesSent; }

 private:
  struct Machine {
    Address address;
    std::vector<Address> seeds;
    bool hasDisk = false;
    bool isReserve = false;  // not started before it joins
    std::unique_ptr<AgentCore> core;
    std::map<std::string, std::string> synced;
    std::vector<DiskWrite> unsynced;  // lost at a power loss
    bool diskFails = false;
    Span diskDelay{};
    std::vector<ReplicaWork> diskQueue;  // taken whole by the next sync, as the real disk does
    bool diskBusy = false;
    std::uint64_t diskLife = 0;  // rises when a defective disk was read anew
    Instant frozenUntil{};
    Span clockOffset{};  // machines' boot clocks have nothing in common
    int clockRate = 1;
    std::uint64_t life = 0;
    std::uint64_t highestConfiguration = 0;  // of this life
    std::uint64_t arrivals = 0, bytesSent = 0;
  };
  enum class Kind { Tick, Arrive, DiskDone };
  struct Event {
    Instant at;
    std::uint64_t order = 0;
    Kind kind{};
    std::size_t machine = 0;
    std::uint64_t life = 0;
    std::string bytes;
    std::shared_ptr<std::vector<ReplicaWork>> batch;
    std::uint64_t diskLife = 0;
    bool operator>(const Event& other) const {
      return std::tie(at, order) > std::tie(other.at, other.order);
    }
  };
  Instant local(const Machine& machine) const {
    return Instant(now_.time_since_epoch() * machine.clockRate) + machine.clockOffset;
  }
  void schedule(Event event);
  void apply(std::size_t machine, AgentEffects effects);
  std::uint64_t ask(std::size_t machine, ChangeRequest change);
  void startSync(std::size_t machine);
  void finishSync(std::size_t machine, const std::vector<ReplicaWork>& batch);
  void transmit(std::size_t from, const Envelope& envelope);
  void handle(const Event& event);
  void checkMachine(std::size_t machine);
  void checkLeases();
  void violate(const std::string& what);
  std::size_t indexOf(const Address& address) const;

  WorldSettings settings_;
  std::mt19937_64 random_;
  Instant now_{};
  std::uint64_t order_ = 0;
  std::vector<Machine> machines_;
  std::map<Address, std::size_t> byAddress_;
  std::set<std::pair<std::size_t, std::size_t>> cuts_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::vector<Asked> asked_;
  std::map<std::pair<std::size_t, OperationId>, std::uint64_t> pending_;
  std::set<std::string> roles_;
  std::map<std::string, std::pair<std::uint64_t, std::size_t>> highestFence_;
  std::map<std::uint64_t, WriteId> writeOfVersion_;              // one write per version, for ever
  std::vector<std::pair<Instant, std::uint64_t>> acknowledged_;  // (when, version), rising
  std::vector<Violation> violations_;
  std::uint64_t traceHash_ = 0;
  Tally tally_;
};

}  // namespace quayrill::sim
