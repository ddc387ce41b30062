#pragma once
// The messages that daemons exchange, and their encoding. QUAYRILL_MESSAGES lists all of them.
//
// Fields are serialized in the order in which QUAYRILL_FIELDS names them. Clocks of two machines
// are not comparable, so messages carry ages instead of instants.
#include <absl/status/statusor.h>

#include <map>
#include <string>
#include <variant>
#include <vector>

#include "base/types.h"
#include "peers/archive.h"

namespace quayrill {

// Incremented when an older build could misread a frame of this one.
inline constexpr std::uint32_t kWireVersion = 4;

// Declares the fields that a message struct serializes. Their names, in that order, are text for
// the tests of the layout.
#define QUAYRILL_FIELDS(...)                               \
  static constexpr const char* kFieldNames = #__VA_ARGS__; \
  template <class Archive>                                 \
  void serialize(Archive& archive, unsigned) {             \
    serializeAll(archive, __VA_ARGS__);                    \
  }
template <class Archive, class... Fields>
void serializeAll(Archive& archive, Fields&... fields) {
  (void)std::initializer_list<int>{((void)(archive & fields), 0)...};
}

// A Paxos ballot. Ballots are ordered by epoch, then round, then proposer. Proposers have distinct
// ids, so equal ballots come from the same proposer.
struct Ballot {
  Epoch epoch;
  std::uint64_t round = 0;
  ProposerId proposer;
  auto operator<=>(const Ballot&) const = default;
  QUAYRILL_FIELDS(epoch, round, proposer)
};

// The value of one register key. A proposer that doesn't know whether its write was chosen finds
// out by looking for the write's id in writeId and priorWrites.
struct RegisterValue {
  std::uint64_t version = 0;         // incremented by every write; 0: never written
  WriteId writeId;                   // the write that produced this value
  std::vector<WriteId> priorWrites;  // the ones before it, newest first; bounded
  std::string body;
  bool operator==(const RegisterValue&) const = default;
  QUAYRILL_FIELDS(version, writeId, priorWrites, body)
};

// One replica of the register. `store` identifies its data on disk, which outlives the process.
struct ReplicaMember {
  StoreId store;
  Address address;
  auto operator<=>(const ReplicaMember&) const = default;
  QUAYRILL_FIELDS(store, address)
};

// The daemons that hold register replicas. Consecutive epochs differ by one member, so any majority
// of one epoch intersects any majority of the other.
struct ReplicaSet {
  Epoch epoch;              // 0: none known
  std::uint64_t fleet = 0;  // identifies the fleet; 0: none
  // Every key was rewritten under this epoch. Only then may the next epoch begin.
  bool settled = false;
  std::vector<ReplicaMember> members;  // sorted
  bool operator==(const ReplicaSet&) const = default;
  QUAYRILL_FIELDS(epoch, fleet, settled, members)
};

// An entry of the partial view of the fleet that daemons shuffle between each other.
struct ViewEntry {
  Address address;
  std::uint32_t age = 0;  // in shuffle rounds since the daemon was last heard of
  QUAYRILL_FIELDS(address, age)
};

// The version of a daemon's gossip item. Only the daemon itself increments it.
struct GossipVersion {
  Incarnation incarnation;
  std::uint64_t counter = 0;
  auto operator<=>(const GossipVersion&) const = default;
  QUAYRILL_FIELDS(incarnation, counter)
};

// What a daemon publishes about itself. All other daemons learn it by gossip.
struct GossipItem {
  Address source;
  GossipVersion version;
  std::uint64_t nonce = 0;  // distinguishes incarnations of one address
  std::string zone;
  StoreId store;  // 0: holds no replica and wants none
  ConfigurationVersion configurationInForce;
  std::string proxyAddress;  // of the daemon's proxy; "": it has none
  bool leaving = false;
  std::uint64_t fleet = 0;  // the fleet of its register replica; 0: none yet
  QUAYRILL_FIELDS(source, version, nonce, zone, store, configurationInForce, proxyAddress, leaving,
                  fleet)
};

// The version that a daemon knows of each source.
using GossipDigest = std::vector<std::pair<Address, GossipVersion>>;

// Checks whether `subject` is alive. A daemon that is not the subject forwards the probe to it.
struct Probe {
  std::uint64_t sequence = 0;
  Address subject;
  QUAYRILL_FIELDS(sequence, subject)
};
// The subject is alive.
struct ProbeResponse {
  std::uint64_t sequence = 0;
  Address subject;
  QUAYRILL_FIELDS(sequence, subject)
};
// Exchanges random entries of two partial views (peer sampling).
struct ShuffleRequest {
  std::vector<ViewEntry> entries;
  QUAYRILL_FIELDS(entries)
};
// Entries of the responding daemon's view, in exchange.
struct ShuffleResponse {
  std::vector<ViewEntry> entries;
  QUAYRILL_FIELDS(entries)
};
// Requests the gossip items that are newer than the known ones.
struct GossipRequest {
  GossipDigest known;
  QUAYRILL_FIELDS(known)
};
// The newer items.
struct GossipResponse {
  std::vector<GossipItem> items;
  QUAYRILL_FIELDS(items)
};

// The first round of Paxos. `store` is the addressed replica, `replicas` the replica set that the
// proposer knows.
struct Prepare {
  OperationId operation;
  RegisterKey key;
  Ballot ballot;
  StoreId store;
  ReplicaSet replicas;
  QUAYRILL_FIELDS(operation, key, ballot, store, replicas)
};
// The second round of Paxos; proposes `value`.
struct Accept {
  OperationId operation;
  RegisterKey key;
  Ballot ballot;
  StoreId store;
  ReplicaSet replicas;
  RegisterValue value;
  QUAYRILL_FIELDS(operation, key, ballot, store, replicas, value)
};
// Answers both rounds. If not granted, `promised` is the ballot that stood against it and
// `replicas` is the replica set that the replica knows.
struct ReplicaResponse {
  OperationId operation;
  RegisterKey key;
  Ballot ballot;
  StoreId store;
  bool accepting = false;  // answers Accept, not Prepare
  bool granted = false;    // promised or accepted
  Ballot promised;
  Ballot acceptedAt;  // of `value`, which the replica has accepted
  RegisterValue value;
  ReplicaSet replicas;
  QUAYRILL_FIELDS(operation, key, ballot, store, accepting, granted, promised, acceptedAt, value,
                  replicas)
};
// Reads what a replica has accepted, without a Paxos round. Values are returned only for ballots
// above the known ones, and the members of the replica set only if (epoch, fleet, settled) differ.
struct ConfirmRequest {
  std::uint64_t sequence = 0;
  StoreId store;
  std::vector<std::pair<RegisterKey, Ballot>> known;
  Epoch epoch;
  std::uint64_t fleet = 0;
  bool settled = false;
  bool wantsKeys = false;
  // False: the response gives only the version of a large configuration and omits its body.
  bool wantsBodies = false;
  QUAYRILL_FIELDS(sequence, store, known, epoch, fleet, settled, wantsKeys, wantsBodies)
};
// The value that a replica has accepted for a key.
struct ConfirmedKey {
  RegisterKey key;
  Ballot acceptedAt;
  RegisterValue value;
  QUAYRILL_FIELDS(key, acceptedAt, value)
};
// A replica that is not a member of its replica set, or that was addressed by another store's id,
// responds without keys. Such a response says which store is at the address and confirms nothing.
struct ConfirmResponse {
  std::uint64_t sequence = 0;
  StoreId requestedStore;  // from the request
  StoreId store;           // of the replica that responds
  ReplicaSet replicas;
  std::vector<ConfirmedKey> keys;
  std::vector<RegisterKey> omittedBodies;  // of `keys`: the value comes without its body
  bool hasAllKeys = false;                 // allKeys was requested and is complete
  std::vector<RegisterKey> allKeys;
  QUAYRILL_FIELDS(sequence, requestedStore, store, replicas, keys, omittedBodies, hasAllKeys,
                  allKeys)
};
// Looks for an existing fleet and, if `fleet` is set, requests consent to found that one.
struct FoundingRequest {
  std::uint64_t nonce = 0;
  std::uint64_t fleet = 0;  // the fleet to be founded; 0: only look for an existing one
  QUAYRILL_FIELDS(nonce, fleet)
};
// The response to FoundingRequest.
struct FoundingResponse {
  std::uint64_t nonce = 0;
  // Set only by a daemon with a data folder that knows no fleet and has consented to no other
  // founder. `store` is then its replica's.
  bool unfounded = false;
  bool mayFound = false;  // the responding daemon may found a fleet itself
  StoreId store;
  ReplicaSet replicas;
  QUAYRILL_FIELDS(nonce, unfounded, mayFound, store, replicas)
};

// A server in the platform's list.
struct ListedServer {
  ServerName name;
  std::string zone;
  bool leaving = false;
  // The list contains the state of the server, in the fields below, so that the server itself need
  // not be queried.
  bool hasState = false;
  ServerIdentity identity{};
  ServiceName service{};
  ModelName model{};
  WeightsVersion weights{};
  std::uint32_t slots = 1;
  bool operator==(const ListedServer&) const = default;
  QUAYRILL_FIELDS(name, zone, leaving, hasState, identity, service, model, weights, slots)
};
// Requests a reading of the server list that is newer than the sender's own. The receiver holds the
// request until it has one (long poll).
struct ServerListRequest {
  std::uint64_t sequence = 0;
  std::uint64_t knownDigest = 0;     // of the rows that the sender has; 0: none
  std::int64_t knownAgeMicros = -1;  // age of that reading; -1: none
  QUAYRILL_FIELDS(sequence, knownDigest, knownAgeMicros)
};
// A weight version that is no longer the newest of its model.
struct SupersededWeights {
  ModelName model;
  WeightsVersion weights;
  std::int64_t ageMicros = 0;  // since it was last known to be the newest
  bool operator==(const SupersededWeights&) const = default;
  QUAYRILL_FIELDS(model, weights, ageMicros)
};
// A reading of the server list. `rows` is empty if the sender of the request has them already: the
// digest is then the one that it knows. Durations are measured by the responding daemon's clock.
struct ServerListResponse {
  std::uint64_t sequence = 0;
  std::int64_t waitedMicros = 0;  // how long the request was held
  std::int64_t ageMicros = 0;     // since the reading began
  std::uint64_t digest = 0;       // of the rows of the reading
  std::vector<ListedServer> rows;
  std::vector<SupersededWeights> superseded;
  QUAYRILL_FIELDS(sequence, waitedMicros, ageMicros, digest, rows, superseded)
};
// What the daemon that orders weight updates knows about a server, sent to all daemons without
// waiting for the server list. Notes about one server are ordered by (fence, sequence).
struct ServerNote {
  ServerName server;
  ServerIdentity identity;
  ModelName model;
  WeightsVersion weights;  // seen there after an order; empty: unknown
  bool switching = false;  // the server is loading weights; repeated each second
  FencingToken fence;
  std::uint64_t sequence = 0;
  QUAYRILL_FIELDS(server, identity, model, weights, switching, fence, sequence)
};

// The outstanding requests at one server, of one daemon or of several together, and the prompt
// tokens that the server has yet to prefill for them.
struct OutstandingRow {
  ServerName server;
  std::uint32_t requests = 0;
  std::uint64_t unreadTokens = 0;
  bool operator==(const OutstandingRow&) const = default;
  QUAYRILL_FIELDS(server, requests, unreadTokens)
};
// A cache event of a server or store: how many tokens of a prompt part it holds from now on.
struct PartEventRow {
  std::uint64_t position = 0;
  bool isAdded = false;  // false: removed
  std::string part;      // id of the prompt part
  std::uint32_t tokens = 0;
  bool operator==(const PartEventRow&) const = default;
  QUAYRILL_FIELDS(position, isAdded, part, tokens)
};
// The cache events of one salt and model. All events of a part are in one group, by position.
struct PartEventGroup {
  CacheSalt salt;
  ModelName model;
  std::vector<PartEventRow> rows;
  bool operator==(const PartEventGroup&) const = default;
  QUAYRILL_FIELDS(salt, model, rows)
};
// The cache events that one call to a server or store returned, from position `first` on.
struct PartEventBatch {
  ServerName source;
  bool isReachable = true;        // false: the call failed, and the fields below are unset
  std::string sourceIncarnation;  // changes when the source restarts; positions then begin anew
  std::uint64_t first = 0, next = 0;
  bool hasGap = false;  // the source dropped events after `first`
  std::vector<PartEventGroup> groups;
  bool operator==(const PartEventBatch&) const = default;
  QUAYRILL_FIELDS(source, isReachable, sourceIncarnation, first, next, hasGap, groups)
};
// What the data plane of one daemon observed. Sent to the aggregator of its zone.
struct DataPlaneReport {
  std::vector<OutstandingRow> outstanding;  // all of its own; servers without any are omitted
  std::vector<PartEventBatch> batches;      // read since its previous report
  QUAYRILL_FIELDS(outstanding, batches)
};
// What the data planes of a zone or of the whole fleet observed. An aggregator sends the digest of
// its zone to the aggregators of the other zones, and that of the fleet to the daemons of its zone.
struct DataPlaneDigest {
  std::string zone;            // "": the whole fleet
  std::int64_t ageMicros = 0;  // average age of the reports in `outstanding`
  std::vector<OutstandingRow> outstanding;
  std::vector<PartEventBatch> batches;
  QUAYRILL_FIELDS(zone, ageMicros, outstanding, batches)
};

// Asks a daemon which build it is.
struct BuildRequest {
  std::uint8_t reserved = 0;
  QUAYRILL_FIELDS(reserved)
};
// See buildIdentity().
struct BuildResponse {
  std::string build;
  QUAYRILL_FIELDS(build)
};

// Type and printed name. On the wire a message type is identified by its position in this table, so
// the order of the rows is part of the protocol.
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
  X(DataPlaneReport, "PlaneReport") \
  X(DataPlaneDigest, "PlaneDigest") \
  X(BuildRequest, "BuildRequest") \
  X(BuildResponse, "BuildResponse")
// clang-format on

// Any message; std::monostate stands for none.
using Message = std::variant<std::monostate
#define QUAYRILL_ALTERNATIVE(type, name) , type
                                 QUAYRILL_MESSAGES(QUAYRILL_ALTERNATIVE)
#undef QUAYRILL_ALTERNATIVE
                             >;

// A message with its sender and receiver.
struct Envelope {
  Address from;
  Address to;
  Message body;
};

// The printed name of the message's type.
const char* messageName(const Message& message);
// The envelope as a frame: wire version, checksum and serialized fields.
std::string encodeEnvelope(const Envelope& envelope);
// A frame that does not decode completely is an error; no partial message is returned.
absl::StatusOr<Envelope> decodeEnvelope(const std::string& bytes);

}  // namespace quayrill
