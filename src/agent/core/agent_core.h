#pragma once
// The control logic of one daemon as a state machine: (state, event, now) -> effects. The daemon
// and the simulator run the same code.
#include <optional>
#include <random>
#include <set>

#include "agent/core/event_sources.h"
#include "agent/core/fleet_builds.h"
#include "agent/core/freshness.h"
#include "agent/core/gossip.h"
#include "agent/core/leases.h"
#include "agent/core/membership.h"
#include "agent/core/plane_exchange.h"
#include "agent/core/server_list.h"
#include "agent/core/server_notes.h"
#include "agent/core/weights_histories.h"
#include "register/epoch_sweep.h"
#include "register/proposer.h"
#include "register/replica.h"
#include "register/replica_plan.h"

namespace quayrill {

// Settings of the control logic. Spans are on this daemon's clock.
struct AgentSettings {
  Address self;
  std::string zone;
  std::vector<Address> seeds;
  std::string proxyAddress;
  std::uint64_t nonce = 0;  // random at every process start
  std::size_t replicasWanted = 4;
  bool mayFound = true;  // false: never founds a fleet; with an empty disk it waits to join one
  // How long a founder waits for a daemon that may know an existing fleet; zero if the platform
  // states that the whole system is starting for the first time.
  Duration foundingWait = std::chrono::seconds(3);
  Duration
      leaseSpan{};  // minimum time between the last action of one leader and the first of the next
  std::chrono::milliseconds listInterval{400};
  double listCallsPerSecond = 50;  // limit on calls for the platform's list, over all daemons
  LossTolerance losses{};          // the losses that replicasWanted replicas must tolerate
  Topology topology{};
  // The shortest time from the start of a lost machine or its successor to the next loss; 0: no
  // such guarantee.
  Duration catchUpSpan{};
  std::string build{};  // of this program, see buildIdentity()
};

// One unit of work for the replica's disk: the writes are synced in order, then the answer is sent.
struct ReplicaWork {
  std::vector<DiskWrite> writes;
  std::optional<Envelope> answer;
};

// What the caller must do after an event.
struct AgentEffects {
  std::vector<Envelope> sends;
  std::vector<ReplicaWork> replicaWork;
  std::vector<ChangeOutcome> done;  // outcomes of the operations started by requestChange
  bool readList = false;  // read the platform's list, then call onListRead or onListFailed
                          // exactly once
};

// Membership, gossip, leader roles, the register and its replica set, the server list and the
// exchange between data planes, tied together.
class AgentCore {
 public:
  // `disk` has the contents of the data folder; nullopt if there is no data folder.
  AgentCore(AgentSettings settings, std::optional<std::map<std::string, std::string>> disk);
  // Returns the first work for the replica's disk; call once, before any event.
  std::vector<ReplicaWork> start();

  void onMessage(const Envelope& envelope, Instant now, AgentEffects* effects);
  void onTick(Instant now, AgentEffects* effects);
  // Starts an operation on the register. Its outcome is returned in AgentEffects::done.
  OperationId requestChange(ChangeRequest change, Instant now, AgentEffects* effects);
  // A write to the disk failed: the replica stops voting.
  void onDiskError();
  // The data folder was reopened after an error, or opened late: the replica votes again, based on
  // what is actually on the disk. Returns false if the rows can't be decoded.
  bool onDiskReloaded(const std::map<std::string, std::string>& disk, AgentEffects* effects);
  // recover: on an operator's request, abandons a register whose majority is lost and founds a new
  // one on this machine's disk. `savedConfiguration` had version `savedVersion`; if it is empty,
  // the newest configuration known to this daemon is used. Rejected while the old register may
  // still be alive.
  struct RecoveryResult {
    std::string rejection;  // the reason for a rejection; "" on success
    ReplicaSet replicas;
    std::uint64_t configurationVersion = 0;
  };
  RecoveryResult recover(const std::string& savedConfiguration, std::uint64_t savedVersion,
                         Instant now, AgentEffects* effects);
  // One unit of replica work has been synced and answered.
  void onReplicaWorkDone() { --replicaBacklog_; }
  // Announces that this daemon is leaving, so that its roles and its replica move to others.
  void setLeaving(bool leaving) { leaving_ = leaving; }
  // Replaces the seeds (at least one) that this daemon contacts, starting with the next tick. Known
  // peers, stored state and operations in progress are not affected.
  void setSeeds(std::vector<Address> seeds);
  void setListLimits(Duration every, double callsPerS) { list_.setLimits(every, callsPerS); }

