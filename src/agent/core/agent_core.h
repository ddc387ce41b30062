#pragma once
// All control logic of one daemon: (state, event, now) -> effects. The shells and the simulator
// drive the same code.
#include <optional>
#include <random>
#include <set>

#include "agent/core/event_sources.h"
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

struct AgentSettings {
  Address self;
  std::string zone;
  std::vector<Address> seeds;
  std::string proxyAddress;
  std::uint64_t nonce = 0;  // random at every start
  std::size_t replicasWanted = 4;
  bool mayFound = true;  // false: this daemon never founds a fleet, an empty disk waits to join one
  // How long a founder waits for those who may know of a fleet; none where the platform itself says
  // that the whole system starts for the first time.
  Span foundingWait = std::chrono::seconds(3);
  Span leaseSpan{};  // two holders of one leader role never act within this of each other
  std::chrono::milliseconds listEvery{400};
  double listCallsPerS = 50;  // for the platform's list, of all daemons together
  LossTolerance losses{};     // that replicasWanted bear
  Topology topology{};
  // The next loss may come so long after a lost machine, or its successor, started; 0: not
  // promised.
  Span catchUpSpan{};
};

// One piece of work for the replica's disk: the writes are synced in order, then the answer leaves.
struct ReplicaWork {
  std::vector<DiskWrite> writes;
  std::optional<Envelope> answer;
};

struct AgentEffects {
  std::vector<Envelope> sends;
  std::vector<ReplicaWork> replicaWork;
  std::vector<ChangeOutcome> done;  // of the operations asked from outside
  bool readList = false;            // the platform's list is to be read, and takeList or
                                    // onListFailed called once
};

class AgentCore {
 public:
  // `disk` is what the data folder held, or nothing where there is no folder.
  AgentCore(AgentSettings settings, std::optional<std::map<std::string, std::string>> disk);
  std::vector<ReplicaWork> start();

  void onMessage(const Envelope& envelope, Instant now, AgentEffects* effects);
  void onTick(Instant now, AgentEffects* effects);
  OperationId requestChange(ChangeRequest change, Instant now, AgentEffects* effects);
  void onDiskError();
  // The data folder was opened and read anew after a error, or late: the replica votes again by
  // what is really there. False where the rows can't be understood.
  bool onDiskReloaded(const std::map<std::string, std::string>& disk, AgentEffects* effects);
  // The operator gives the present register up, its majority being lost, and founds a new one on
  // this machine's disk. `given` is a saved configuration that was in force as `givenVersion`; else
  // the newest that this daemon knows is kept. Turned away while the register may still live.
  struct Recovered {
    std::string rejection;  // why not; "" when it is done
    ReplicaSet replicas;
    std::uint64_t configurationVersion = 0;
  };
  Recovered recover(const std::string& given, std::uint64_t givenVersion, Instant now,
                    AgentEffects* effects);
  // One piece of replica work is synced and answered.
  void onReplicaWorkDone() { --replicaBacklog_; }
  void setLeaving(bool leaving) { leaving_ = leaving; }
  // Other seeds stand in the settings now, one at least: from the next tick on this daemon looks
  // for its fleet there. Nothing that it knows, keeps or has under way changes.
  void setSeeds(std::vector<Address> seeds);
  void setListLimits(Span every, double callsPerS) { list_.setLimits(every, callsPerS); }

  // True where `duty` falls to this daemon among the live ones. Leader roles fall to machines that
  // keep a store only: a lease needs a majority of these, so where none of them lives nobody could
  // hold one.
  bool ownsRole(const std::string& role, Instant now) const;
  // For a leader role that should long be done: its owner may be gone and not missed yet, so the
  // next in order may pursue the lease after a while, and the one after it later. The lease alone
  // gives the right, so more who pursue it cost messages and nothing else.
  bool mayTakeOverRole(const std::string& role, Span overdue, Instant now) const;
  void tryAcquireLease(const RegisterKey& role, Instant now, AgentEffects* effects);
  void releaseLease(const RegisterKey& role, Instant now, AgentEffects* effects);
  std::optional<Fence> held(const RegisterKey& role, Span needed, Instant now) const {
    return leases_.held(role, needed, now);
  }

