#pragma once
// A deterministic discrete-event simulation of a fleet: the production control logic (AgentCore)
// runs on simulated clocks, network and disks, with faults drawn from a seed, and checkers observe
// the state of every machine. The same seed gives the same trace.
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

// Parameters of a simulated fleet. Machines with a disk have the lowest indices, then the edge
// machines, then the reserve.
struct WorldSettings {
  std::uint64_t seed = 1;
  std::size_t diskMachines = 4;    // machines with a disk: each may host a register replica
  std::size_t edgeMachines = 9;    // machines without a disk
  std::size_t replicasWanted = 0;  // 0: one replica for each machine with a disk
  LossTolerance losses{};
  Duration catchUpSpan{};
  std::size_t reserveMachines = 0;  // machines with an empty disk that are started by join()
  // Only the first incarnation of the initial machines may found a fleet, without a founding wait;
  // later incarnations may not.
  bool bootstrap = false;
  Duration leaseSpan{};
  std::size_t zones = 4;  // machines are assigned to zones round-robin
  double messageLossRate = 0.02;
  double messageDuplicationRate = 0.02;
  Duration minMessageDelay = std::chrono::microseconds(200);
  Duration maxMessageDelay = std::chrono::milliseconds(8);
  // Injected defects: a checker must detect each of them.
  bool injectUnsyncedDisk = false;  // a replica answers before its write is synced
  bool injectReusedStore = false;   // a wiped disk keeps its old store id
  bool injectFastClocks = false;    // the clock of every other machine runs six times too fast
  bool injectStaleConfirm = false;  // a daemon confirms its configuration without asking replicas
};

// A broken invariant and the simulated time at which it was detected.
struct Violation {
  std::string what;
  Duration at;
};

// A read or change of the configuration register, with its invocation and completion times.
struct RecordedOperation {
  std::uint64_t id = 0;  // from 1, in order of invocation
  std::size_t machine = 0;
  ChangeRequest change;
  Instant startedAt;
  std::optional<Instant> completedAt;
  std::optional<ChangeOutcome> done;
};

// Totals over a run: messages, results of register operations, lease observations and events.
struct RunCounters {
  std::uint64_t messages = 0, bytes = 0, chosen = 0, conflicts = 0, notTried = 0, unknown = 0;
  std::uint64_t leaseObservations = 0, events = 0;
  std::map<std::string, std::uint64_t> bytesByKind;
};

// The simulated fleet: machines, network, disks, pending events and checkers.
class World {
 public:
  // Builds the machines and starts all except the reserve.
  explicit World(const WorldSettings& settings);

  // Processes all events of the next `span` of simulated time.
  void run(Duration span);
  Duration elapsed() const { return now_.time_since_epoch(); }

  // Faults. A machine keeps its index across restarts and replacement.

  // Ends the daemon; a power loss also discards all unsynced writes.
  void crash(std::size_t machine, bool powerLoss);
  // Starts a daemon on the machine's disk; no effect if one runs or the machine is in reserve.
  void start(std::size_t machine);
  void wipeDisk(std::size_t machine);
  // Replaces the machine by one with an empty disk at a new address. Only the new machine knows the
  // present addresses of the seeds.
  void replace(std::size_t machine);
  // Changes the seeds in the machine's settings, for the running daemon and later incarnations.
  void setSeeds(std::size_t machine, std::vector<Address> seeds);
  Address addressOf(std::size_t machine) const { return machines_[machine].address; }
  // Starts a reserve machine; its seeds are the first three running machines with a disk.
  void join(std::size_t machine);
  // Announces the planned end of the daemon, which continues to serve until it is crashed.
  void leave(std::size_t machine) { machines_[machine].core->setLeaving(true); }
  // Pauses the daemon; its events are processed when it resumes.
  void freeze(std::size_t machine, Duration span);
  // Blocks or unblocks messages in one direction.
  void setLinkBlocked(std::size_t from, std::size_t to, bool blocked);
  // Blocks or unblocks all messages between the machines in `side` and the others.
  void setPartitioned(const std::set<std::size_t>& side, bool partitioned);
  // Ends every fault: unblocks links, resumes machines, repairs disks, starts what is down.
  void healAll();
  void setDiskFailing(std::size_t machine, bool failing) { machines_[machine].diskFails = failing; }
  // Ends a disk fault; a running daemon reopens its data folder and reads it again.
  void repairDisk(std::size_t machine);
  void setDiskDelay(std::size_t machine, Duration delay) { machines_[machine].diskDelay = delay; }

  // Submit an operation on the configuration register through a daemon; return its id, or 0 if the
  // daemon is down or frozen.
  std::uint64_t change(std::size_t machine, std::uint64_t expectedVersion, std::string body);
  std::uint64_t read(std::size_t machine);
  // Founds the register again after its majority was lost; see AgentCore::recover.
  AgentCore::RecoveryResult recover(std::size_t machine, const std::string& given,
                                    std::uint64_t givenVersion);
  void injectDefects(bool unsynced, bool reused) {
    settings_.injectUnsyncedDisk = unsynced;
    settings_.injectReusedStore = reused;
  }
  // Adds a leader role: daemons compete for its lease, and the checkers watch its holders.
  void addLeaderRole(const std::string& role) { leaderRoles_.insert(role); }