  // True if rendezvous hashing over the live daemons assigns `role` to this one. Only machines with
  // a store are candidates: a lease needs a majority of them, so without any of them nobody could
  // hold one.
  bool ownsRole(const std::string& role, Instant now) const;
  // For a leader role whose work is overdue: its owner may have failed without this being detected
  // yet, so the next candidates try to acquire the lease, each some time after the one before it.
  // Only the lease permits acting, so additional contenders cost nothing but messages.
  bool mayTakeOverRole(const std::string& role, Duration overdue, Instant now) const;
  // Starts the next operation, if any, towards acquiring or renewing the lease for `role`.
  void tryAcquireLease(const RegisterKey& role, Instant now, AgentEffects* effects);
  // Releases the lease for `role` if this daemon holds it.
  void releaseLease(const RegisterKey& role, Instant now, AgentEffects* effects);
  // The fence of the lease for `role` if this daemon is certain to hold it for another `needed`.
  std::optional<FencingToken> heldFence(const RegisterKey& role, Duration needed,
                                        Instant now) const {
    return leases_.heldFence(role, needed, now);
  }

  // The platform's list was read, by a read that began at `askedAt` and took `calls` calls.
  void onListRead(std::vector<ListedServer> rows, Instant askedAt, std::size_t calls, Instant now,
                  AgentEffects* effects);
  void onListFailed(std::size_t calls, bool overRate, Instant now) {
    list_.onReadFailed(calls, overRate, now);
  }
  const ServerList& list() const { return list_; }
  // Sends what this daemon learned about a server whose weights it controls to all live daemons.
  void broadcastNote(const ServerNote& note, Instant now, AgentEffects* effects);
  const ServerNotes& notes() const { return notes_; }
  // The configuration in force names these weights. `confirmedAt` is when the previous
  // configuration was last known to be the newest.
  void onWeightsConfigured(const std::map<ModelName, WeightsVersion>& weights,
                           std::optional<Instant> confirmedAt) {
    weights_.onConfiguration(weights, confirmedAt);
  }
  // Forgets weights that were superseded before `before`: they are no longer used.
  void forgetWeightsBefore(Instant before) { weights_.forgetBefore(before); }
  const WeightsHistories& weights() const { return weights_; }
  // Takes what the data plane of this daemon observed since its last report.
  void takePlaneReport(DataPlaneReport report) { exchange_.addOwnReport(std::move(report)); }
  // Returns and removes what the fleet's data planes observed, for the data plane of this daemon.
  std::vector<DataPlaneDigest> takePlaneDigests() { return exchange_.takeDigests(); }
  // The sources whose cache events this daemon reads for the fleet. Empty until it has had time to
  // discover the other daemons: otherwise it would assign every source to itself, and after a
  // restart of all daemons each of them would read everything.
  std::vector<ServerName> eventSources(const std::vector<EventSource>& sources, Instant now) const;
  const Freshness& freshness() const { return freshness_; }
  // Asks all live daemons which build they are. Answers are in builds() as they come.
  void askBuilds(Instant now, AgentEffects* effects) {
    builds_.ask(gossip_.live(now), now, &effects->sends);
  }
  const FleetBuilds& builds() const { return builds_; }
  // The gossip items of all live daemons, including this one.
  std::vector<GossipItem> live(Instant now) const { return gossip_.live(now); }
  const AgentSettings& settings() const { return settings_; }
  StoreId store() const { return replica_ ? replica_->store() : StoreId{}; }
  // This daemon has a replica that hasn't stopped voting. isVoting: it is also a member of its set.
  bool isWritable() const { return replica_ && replica_->isVoting(); }
  bool isVoting() const { return replica_ && replica_->isVoting() && replica_->isMember(); }
  // The members that this daemon exchanges membership messages with.
  std::vector<Address> view() const { return membership_.view(); }
  // This daemon is leaving, its replica is still a member, and the replica set can soon continue
  // without it.
  bool isHandingOver(Instant now) const;