  void takeList(std::vector<ListRow> rows, Instant askedAt, std::size_t calls, Instant now,
                AgentEffects* effects);
  void onListFailed(std::size_t calls, bool overRate, Instant now) {
    list_.onReadFailed(calls, overRate, now);
  }
  const ServerList& list() const { return list_; }
  // What this daemon learned of a server whose weights it orders, told to all that live.
  void broadcastNote(const ServerNote& note, Instant now, AgentEffects* effects);
  const ServerNotes& notes() const { return notes_; }
  // The configuration in force names these weights. `confirmedAt`: when the one before it was
  // certainly still the newest.
  void onWeightsConfigured(const std::map<ModelName, WeightsVersion>& weights,
                           std::optional<Instant> confirmedAt) {
    weights_.onConfiguration(weights, confirmedAt);
  }
  // Weights that were superseded before `before` are used no more.
  void forgetWeightsBefore(Instant before) { weights_.forgetBefore(before); }
  const WeightsHistories& weights() const { return weights_; }
  // What the data plane of this daemon observed since its last report.
  void takePlaneReport(PlaneReport report) { exchange_.addOwnReport(std::move(report)); }
  // What the fleet's data planes observed, for the data plane of this daemon.
  std::vector<PlaneDigest> takePlaneDigests() { return exchange_.takeDigests(); }
  // Those whose cache events this daemon reads for the fleet. None until it has had time to hear of
  // the others: it would take every source for its own, and after a restart of all daemons each
  // would read everything.
  std::vector<ServerName> eventSources(const std::vector<EventSource>& sources, Instant now) const;
  const Freshness& freshness() const { return freshness_; }
  std::vector<NewsItem> live(Instant now) const { return gossip_.live(now); }
  const AgentSettings& settings() const { return settings_; }
  StoreId store() const { return replica_ ? replica_->store() : StoreId{}; }
  bool isWritable() const { return replica_ && replica_->isVoting(); }
  bool isVoting() const { return replica_ && replica_->isVoting() && replica_->isMember(); }
  std::vector<Address> view() const { return membership_.view(); }
  // This daemon leaves, its register replica is still a member, and the set can do without it soon.
  bool isHandingOver(Instant now) const;

 private:
  enum class Purpose { External, Settle, Lease, Replicas, Sweep };
  void onReplicaMessage(const Envelope& envelope, Instant now, AgentEffects* effects);
  void onFoundingMessage(const Envelope& envelope, Instant now, AgentEffects* effects);
  // Answers what a seed was asked; a grant is on the disk before its answer leaves.
  void answerFoundAsk(const Address& from, const FoundAsk& ask, Instant now, AgentEffects* effects);
  bool isFounder(Instant now) const;
  // Founding needs the grants of all seeds, so that any two founders ask one machine in common.
  // Lists that changed in between hold to this only while each keeps most of the first one.
  bool keepsMajorityOfInitialSeeds() const;
  void restoreGrant(const std::map<std::string, std::string>& disk);
  void foundWhenGranted(Instant now, AgentEffects* effects);
  // False for a founding that is not the one this machine gave its grant to.
  bool mayAdopt(const ReplicaSet& replicas, Instant now) const;
  void queryNewerReplicaSet(Instant now, AgentEffects* effects);
  void tickFounding(Instant now, AgentEffects* effects);
  void tickConfirm(Instant now, AgentEffects* effects);
  void tickReplicaSet(Instant now, AgentEffects* effects);
  void advanceReplicaSet(Instant now, AgentEffects* effects);
  void recordContact(const Address& from, const ConfirmAnswer& answer, Instant now);
  bool isReachable(StoreId store, Instant now) const;
  // Gone for certain, or silent for `span`.
  bool isLost(const ReplicaMember& member, Span span, Instant now) const;
  // How long a member may be out of touch where a spare waits, and where none does.
  Span silenceLimit() const;
  Span silenceLimitWithoutSpare() const;
  // A member that the set must give up: lost, or leaving by its own word.
  std::optional<ReplicaMember> departingMember(bool spareWaits, Instant now) const;
  bool isLeaving(const ReplicaMember& member) const;
  // The one to give up where none departs and there are more than wanted.
  ReplicaMember surplusMember(Instant now) const;
  Site siteOf(const Address& address) const;
  // Without a successor `member` leaves only where the rest bears no less for it.
  bool mayRemoveWithoutSuccessor(const ReplicaMember& member, Instant now) const;
  // Members in one place; regions count only where their loss is to be borne.
  struct Occupancy {
    std::size_t inRegion = 0, inZone = 0;
    auto operator<=>(const Occupancy&) const = default;
  };
  Occupancy occupancyAt(const Site& site, const std::vector<ReplicaMember>& members) const;
  // In place of the surplus member, `joining` would stand where at least two fewer stand.
  bool improvesSpread(const ReplicaMember& joining, Instant now) const;
  std::optional<ReplicaMember> joinCandidate(Instant now) const;
  void tickSweep(Instant now, AgentEffects* effects);
  void begin(ChangeRequest change, Purpose purpose, Instant now, AgentEffects* effects);
  void finish(const std::vector<ChangeOutcome>& done, Instant now, AgentEffects* effects);
  void adopt(const ReplicaSet& replicas, Instant now, AgentEffects* effects);
  // Writes the replica set in use down where this machine holds a replica and has an older one.
  void persistReplicaSet(AgentEffects* effects);
  void enqueueReplicaWork(ReplicaWork work, AgentEffects* effects);
  bool isReplicaBacklogFull() const;
  void sendAll(std::vector<std::pair<ReplicaMember, Message>> sends, AgentEffects* effects);
  std::optional<ReplicaSet> nextReplicaSet(Instant now) const;
  // Those that a leader role may fall to. Empty until this daemon has had time to hear of the
  // others: what it would take for its own would have to be watched out by the true owner.
  std::vector<Address> roleCandidates(Instant now) const;
  bool hasDiscoveredPeers(Instant now) const;
  void tickList(Instant now, AgentEffects* effects);
  void tickGossip(Instant now, AgentEffects* effects);
  // Who judges the replica set hears at once of what bears on it.
  void notifyStoreHolders(Instant now, AgentEffects* effects);
  void sendListAnswers(std::vector<Envelope> sends, Instant now, AgentEffects* effects);

