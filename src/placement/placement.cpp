#include "placement/placement.h"

#include <algorithm>

#include "base/weights_version.h"

namespace quayrill {

namespace {
// Bounds the namespaces (salts times models and weights) that are indexed for one tenant.
constexpr std::size_t kMaxNamespacesPerTenant = 512;
// Bounds the factor by which load changes on this daemon are extrapolated to all daemons.
constexpr double kMaxDaemonRatio = 16;
// A load reported by a response is out of date after this time.
constexpr Duration kHeaderLoadTtl = std::chrono::seconds(2);
// How long other servers are preferred after a first failure, and after a rejected request.
constexpr Duration kFailureBackoff = std::chrono::milliseconds(800);
// Each sound answer ends an ejection and takes one fault back, so that only mostly faulty servers
// are ejected, and those again by the next fault.
constexpr std::uint32_t kFaultsToEject = 3, kMostCountedFaults = 6;
constexpr std::uint32_t kMaxEjectionDoublings = 3;
// How often an ejected server gets a request while there is no other server; doubles as well.
constexpr Duration kProbeInterval = std::chrono::milliseconds(100);
constexpr Duration kEjection = std::chrono::milliseconds(1000);
constexpr Duration kRejectionBackoff = std::chrono::milliseconds(250);

}  // namespace

std::string Placement::namespaceKey(const ModelName& model, const WeightsVersion& weights,
                                    const CacheSalt& scope) {
  return model.value + '\0' + weights.value + '\0' + scope.value;
}

Token Placement::namespaceFor(const ServerState& state, const PlacementRequest& request) {
  const std::string name = namespaceKey(state.model, state.weights, request.salt);
  if (const auto known = namespaces_.find(name); known != namespaces_.end()) {
    known->second.lastUse = ++useCounter_;
    return known->second.number;
  }
  while (namespaceCounts_[request.tenant] >= kMaxNamespacesPerTenant) {
    auto oldest = namespaces_.end();
    for (auto row = namespaces_.begin(); row != namespaces_.end(); ++row) {
      if (row->second.tenant == request.tenant &&
          (oldest == namespaces_.end() || row->second.lastUse < oldest->second.lastUse))
        oldest = row;
    }
    removeNamespace(oldest->first);
  }
  ++namespaceCounts_[request.tenant];
  namespaces_[name] = {++lastNamespaceNumber_, request.tenant, ++useCounter_};
  return lastNamespaceNumber_;
}

void Placement::removeNamespace(const std::string& name) {
  const CacheNamespace removed = namespaces_.at(name);
  namespaces_.erase(name);
  if (--namespaceCounts_[removed.tenant] == 0) namespaceCounts_.erase(removed.tenant);
  // Locked paths stay until they are evicted, but no request can reach them by this number.
  for (auto& [server, row] : servers_) row.tree.prune(std::span(&removed.number, 1));
  storeRow_.tree.prune(std::span(&removed.number, 1));
}

std::vector<Token> Placement::pathFor(Token number, const std::vector<Token>& blocks) const {
  std::vector<Token> path{number};
  path.insert(path.end(), blocks.begin(), blocks.end());
  return path;
}

void Placement::dropTree(ServerRow& row) {
  row.tree = RadixTree(1);
  row.treeGeneration = ++lastTreeGeneration_;
}

void Placement::setServers(const std::vector<ServerState>& servers) {
  std::set<ServerName> listed;
  for (const ServerState& server : servers) {
    listed.insert(server.name);
    const auto [entry, isNew] = servers_.try_emplace(server.name);
    ServerRow& row = entry->second;
    if (isNew) {
      dropTree(row);
      row.firstGeneration = row.treeGeneration;
    }
    const bool isKnown = !row.state.identity.value.empty();
    const bool isSameProcess = isKnown && row.state.identity == server.identity;
    const bool isOlder = isSameProcess && isOlderVersion(server.weights, row.state.weights) &&
                         row.state.model == server.model && versionNumber(server.weights);
    if (isKnown && server.healthy &&
        (!isSameProcess || (row.state.weights != server.weights && !isOlder))) {
      dropTree(row);
      if (row.state.identity != server.identity) {
        row.eventPosition = 0;
        row.eventIncarnation.clear();
      }
    }
    const ServerState before = row.state;
    row.state = server;
    // The list may be older than a response. Within one identity, weights versions never decrease.
    if (isOlder) row.state.weights = before.weights;
    if (isKnown && server.identity == before.identity && server.polledAt < before.polledAt) {
      row.state.running = before.running;  // responses have reported newer values
      row.state.queued = before.queued;
      row.state.polledAt = before.polledAt;
    }
    if (!server.healthy && isKnown) {  // keep its last known state
      row.state.identity = before.identity;
      row.state.weights = before.weights;
      row.state.cacheTokens = before.cacheTokens;
    }
  }
  std::erase_if(servers_, [&](const auto& row) { return !listed.contains(row.first); });
}

// The polled load covers the requests of all daemons. Adds what this daemon has sent, and subtracts
// what it has seen complete, since the poll.
double Placement::currentLoad(const ServerRow& row) const {
  const double polled = row.state.running + row.state.queued;
  const double own = row.load.own().requests;
  const double sincePoll = own - row.load.ownAt(row.state.polledAt).requests;
  return std::max(polled + sincePoll, own) / std::max(1U, row.state.slots);
}

// Extrapolates to other daemons, assuming that they behave like this one: divides the change on
// this daemon since the poll by its share of the polled load.
double Placement::extrapolatedLoad(const ServerRow& row) const {
  const double polled = row.state.running + row.state.queued;
  const double ownAtPoll = row.load.ownAt(row.state.polledAt).requests;
  const double daemons = std::clamp(ownAtPoll > 0 ? polled / ownAtPoll : 1.0, 1.0, kMaxDaemonRatio);
  const double sincePoll = row.load.own().requests - ownAtPoll;
  return (polled + sincePoll * daemons) / std::max(1U, row.state.slots);
}

std::vector<ServerOutstanding> Placement::ownOutstanding() const {
  std::vector<ServerOutstanding> own;
  for (const auto& [name, row] : servers_) {
    if (row.load.own() != Outstanding{}) own.push_back({name, row.load.own()});
  }
  return own;
}

void Placement::noteFleetLoad(const std::vector<ServerOutstanding>& fleet, Instant at) {
  std::map<ServerName, Outstanding> reported;
  for (const ServerOutstanding& entry : fleet) reported[entry.server] = entry.outstanding;
  for (auto& [name, row] : servers_) {
    const Outstanding& fleetLoad = reported[name];
    row.load.onFleetReport(fleetLoad, at);
    if (at - row.loadReportedAt < kHeaderLoadTtl) continue;
    row.state.running = fleetLoad.requests;
    row.state.queued = 0;
    row.state.polledAt = at;
  }
}

void Placement::notePrefillDone(Ticket ticket, Instant now) {
  const auto entry = tickets_.find(ticket);
  if (entry == tickets_.end()) return;
  PathLock& lock = entry->second;
  const auto row = servers_.find(lock.server);
  if (row != servers_.end() && lock.treeGeneration >= row->second.firstGeneration)
    row->second.load.onPrefillDone(lock.pendingPrefillTokens, now);
  lock.pendingPrefillTokens = 0;
}

void Placement::enforceCapacity(ServerRow& row) {
  const std::size_t budget =
      std::max<std::size_t>(1, row.state.cacheTokens / settings_.blockTokens);
  if (row.tree.size() > budget) row.tree.evict(row.tree.size() - budget, nullptr);
}

void Placement::release(Ticket ticket, bool ran, Instant now) {
  const auto entry = tickets_.find(ticket);
  if (entry == tickets_.end()) return;
  const PathLock lock = entry->second;
  tickets_.erase(entry);
  const auto row = servers_.find(lock.server);
  if (row == servers_.end() || lock.treeGeneration < row->second.firstGeneration) return;
  row->second.load.onRequestDone(lock.pendingPrefillTokens, now);
  if (row->second.treeGeneration != lock.treeGeneration) return;
  if (isEnabled(Mechanism::PathLocks)) row->second.tree.unlock(lock.node);
  if (!ran && lock.inserted) row->second.tree.prune(lock.path);
  enforceCapacity(row->second);
}

void Placement::noteLoad(const ServerName& server, std::uint32_t running, std::uint32_t queued,
                         std::uint32_t slots, Instant now) {
  const auto row = servers_.find(server);
  if (row == servers_.end()) return;
  row->second.state.running = running;
  row->second.state.queued = queued;
  row->second.state.slots = std::max(1U, slots);
  row->second.state.polledAt = now;
  row->second.loadReportedAt = now;
}

void Placement::noteWeights(const ServerName& server, const ServerIdentity& identity,
                            const WeightsVersion& weights) {
  const auto row = servers_.find(server);
  if (row == servers_.end() || row->second.state.identity != identity) return;
  if (row->second.state.weights == weights) return;
  row->second.state.weights = weights;
  dropTree(row->second);
}

void Placement::noteFailure(const ServerName& server, Instant now) {
  if (!isEnabled(Mechanism::FailureAvoidance)) return;
  const auto row = servers_.find(server);
  if (row == servers_.end()) return;
  const std::uint32_t doublings = std::min(row->second.failures++, 3U);
  row->second.avoidUntil = now + kFailureBackoff * (1 << doublings);
}

void Placement::noteProtocolFault(const ServerName& server, Instant now) {
  if (!isEnabled(Mechanism::FailureAvoidance)) return;
  const auto found = servers_.find(server);
  if (found == servers_.end()) return;
  ServerRow& row = found->second;
  row.protocolFaults = std::min(row.protocolFaults + 1, kMostCountedFaults);
  // Answers to requests that were sent before the ejection don't prolong it.
  if (row.protocolFaults < kFaultsToEject || now < row.ejectedUntil) return;
  const std::uint32_t doublings = std::min(row.ejections++, kMaxEjectionDoublings);
  row.ejectedUntil = now + kEjection * (1 << doublings);
  row.probeInterval = kProbeInterval * (1 << doublings);
  row.nextProbeAt = now + row.probeInterval;
  row.avoidUntil = std::max(row.avoidUntil, row.ejectedUntil);
}

void Placement::noteRejection(const ServerName& server, Instant now) {
  if (!isEnabled(Mechanism::FailureAvoidance)) return;
  const auto row = servers_.find(server);
  if (row != servers_.end())
    row->second.avoidUntil = std::max(row->second.avoidUntil, now + kRejectionBackoff);
}

void Placement::noteSuccess(const ServerName& server, Instant) {
  const auto row = servers_.find(server);
  if (row == servers_.end()) return;
  ServerRow& sound = row->second;
  sound.failures = 0;
  if (sound.protocolFaults > 0) --sound.protocolFaults;
  if (sound.protocolFaults == 0) sound.ejections = 0;
  sound.avoidUntil = sound.ejectedUntil = Instant{};
}

void Placement::applyEvents(const ServerName& server, const ServerIdentity& identity,
                            std::uint64_t first, const std::vector<CacheEvent>& events,
                            std::uint64_t next) {
  const auto entry = servers_.find(server);
  if (entry == servers_.end() || entry->second.state.identity != identity) return;
  ServerRow& row = entry->second;
  if (next < row.eventPosition || first > row.eventPosition) {
    // Events are missing, so it is unknown what was dropped: discard the estimate. The first read
    // of a server cannot have a gap.
    if (row.eventPosition != 0) {
      dropTree(row);
      ++gaps_;
    }
  }
  for (const CacheEvent& event : events) {
    if (event.position < row.eventPosition || event.kind != CacheEventKind::Dropped) continue;
    const auto known =
        namespaces_.find(namespaceKey(row.state.model, row.state.weights, event.salt));
    if (known == namespaces_.end()) continue;
    row.tree.prune(
        pathFor(known->second.number, prefixBlocks(event.prefix, settings_.blockTokens)));
  }
  row.eventPosition = next;
}

std::uint64_t Placement::eventPosition(const ServerName& server) const {
  if (server.value == store_.value) return storeRow_.eventPosition;
  const auto row = servers_.find(server);
  return row == servers_.end() ? 0 : row->second.eventPosition;
}

std::size_t Placement::indexedBlocks(const ServerName& server) const {
  const auto row = servers_.find(server);
  return row == servers_.end() ? 0 : row->second.tree.size();
}

}  // namespace quayrill