 private:
  // What an operation on the register is for; it determines who handles the outcome.
  enum class Purpose { External, Settle, Lease, Replicas, Sweep };
  void onReplicaMessage(const Envelope& envelope, Instant now, AgentEffects* effects);
  void onFoundingMessage(const Envelope& envelope, Instant now, AgentEffects* effects);
  // Answers a FoundingRequest; a grant is written to disk before the answer is sent.
  void answerFoundAsk(const Address& from, const FoundingRequest& ask, Instant now,
                      AgentEffects* effects);
  bool isFounder(Instant now) const;
  // Founding requires the grants of all seeds, so that any two founders need the grant of at least
  // one common machine. If the seed list changes, this holds only while each list keeps more than
  // half of the initial one.
  bool keepsMajorityOfInitialSeeds() const;
  void restoreGrant(const std::map<std::string, std::string>& disk);
  void foundWhenGranted(Instant now, AgentEffects* effects);
  // False if `replicas` was founded by another founding than the one that this machine granted.
  bool mayAdopt(const ReplicaSet& replicas, Instant now) const;
  // Asks other daemons for a newer replica set if this daemon can't confirm its own.
  void queryNewerReplicaSet(Instant now, AgentEffects* effects);
  void tickFounding(Instant now, AgentEffects* effects);
  void tickConfirm(Instant now, AgentEffects* effects);
  void tickReplicaSet(Instant now, AgentEffects* effects);
  void advanceReplicaSet(Instant now, AgentEffects* effects);
  void recordContact(const Address& from, const ConfirmResponse& answer, Instant now);
  bool isReachable(StoreId store, Instant now) const;
  // The member's store was replaced, or it has been unreachable for `span`.
  bool isLost(const ReplicaMember& member, Duration span, Instant now) const;
  // How long a member may be unreachable before it is removed, with and without a spare store that
  // can take its place.
  Duration silenceLimit() const;
  Duration silenceLimitWithoutSpare() const;
  // A member to remove from the set: it is lost, or has announced that it is leaving.
  std::optional<ReplicaMember> departingMember(bool spareWaits, Instant now) const;
  bool isLeaving(const ReplicaMember& member) const;
  // The member to remove if there are more than wanted and none is departing.
  ReplicaMember surplusMember(Instant now) const;
  Site siteOf(const Address& address) const;
  // Whether `member` may be removed without a successor: the rest must not tolerate fewer losses.
  bool mayRemoveWithoutSuccessor(const ReplicaMember& member, Instant now) const;
  // The number of members in one region and zone. Regions are counted only if the loss of a region
  // must be tolerated.
  struct Occupancy {
    std::size_t inRegion = 0, inZone = 0;
    auto operator<=>(const Occupancy&) const = default;
  };
  Occupancy occupancyAt(const Site& site, const std::vector<ReplicaMember>& members) const;
  // Whether replacing the surplus member by `joining` moves a replica to a region or zone that has
  // at least two members fewer.
  bool improvesSpread(const ReplicaMember& joining, Instant now) const;
  // The spare store that should join next, if any.
  std::optional<ReplicaMember> joinCandidate(Instant now) const;
  void tickSweep(Instant now, AgentEffects* effects);
  void begin(ChangeRequest change, Purpose purpose, Instant now, AgentEffects* effects);
  void finish(const std::vector<ChangeOutcome>& done, Instant now, AgentEffects* effects);
  void adopt(const ReplicaSet& replicas, Instant now, AgentEffects* effects);
  // Writes the current replica set to disk if this machine has a replica that knows an older one.
  void persistReplicaSet(AgentEffects* effects);
  void enqueueReplicaWork(ReplicaWork work, AgentEffects* effects);
  bool isReplicaBacklogFull() const;
  void sendAll(std::vector<std::pair<ReplicaMember, Message>> sends, AgentEffects* effects);
  // The set that should replace the current one, if any.
  std::optional<ReplicaSet> nextReplicaSet(Instant now) const;
  // The candidates for leader roles. Empty until this daemon has had time to discover the others: a
  // lease that it acquires by mistake would have to expire before the actual owner could act.
  std::vector<Address> roleCandidates(Instant now) const;
  bool hasDiscoveredPeers(Instant now) const;
  void tickList(Instant now, AgentEffects* effects);
  void tickGossip(Instant now, AgentEffects* effects);
  // Sends this daemon's own state at once to the machines that decide on the replica set.
  void notifyStoreHolders(Instant now, AgentEffects* effects);
  void sendListAnswers(std::vector<Envelope> sends, Instant now, AgentEffects* effects);