  AgentSettings settings_;
  const std::vector<Address> initialSeeds_;  // as this process started
  std::mt19937_64 random_;
  std::optional<RegisterReplica> replica_;
  Membership membership_;
  Gossip gossip_;
  Freshness freshness_;
  Proposer proposer_;
  Leases leases_;
  ServerList list_;
  ListPeers listPeers_;  // as of the last time that it was due to be made anew
  ServerNotes notes_;
  PlaneExchange exchange_;
  WeightsHistories weights_;
  std::map<OperationId, Purpose> purposes_;  // one row per operation under way
  std::uint64_t operationCounter_ = 0;
  // Copy work handed out and not yet done; past the limit the replica takes no more messages, so a
  // slow disk delays answers by a bounded queue only.
  std::size_t replicaBacklog_ = 0;
  bool leaving_ = false;
  Instant startedAt_{};  // of the first tick
  // What this daemon last told of itself at once.
  struct Announcement {
    bool leaving = false;
    StoreId store;
    Incarnation incarnation;
    bool operator==(const Announcement&) const = default;
  };
  Announcement lastAnnounced_;
  Instant nextHeartbeat_{}, nextGossipPull_{}, nextConfirm_{}, nextFounding_{},
      nextReplicaSetCheck_{}, nextSweep_{}, nextListPeers_{};
  Span settleDelay_{};
  std::uint64_t confirmRounds_ = 0;
  // Founding. A grant is for one fleet of one founder; the next waits until it has run out, unless
  // it comes from the same address, whose earlier life is gone. One read back from the disk runs
  // anew from the first tick: never shorter than it was promised.
  struct Grant {
    Address to;
    std::uint64_t fleet = 0;
    Instant until;
  };
  struct FoundingRound {
    Instant sentAt;
    bool wantsGrant = false;
  };
  struct SeedAnswer {
    Instant askedAt;
    bool granted = false;  // to this life's fleet
    bool mayFound = false;
    StoreId store;
  };
  std::uint64_t ownFleet_ = 0;  // the one that this life would found
  Grant grant_;
  std::map<std::uint64_t, FoundingRound> foundingRounds_;  // by nonce; no older than kSaidSpan
  std::map<Address, SeedAnswer> seedAnswers_;              // the last 'unfounded' of each seed
  EpochSweep epochSweep_;
  // Stores that answered lately, and since when each member of the replica set has not.
  struct Contact {
    Address address;
    Instant at;
    std::uint64_t fleet = 0;
    // The last time that it answered again after a silence, and how often it did so lately.
    Instant stableSince;
    int reconnects = 0;
  };
  std::map<StoreId, Contact> contacts_;
  std::map<StoreId, Instant> silentSince_;
  // Members of the present replica set whose address answered as another store when asked for them.
  std::set<StoreId> replacedStores_;
  Instant lastTick_{};
  Instant stepPendingSince_{};  // that the replica set has waited for its next step
  std::pair<Epoch, bool> pendingStep_;
};

}  // namespace quayrill