  bool hasDisk(std::size_t machine) const { return machines_[machine].hasDisk; }
  bool isUp(std::size_t machine) const { return machines_[machine].core != nullptr; }
  AgentCore& core(std::size_t machine) { return *machines_[machine].core; }
  std::size_t size() const { return machines_.size(); }
  std::size_t diskMachines() const { return settings_.diskMachines; }
  std::size_t replicasWanted() const {
    return settings_.replicasWanted ? settings_.replicasWanted : settings_.diskMachines;
  }
  const RecordedOperation& operationById(std::uint64_t id) const { return operations_.at(id - 1); }
  const std::vector<RecordedOperation>& history() const { return operations_; }
  // The present time on the machine's own clock.
  Instant localNow(std::size_t machine) const { return localTime(machines_[machine]); }
  std::mt19937_64& random() { return random_; }
  const std::vector<Violation>& violations() const { return violations_; }
  // Checks all recorded operations for linearizability of the configuration register.
  void checkHistory();
  // Hash over the time, machine and kind of every processed event.
  std::uint64_t traceHash() const { return traceHash_; }
  const RunCounters& counters() const { return counters_; }
  // True if all running machines confirmed the same configuration version within the last second.
  bool isConverged() const;
  // True if every running machine has this configuration version or a later one.
  bool isInForce(std::uint64_t version) const;
  // True if every running machine has all running machines in its membership list.
  bool isMembershipComplete() const;
  std::size_t zoneOf(std::size_t machine) const { return machine % settings_.zones; }
  // True if the machine confirmed its configuration within the last `maxAge`.
  bool isConfirmed(std::size_t machine, Duration maxAge) const;
  // Size of the machine's membership list, itself included.
  std::size_t liveMachinesSeenBy(std::size_t machine) const;
  std::uint64_t messagesReceived(std::size_t machine) const {
    return machines_[machine].messagesReceived;
  }
  std::uint64_t bytesSentBy(std::size_t machine) const { return machines_[machine].bytesSent; }

 private:
  struct Machine {
    Address address;
    std::vector<Address> seeds;
    bool hasDisk = false;
    bool isHeldInReserve = false;               // not started until join()
    std::unique_ptr<AgentCore> core;            // null while the daemon is down
    std::map<std::string, std::string> synced;  // rows of the disk that survive a power loss
    std::vector<DiskWrite> unsynced;            // survive a crash of the process only
    bool diskFails = false;
    Duration diskDelay{};
    std::vector<ReplicaWork> diskQueue;  // the next sync takes all of it, as the real disk does
    bool diskBusy = false;
    std::uint64_t diskGeneration = 0;  // incremented when a repaired disk is read again
    Instant frozenUntil{};
    Duration clockOffset{};  // the boot clocks of different machines are unrelated
    int clockRate = 1;
    std::uint64_t incarnation = 0;           // incremented at every start
    std::uint64_t highestConfiguration = 0;  // version, in this incarnation
    std::uint64_t messagesReceived = 0, bytesSent = 0;
  };
  enum class Kind { Tick, Arrive, DiskDone };
  struct Event {
    Instant at;
    std::uint64_t sequence = 0;  // orders events of the same time
    Kind kind{};
    std::size_t machine = 0;
    std::uint64_t incarnation = 0;                    // of the machine; 0: any
    std::string bytes;                                // Arrive: the encoded message
    std::shared_ptr<std::vector<ReplicaWork>> batch;  // DiskDone: the synced work
    std::uint64_t diskGeneration = 0;                 // DiskDone: at the start of the sync
    bool operator>(const Event& other) const {
      return std::tie(at, sequence) > std::tie(other.at, other.sequence);
    }
  };
  Instant localTime(const Machine& machine) const {
    return Instant(now_.time_since_epoch() * machine.clockRate) + machine.clockOffset;
  }
  void schedule(Event event);
  // Carries out what the control logic asked for: messages, disk work, finished operations.
  void apply(std::size_t machine, AgentEffects effects);
  std::uint64_t submit(std::size_t machine, ChangeRequest change);
  void startSync(std::size_t machine);
  void finishSync(std::size_t machine, const std::vector<ReplicaWork>& batch);
  void sendMessage(std::size_t from, const Envelope& envelope);
  void handle(const Event& event);
  void checkMachine(std::size_t machine);
  void checkLeases();
  void recordViolation(const std::string& what);
  std::size_t indexOf(const Address& address) const;

  WorldSettings settings_;
  std::mt19937_64 random_;
  Instant now_{};
  std::uint64_t lastSequence_ = 0;
  std::vector<Machine> machines_;
  std::map<Address, std::size_t> machineByAddress_;
  std::set<std::pair<std::size_t, std::size_t>> blockedLinks_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::vector<RecordedOperation> operations_;
  std::map<std::pair<std::size_t, OperationId>, std::uint64_t> pending_;  // to the recorded id
  std::set<std::string> leaderRoles_;
  // By role: the highest fence seen and the machine that held it.
  std::map<std::string, std::pair<std::uint64_t, std::size_t>> highestFence_;
  std::map<std::uint64_t, WriteId> writeByVersion_;              // a version is written only once
  std::vector<std::pair<Instant, std::uint64_t>> acknowledged_;  // (time, version), both rising
  std::vector<Violation> violations_;
  std::uint64_t traceHash_ = 0;
  RunCounters counters_;
};

}  // namespace quayrill::sim