  AgentSettings settings_;
  const std::vector<Address> initialSeeds_;  // at the start of this process
  std::mt19937_64 random_;
  std::optional<RegisterReplica> replica_;
  Membership membership_;
  Gossip gossip_;
  Freshness freshness_;
  Proposer proposer_;
  Leases leases_;
  ServerList list_;
  ListPeers listPeers_;  // recomputed at nextListPeers_
  ServerNotes notes_;
  PlaneExchange exchange_;
  WeightsHistories weights_;
  FleetBuilds builds_;
  std::map<OperationId, Purpose> purposes_;  // one entry per operation in progress
  std::uint64_t operationCounter_ = 0;
  // Replica work that was issued and isn't finished. At the limit the replica drops messages, which
  // bounds the delay of answers by a slow disk.
  std::size_t replicaBacklog_ = 0;
  bool leaving_ = false;
  Instant startedAt_{};  // the first tick
  Instant lastTickAt_{};
  // The parts of this daemon's state that are announced without waiting for the next heartbeat.
  struct Announcement {
    bool leaving = false;
    StoreId store;
    Incarnation incarnation;
    bool operator==(const Announcement&) const = default;
  };
  Announcement lastAnnounced_;
  Instant nextHeartbeat_{}, nextGossipPull_{}, nextConfirm_{}, nextFounding_{},
      nextReplicaSetCheck_{}, nextSweep_{}, nextListPeers_{};
  Duration settleDelay_{};
  std::uint64_t confirmRounds_ = 0;
  // Founding. A grant is for one fleet of one founder. Until it expires, only the same address may
  // get another one, as its earlier process is gone. The time of a grant that was restored from
  // disk restarts at the first tick, so it is never shorter than promised.
  struct Grant {
    Address to;
    std::uint64_t fleet = 0;
    Instant until;
  };
  struct FoundingRound {
    Instant sentAt;
    bool requestsGrant = false;
  };
  struct SeedAnswer {
    Instant askedAt;
    bool granted = false;  // to the fleet that this process would found
    bool mayFound = false;
    StoreId store;
  };
  std::uint64_t ownFleet_ = 0;  // the fleet that this process would found
  Grant grant_;
  // By nonce; at most kSeedAnswerValidity old.
  std::map<std::uint64_t, FoundingRound> foundingRounds_;
  // Each seed's last answer that it knows no fleet.
  std::map<Address, SeedAnswer> seedAnswers_;
  EpochSweep epochSweep_;
  // Stores that answered recently; silentSince_ has the members of the replica set that did not.
  struct Contact {
    Address address;
    Instant answeredAt;
    std::uint64_t fleet = 0;
    // When it last answered again after being unreachable, and how often that happened recently.
    Instant stableSince;
    int reconnects = 0;
  };
  std::map<StoreId, Contact> contacts_;
  std::map<StoreId, Instant> silentSince_;
  // Members of the current replica set at whose address another store answers.
  std::set<StoreId> replacedStores_;
  Instant lastTick_{};
  Instant stepPendingSince_{};  // since when the replica set has been waiting for its next step
  std::pair<Epoch, bool> pendingStep_;
};

}  // namespace quayrill
