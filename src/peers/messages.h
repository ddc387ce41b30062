#pragma once
// What the peers say to each other. The table below is the whole language.
#include <absl/status/statusor.h>

#include <map>
#include <string>
#include <variant>
#include <vector>

#include "base/types.h"
#include "peers/archive.h"

namespace quayrill {

// Raised when a frame of this build could be misread by an older one.
inline constexpr std::uint32_t kWireVersion = 4;

#define QUAYRILL_FIELDS(...)                   \
  template <class Archive>                     \
  void serialize(Archive& archive, unsigned) { \
    serializeAll(archive, __VA_ARGS__);        \
  }
template <class Archive, class... Fields>
void serializeAll(Archive& archive, Fields&... fields) {
  (void)std::initializer_list<int>{((void)(archive & fields), 0)...};
}

// Ballots are ordered by epoch, then round, then proposer. No two proposers share an id, so no two
// ballots are equal unless one proposer made both.
struct Ballot {
  Epoch epoch;
  std::uint64_t round = 0;
  ProposerId proposer;
  auto operator<=>(const Ballot&) const = default;
  QUAYRILL_FIELDS(epoch, round, proposer)
};

// version rises by one with every change. writeId names the change that made this value, and
// priorWrites the ones before it (newest first, bounded): they settle a change of unknown result.
struct RegisterValue {
  std::uint64_t version = 0;  // 0: never written
  WriteId writeId;
  std::vector<WriteId> priorWrites;
  std::string body;
  bool operator==(const RegisterValue&) const = default;
  QUAYRILL_FIELDS(version, writeId, priorWrites, body)
};

struct ReplicaMember {
  StoreId store;
  Address address;
  auto operator<=>(const ReplicaMember&) const = default;
  QUAYRILL_FIELDS(store, address)
};

// The machines that hold register replicas. Two neighbouring epochs differ by one member, so any
// majority of one meets any majority of the other. `settled` says that every key was rewritten
// under this epoch; only then may the next epoch follow.
struct ReplicaSet {
  Epoch epoch;  // 0: none known
  std::uint64_t fleet = 0;
  bool settled = false;
  std::vector<ReplicaMember> members;  // sorted
  bool operator==(const ReplicaSet&) const = default;
  QUAYRILL_FIELDS(epoch, fleet, settled, members)
};

struct ViewEntry {
  Address address;
  std::uint32_t age = 0;
  QUAYRILL_FIELDS(address, age)
};

// One version per source: (incarnation, counter). Only the source itself raises it.
struct GossipVersion {
  Incarnation incarnation;
  std::uint64_t counter = 0;
  auto operator<=>(const GossipVersion&) const = default;
  QUAYRILL_FIELDS(incarnation, counter)
};

struct GossipItem {
  Address source;
  GossipVersion version;
  std::uint64_t nonce = 0;  // tells two lives of one address apart
  std::string zone;
  StoreId store;  // 0: holds no replica and wants none
  ConfigurationVersion configurationInForce;
  std::string proxyAddress;
  bool leaving = false;
  std::uint64_t fleet = 0;  // that its register replica belongs to; 0: none yet
  QUAYRILL_FIELDS(source, version, nonce, zone, store, configurationInForce, proxyAddress, leaving,
                  fleet)
};

using GossipDigest = std::vector<std::pair<Address, GossipVersion>>;

struct Probe {
  std::uint64_t sequence = 0;
  Address subject;
  QUAYRILL_FIELDS(sequence, subject)
};
struct ProbeResponse {
  std::uint64_t sequence = 0;
  Address subject;
  QUAYRILL_FIELDS(sequence, subject)
};
struct ShuffleRequest {
  std::vector<ViewEntry> entries;
  QUAYRILL_FIELDS(entries)
};
struct ShuffleResponse {
  std::vector<ViewEntry> entries;
  QUAYRILL_FIELDS(entries)
};
struct GossipRequest {
  GossipDigest known;
  QUAYRILL_FIELDS(known)
};
struct GossipResponse {
  std::vector<GossipItem> items;
  QUAYRILL_FIELDS(items)
};

struct Prepare {
  OperationId operation;
  RegisterKey key;
  Ballot ballot;
  StoreId store;
  ReplicaSet replicas;
  QUAYRILL_FIELDS(operation, key, ballot, store, replicas)
};
struct Accept {
  OperationId operation;
  RegisterKey key;
  Ballot ballot;
  StoreId store;
  ReplicaSet replicas;
  RegisterValue value;
  QUAYRILL_FIELDS(operation, key, ballot, store, replicas, value)
};
// Answers both rounds. granted: promised or accepted. Otherwise `promised` says what was in the
// way and `copies` what epoch the replica is in.
struct ReplicaResponse {
  OperationId operation;
  RegisterKey key;
  Ballot ballot;
  StoreId store;
  bool accepting = false;
  bool granted = false;
  Ballot promised;
  Ballot acceptedAt;
  RegisterValue value;
  ReplicaSet replicas;
  QUAYRILL_FIELDS(operation, key, ballot, store, accepting, granted, promised, acceptedAt, value,
                  replicas)
};
// Asks a replica for what it accepted, without a round. Bodies come only for ballots above `known`,
// and the replica set's members only where the asker's (epoch, fleet, settled) is another.
struct ConfirmRequest {
  std::uint64_t sequence = 0;
  StoreId store;
  std::vector<std::pair<RegisterKey, Ballot>> known;
  Epoch epoch;
  std::uint64_t fleet = 0;
  bool settled = false;
  bool wantsKeys = false;
  // False: a large body of the configuration is left out of the answer, which names its version.
  bool wantsBodies = false;
  QUAYRILL_FIELDS(sequence, store, known, epoch, fleet, settled, wantsKeys, wantsBodies)
};
struct ConfirmedKey {
  RegisterKey key;
  Ballot acceptedAt;
  RegisterValue value;
  QUAYRILL_FIELDS(key, acceptedAt, value)
};
// A store that is no member of its replica set, or that was asked under another store's name,
// answers without keys: that tells who is there now, and vouches for nothing.
struct ConfirmResponse {
  std::uint64_t sequence = 0;
  StoreId requestedStore;  // the store that the question named
  StoreId store;           // the one that answers
  ReplicaSet replicas;
  std::vector<ConfirmedKey> keys;
  std::vector<RegisterKey> omittedBodies;  // of `keys`: the value's body was left out
  bool hasAllKeys = false;                 // allKeys was wanted and is whole
  std::vector<RegisterKey> allKeys;
  QUAYRILL_FIELDS(sequence, requestedStore, store, replicas, keys, omittedBodies, hasAllKeys,
                  allKeys)
};
// fleet: the fleet that the asker would found; 0 where it only asks for one that exists.
struct FoundingRequest {
  std::uint64_t nonce = 0;
  std::uint64_t fleet = 0;
  QUAYRILL_FIELDS(nonce, fleet)
};
// unfounded is said only by a machine with a data folder that knows no fleet and has granted no
// other founder; `store` is then its replica's. mayFound: it may found a fleet itself.
struct FoundingResponse {
  std::uint64_t nonce = 0;
  bool unfounded = false;
  bool mayFound = false;
  StoreId store;
  ReplicaSet replicas;
  QUAYRILL_FIELDS(nonce, unfounded, mayFound, store, replicas)
};

// One server as the platform lists it.
struct ListedServer {
  ServerName name;
  std::string zone;
  bool leaving = false;
  // Where the list itself tells a server's state, nobody need ask the server: `told` says so.
  bool hasState = false;
  ServerIdentity identity{};
  ServiceName service{};
  ModelName model{};
  WeightsVersion weights{};
  std::uint32_t slots = 1;
  bool operator==(const ListedServer&) const = default;
  QUAYRILL_FIELDS(name, zone, leaving, hasState, identity, service, model, weights, slots)
};
// Asks for a newer reading of the list than the asker's own. It is kept until there is one.
struct ServerListRequest {
  std::uint64_t sequence = 0;
  std::uint64_t knownDigest = 0;     // of the rows that the asker has; 0: none
  std::int64_t knownAgeMicros = -1;  // since that reading began; -1: none
  QUAYRILL_FIELDS(sequence, knownDigest, knownAgeMicros)
};
// Weights that were the newest of their model ageMicros ago at the latest, and are no more.
struct SupersededWeights {
  ModelName model;
  WeightsVersion weights;
  std::int64_t ageMicros = 0;
  bool operator==(const SupersededWeights&) const = default;
  QUAYRILL_FIELDS(model, weights, ageMicros)
};
// Spans are of the answering daemon's clock. No rows: they are those of the digest that was asked
// with.
struct ServerListResponse {
  std::uint64_t sequence = 0;
  std::int64_t waitedMicros = 0;  // that the question was kept
  std::int64_t ageMicros = 0;     // since the reading began
  std::uint64_t digest = 0;       // of the reading's rows
  std::vector<ListedServer> rows;
  std::vector<SupersededWeights> superseded;
  QUAYRILL_FIELDS(sequence, waitedMicros, ageMicros, digest, rows, superseded)
};
// Who orders weights tells all daemons at once what it knows of a server. Notes of one server are
// ordered by (fence, sequence).
struct ServerNote {
  ServerName server;
  ServerIdentity identity;
  ModelName model;
  WeightsVersion weights;  // seen there after an order; empty: not known now
  bool switching = false;  // said again each second while it lasts
  FencingToken fence;
  std::uint64_t sequence = 0;
  QUAYRILL_FIELDS(server, identity, model, weights, switching, fence, sequence)
};

// Requests at one server of one daemon, or of several together, and the prompt tokens that the
// server has still to read for them.
struct OutstandingRow {
  ServerName server;
  std::uint32_t requests = 0;
  std::uint64_t unreadTokens = 0;
  bool operator==(const OutstandingRow&) const = default;
  QUAYRILL_FIELDS(server, requests, unreadTokens)
};
// One cache event of a server or store: it keeps so many tokens of a part now.
struct PartEventRow {
  std::uint64_t position = 0;
  bool isAdded = false;
  std::string part;
  std::uint32_t tokens = 0;
  bool operator==(const PartEventRow&) const = default;
  QUAYRILL_FIELDS(position, isAdded, part, tokens)
};
// Events under one salt. Events of one part are in one group, in the order of their positions.
struct PartEventGroup {
  CacheSalt salt;
  ModelName model;
  std::vector<PartEventRow> rows;
  bool operator==(const PartEventGroup&) const = default;
  QUAYRILL_FIELDS(salt, model, rows)
};
// One reading of a server's or a store's events, from position `first` on.
struct PartEventBatch {
  ServerName source;
  bool isReachable = true;  // false: the call failed, and nothing below is told
  std::string sourceIncarnation;
  std::uint64_t first = 0, next = 0;
  bool hasGap = false;
  std::vector<PartEventGroup> groups;
  bool operator==(const PartEventBatch&) const = default;
  QUAYRILL_FIELDS(source, isReachable, sourceIncarnation, first, next, hasGap, groups)
};
// What one data plane observed: a daemon tells it to the aggregator of its zone.
struct PlaneReport {
  std::vector<OutstandingRow> outstanding;  // all of its own; servers without any are left out
  std::vector<PartEventBatch> batches;      // read since its last report
  QUAYRILL_FIELDS(outstanding, batches)
};
// What the data planes of one zone, or of the fleet, observed. An aggregator tells its zone's to
// the aggregators of the other zones, and the fleet's to the daemons of its zone.
struct PlaneDigest {
  std::string zone;            // "": of the fleet
  std::int64_t ageMicros = 0;  // since the rows of `outstanding` were told, on average
  std::vector<OutstandingRow> outstanding;
  std::vector<PartEventBatch> batches;
  QUAYRILL_FIELDS(zone, ageMicros, outstanding, batches)
};

// Type and printed name. A message is identified on the wire by its position in this table.
// clang-format off
#define QUAYRILL_MESSAGES(X) \
  X(Probe, "Probe") \
  X(ProbeResponse, "ProbeAnswer") \
  X(ShuffleRequest, "ShuffleAsk") \
  X(ShuffleResponse, "ShuffleAnswer") \
  X(GossipRequest, "NewsAsk") \
  X(GossipResponse, "NewsAnswer") \
  X(Prepare, "Prepare") \
  X(Accept, "Accept") \
  X(ReplicaResponse, "ReplicaAnswer") \
  X(ConfirmRequest, "Confirm") \
  X(ConfirmResponse, "ConfirmAnswer") \
  X(FoundingRequest, "FoundAsk") \
  X(FoundingResponse, "FoundAnswer") \
  X(ServerListRequest, "ListAsk") \
  X(ServerListResponse, "ListAnswer") \
  X(ServerNote, "ServerNote") \
  X(PlaneReport, "PlaneReport") \
  X(PlaneDigest, "PlaneDigest")
// clang-format on

using Message = std::variant<std::monostate
#define QUAYRILL_ALTERNATIVE(type, name) , type
                                 QUAYRILL_MESSAGES(QUAYRILL_ALTERNATIVE)
#undef QUAYRILL_ALTERNATIVE
                             >;

struct Envelope {
  Address from;
  Address to;
  Message body;
};

const char* messageName(const Message& message);
std::string encodeEnvelope(const Envelope& envelope);
// A frame that does not decode whole is an error, never half a message.
absl::StatusOr<Envelope> decodeEnvelope(const std::string& bytes);

}  // namespace quayrill
