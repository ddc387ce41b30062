#include "placement/placement.h"

#include <algorithm>

#include "base/weights_version.h"

namespace quayrill {

namespace {
// Ours: salts (times models and weights) that one tenant's prompts are remembered under.
constexpr std::size_t kNameSpacesOfTenant = 512;
constexpr double kMostDaemons = 16;
// Ours: answers told a load as long ago as this say nothing of it now.
constexpr Span kHeaderSpan = std::chrono::seconds(2);
// Ours: how long others go before a server that failed once, and one that turned a request away.
constexpr Span kAvoidSpan = std::chrono::milliseconds(800);
constexpr Span kRefusalSpan = std::chrono::milliseconds(250);

}  // namespace

std::string Placement::nameSpaceName(const ModelName& model, const WeightsVersion& weights,
                                     const CacheSalt& wall) {
  return model.value + '\0' + weights.value + '\0' + wall.value;
}

Token Placement::nameSpace(const ServerState& state, const PlacementRequest& asked) {
  const std::string name = nameSpaceName(state.model, state.weights, asked.salt);
  if (const auto known = nameSpaces_.find(name); known != nameSpaces_.end()) {
    known->second.lastUse = ++uses_;
    return known->second.number;
  }
  while (nameSpacesOf_[asked.tenant] >= kNameSpacesOfTenant) {
    auto oldest = nameSpaces_.end();
    for (auto row = nameSpaces_.begin(); row != nameSpaces_.end(); ++row) {
      if (row->second.tenant == asked.tenant &&
          (oldest == nameSpaces_.end() || row->second.lastUse < oldest->second.lastUse))
        oldest = row;
    }
    letGo(oldest->first);
  }
  ++nameSpacesOf_[asked.tenant];
  nameSpaces_[name] = {++lastNameSpace_, asked.tenant, ++uses_};
  return lastNameSpace_;
}

void Placement::letGo(const std::string& name) {
  const NameSpace row = nameSpaces_.at(name);
  nameSpaces_.erase(name);
  if (--nameSpacesOf_[row.tenant] == 0) nameSpacesOf_.erase(row.tenant);
  // What is locked stays until eviction; its number leads nobody there.
  for (auto& [server, held] : rows_) held.tree.prune(std::span(&row.number, 1));
  storeRow_.tree.prune(std::span(&row.number, 1));
}

std::vector<Token> Placement::pathFor(Token number, const std::vector<Token>& blocks) const {
  std::vector<Token> path{number};
  path.insert(path.end(), blocks.begin(), blocks.end());
  return path;
}

void Placement::dropTree(Row& row) {
  row.tree = RadixTree(1);
  row.treeLife = ++lastTreeLife_;
}

void Placement::setServers(const std::vector<ServerState>& servers) {
  std::set<ServerName> listed;
  for (const ServerState& server : servers) {
    listed.insert(server.name);
    const auto [entry, fresh] = rows_.try_emplace(server.name);
    Row& row = entry->second;
    if (fresh) {
      dropTree(row);
      row.firstLife = row.treeLife;
    }
    const bool known = !row.state.identity.value.empty();
    const bool sameLife = known && row.state.identity == server.identity;
    const bool older = sameLife && isBehind(server.weights, row.state.weights) &&
                       row.state.model == server.model && numberOf(server.weights);
    if (known && server.healthy && (!sameLife || (row.state.weights != server.weights && !older))) {
      dropTree(row);
      if (row.state.identity != server.identity) {
        row.eventPosition = 0;
        row.eventLife.clear();
      }
    }
    const ServerState before = row.state;
    row.state = server;
    // A list may show weights later than an answer did; those of one life never fall.
    if (older) row.state.weights = before.weights;
    if (known && server.identity == before.identity && server.polledAt < before.polledAt) {
      row.state.running = before.running;  // what its answers showed is newer
      row.state.queued = before.queued;
      row.state.polledAt = before.polledAt;
    }
    if (!server.healthy && known) {  // keep what it last said of itself
      row.state.identity = before.identity;
      row.state.weights = before.weights;
      row.state.cacheTokens = before.cacheTokens;
    }
  }
  std::erase_if(rows_, [&](const auto& row) { return !listed.contains(row.first); });
}

// The poll counts what all daemons sent; what this one sent and saw end since is added to it.
double Placement::loadOf(const Row& row) const {
  const double polled = row.state.running + row.state.queued;
  const double own = row.load.own().requests;
  const double since = own - row.load.ownAt(row.state.polledAt).requests;
  return std::max(polled + since, own) / std::max(1U, row.state.slots);
}

// The other daemons do as this one does, as far as it can know: what changed here since the poll is
// taken for its share of what changed in all.
double Placement::fullnessOf(const Row& row) const {
  const double polled = row.state.running + row.state.queued;
  const double then = row.load.ownAt(row.state.polledAt).requests;
  const double daemons = std::clamp(then > 0 ? polled / then : 1.0, 1.0, kMostDaemons);
  const double since = row.load.own().requests - then;
  return (polled + since * daemons) / std::max(1U, row.state.slots);
}

std::vector<ServerOutstanding> Placement::ownOutstanding() const {
  std::vector<ServerOutstanding> own;
  for (const auto& [name, row] : rows_) {
    if (row.load.own() != Outstanding{}) own.push_back({name, row.load.own()});
  }
  return own;
}

void Placement::noteFleetLoad(const std::vector<ServerOutstanding>& fleet, Instant at) {
  std::map<ServerName, Outstanding> told;
  for (const ServerOutstanding& entry : fleet) told[entry.server] = entry.outstanding;
  for (auto& [name, row] : rows_) {
    const Outstanding& here = told[name];
    row.load.onFleetReport(here, at);
    if (at - row.headerAt < kHeaderSpan) continue;
    row.state.running = here.requests;
    row.state.queued = 0;
    row.state.polledAt = at;
  }
}

void Placement::notePrefillDone(Ticket ticket, Instant now) {
  const auto entry = tickets_.find(ticket);
  if (entry == tickets_.end()) return;
  Lock& lock = entry->second;
  const auto row = rows_.find(lock.server);
  if (row != rows_.end() && lock.treeLife >= row->second.firstLife)
    row->second.load.onPrefillDone(lock.unreadTokens, now);
  lock.unreadTokens = 0;
}

void Placement::keepBudget(Row& row) {
  const std::size_t budget =
      std::max<std::size_t>(1, row.state.cacheTokens / settings_.blockTokens);
  if (row.tree.size() > budget) row.tree.evict(row.tree.size() - budget, nullptr);
}

void Placement::release(Ticket ticket, bool ran, Instant now) {
  const auto entry = tickets_.find(ticket);
  if (entry == tickets_.end()) return;
  const Lock lock = entry->second;
  tickets_.erase(entry);
  const auto row = rows_.find(lock.server);
  if (row == rows_.end() || lock.treeLife < row->second.firstLife) return;
  row->second.load.onRequestDone(lock.unreadTokens, now);
  if (row->second.treeLife != lock.treeLife) return;
  if (has(Mechanism::Locks)) row->second.tree.unlock(lock.node);
  if (!ran && lock.inserted) row->second.tree.prune(lock.path);
  keepBudget(row->second);
}

void Placement::noteLoad(const ServerName& server, std::uint32_t running, std::uint32_t queued,
                         std::uint32_t slots, Instant now) {
  const auto row = rows_.find(server);
  if (row == rows_.end()) return;
  row->second.state.running = running;
  row->second.state.queued = queued;
  row->second.state.slots = std::max(1U, slots);
  row->second.state.polledAt = now;
  row->second.headerAt = now;
}

void Placement::noteWeights(const ServerName& server, const ServerIdentity& identity,
                            const WeightsVersion& weights) {
  const auto row = rows_.find(server);
  if (row == rows_.end() || row->second.state.identity != identity) return;
  if (row->second.state.weights == weights) return;
  row->second.state.weights = weights;
  dropTree(row->second);
}

void Placement::noteFailure(const ServerName& server, Instant now) {
  if (!has(Mechanism::Avoidance)) return;
  const auto row = rows_.find(server);
  if (row == rows_.end()) return;
  const std::uint32_t doubled = std::min(row->second.failures++, 3U);
  row->second.avoidUntil = now + kAvoidSpan * (1 << doubled);
}

void Placement::noteRejection(const ServerName& server, Instant now) {
  if (!has(Mechanism::Avoidance)) return;
  const auto row = rows_.find(server);
  if (row != rows_.end())
    row->second.avoidUntil = std::max(row->second.avoidUntil, now + kRefusalSpan);
}

void Placement::noteSuccess(const ServerName& server, Instant) {
  const auto row = rows_.find(server);
  if (row == rows_.end()) return;
  row->second.failures = 0;
  row->second.avoidUntil = Instant{};
}

void Placement::applyEvents(const ServerName& server, const ServerIdentity& identity,
                            std::uint64_t first, const std::vector<CacheEvent>& events,
                            std::uint64_t next) {
  const auto entry = rows_.find(server);
  if (entry == rows_.end() || entry->second.state.identity != identity) return;
  Row& row = entry->second;
  if (next < row.eventPosition || first > row.eventPosition) {
    // Events are missing: what was dropped in the gap is unknown, so the estimate starts anew.
    // The very first pull of a server has nothing to miss.
    if (row.eventPosition != 0) {
      dropTree(row);
      ++gaps_;
    }
  }
  for (const CacheEvent& event : events) {
    if (event.position < row.eventPosition || event.kind != CacheEventKind::Dropped) continue;
    const auto known =
        nameSpaces_.find(nameSpaceName(row.state.model, row.state.weights, event.salt));
    if (known == nameSpaces_.end()) continue;
    row.tree.prune(
        pathFor(known->second.number, prefixBlocks(event.prefix, settings_.blockTokens)));
  }
  row.eventPosition = next;
}

std::uint64_t Placement::eventPosition(const ServerName& server) const {
  if (server.value == store_.value) return storeRow_.eventPosition;
  const auto row = rows_.find(server);
  return row == rows_.end() ? 0 : row->second.eventPosition;
}

std::size_t Placement::indexedBlocks(const ServerName& server) const {
  const auto row = rows_.find(server);
  return row == rows_.end() ? 0 : row->second.tree.size();
}

}  // namespace quayrill
