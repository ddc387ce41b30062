#include "placement/placement.h"

#include <algorithm>
#include <cmath>
#include <tuple>

#include "base/digest.h"
#include "base/weights_version.h"

namespace quayrill {

namespace {
// Ours: a server over this much above the mean loses the pull of its match.
constexpr double kSpreadMargin = 0.35;
// Ours: a fetch costs a fixed part and a part per token; prefill costs per token.
constexpr double kFetchFixedMicros = 8000, kFetchTokenMicros = 4, kPrefillTokenMicros = 25;
// Ours: salts (times models and weights) that one tenant's prompts are remembered under.
constexpr std::size_t kNameSpacesOfTenant = 512;
constexpr Span kPast = std::chrono::seconds(3);
constexpr double kMostDaemons = 16;
// Ours: burdens from which on a server is full; the first for tenants over their share.
constexpr double kFullOverShare = 1.5, kFull = 2.0;
// Ours: burdens within one step tie.
constexpr double kLoadStep = 0.25;
// Ours: how long others go before a server that failed once, and one that turned a request away.
constexpr Span kAvoidSpan = std::chrono::milliseconds(800);
constexpr Span kRefusalSpan = std::chrono::milliseconds(250);

// Daemons don't see each other's traffic. Where the match leaves a tie they all break it by the
// same name, so that one prefix gathers on one server fleet-wide. The last part is a prompt's own.
std::uint64_t tieNameOf(const PromptPrefix& prefix) {
  std::uint64_t name = 1;
  const std::size_t shared =
      prefix.parts.size() > 1 ? prefix.parts.size() - 1 : prefix.parts.size();
  for (std::size_t i = 0; i < shared; ++i) name = mixHash(name, stableHash(prefix.parts[i].id));
  return name;
}
// The last part is a prompt's own, or its session's.
std::size_t sharedTokensOf(const PromptPrefix& prefix) {
  std::size_t tokens = 0;
  for (std::size_t i = 0; i + 1 < prefix.parts.size(); ++i) tokens += prefix.parts[i].tokens;
  return tokens;
}
std::string nameSpaceName(const ServerState& state, const CacheSalt& salt) {
  return state.model.value + '\0' + state.weights.value + '\0' + salt.value;
}
}  // namespace

Token Placement::nameSpace(const ServerState& state, const PlacementAsked& asked) {
  const std::string name = nameSpaceName(state, asked.salt);
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

void Placement::moveInFlight(Row& row, int by, Instant now) {
  row.past.emplace_back(now, row.inFlight);
  if (row.inFlight > 0 || by > 0) row.inFlight += static_cast<std::uint32_t>(by);
  while (row.past.size() > 1 && row.past.front().first + kPast < now) row.past.pop_front();
}

// Each row of the past says what stood until its time.
std::uint32_t Placement::inFlightAtPoll(const Row& row) {
  const auto later =
      std::upper_bound(row.past.begin(), row.past.end(), row.state.polledAt,
                       [](const Instant& at, const auto& entry) { return at < entry.first; });
  return later == row.past.end() ? row.inFlight : later->second;
}

// The poll counts what all daemons sent; what this one sent and saw end since is added to it.
double Placement::loadOf(const Row& row) const {
  const double polled = row.state.running + row.state.queued;
  const double since = static_cast<double>(row.inFlight) - inFlightAtPoll(row);
  return std::max(polled + since, static_cast<double>(row.inFlight)) /
         std::max(1U, row.state.slots);
}

// The other daemons do as this one does, as far as it can know: what changed here since the poll is
// taken for its share of what changed in all.
double Placement::fullnessOf(const Row& row) const {
  const double polled = row.state.running + row.state.queued;
  const double own = inFlightAtPoll(row);
  const double daemons = std::clamp(own > 0 ? polled / own : 1.0, 1.0, kMostDaemons);
  return (polled + (row.inFlight - own) * daemons) / std::max(1U, row.state.slots);
}

const Placement::Row* Placement::choose(const std::vector<std::pair<const Row*, Candidate>>& open,
                                        std::uint64_t tieName, std::string* reason) {
  if (settings_.rule == PlacementRule::RoundRobin) {
    *reason = "next in turn";
    return open[nextTurn_++ % open.size()].first;
  }
  const bool byMatch = settings_.rule == PlacementRule::LongestPrefix;
  if (!byMatch) tieName = ++nextTurn_;
  const auto rank = [&](const Candidate& candidate) {
    const std::size_t match = byMatch && !candidate.capped ? candidate.matchedTokens : 0;
    const double load = byMatch ? std::floor(candidate.load / kLoadStep) : candidate.load;
    const std::uint64_t tie = mixHash(stableHash(candidate.server.value), tieName);
    // Bounded: those over the cap come last, the least burdened of them first.
    const bool isBounded = settings_.spreadRequests > 0;
    const bool isUnder = isBounded && !candidate.capped;
    const double shown = !isBounded ? load : isUnder ? 0 : candidate.load;
    // What must be read anew is best read for the weights that stay.
    const bool isNewest = isBounded && candidate.isNewest;
    return std::make_tuple(isUnder, match, isNewest, -shown, tie);
  };
  const auto best = std::max_element(
      open.begin(), open.end(),
      [&](const auto& left, const auto& right) { return rank(left.second) < rank(right.second); });
  const Candidate& chosen = best->second;
  *reason = byMatch && chosen.matchedTokens > 0 && !chosen.capped ? "longest match"
            : byMatch                                             ? "least load, tie by prefix"
                                                                  : "least load";
  return best->first;
}

std::optional<Placed> Placement::place(const PlacementAsked& asked, Instant now) {
  const std::vector<Token> blocks = prefixBlocks(asked.prefix, settings_.blockTokens);
  std::vector<std::pair<const Row*, Candidate>> open;
  double loadSum = 0;
  for (auto& [name, row] : rows_) {
    const ServerState& state = row.state;
    if (!state.healthy || state.leaving || state.switching || asked.avoid.contains(name)) continue;
    if (asked.mayUse && !asked.mayUse(state)) continue;
    if (!asked.service.value.empty() && state.service != asked.service) continue;
    if (state.model != asked.model && !(asked.model.value.empty() && !asked.service.value.empty()))
      continue;
    Candidate candidate{name, 0, loadOf(row), false};
    const std::size_t runs = row.tree.peekPrefix(pathFor(nameSpace(state, asked), blocks));
    candidate.matchedTokens = runs > 1 ? (runs - 1) * settings_.blockTokens : 0;
    loadSum += candidate.load;
    open.emplace_back(&row, candidate);
  }
  if (open.empty()) return std::nullopt;
  for (auto& [row, candidate] : open) {
    candidate.isNewest = std::none_of(open.begin(), open.end(), [&row = row](const auto& other) {
      return other.first->state.model == row->state.model &&
             isBehind(row->state.weights, other.first->state.weights) &&
             numberOf(row->state.weights);
    });
  }
  const double mean = loadSum / static_cast<double>(open.size());
  for (auto& [row, candidate] : open) {
    const double slots = std::max(1U, row->state.slots);
    const double bound = settings_.spreadRequests > 0
                             ? mean * settings_.spreadFactor + settings_.spreadRequests / slots
                             : mean + kSpreadMargin;
    candidate.capped = candidate.load >= std::min(1.5, bound);
  }
  // A server with twice its slots waiting would only let the request age in its queue. The last
  // places of that queue are for tenants that hold no more than their share.
  auto free = open;
  const double full = asked.overShare ? kFullOverShare : kFull;
  std::erase_if(free, [&](const auto& entry) {
    return std::max(entry.second.load, fullnessOf(*entry.first)) >= full;
  });
  if (free.empty()) return std::nullopt;
  // Servers in trouble are used only where no other is left.
  const bool anyWell = std::any_of(
      free.begin(), free.end(), [&](const auto& entry) { return now >= entry.first->avoidUntil; });
  if (anyWell)
    std::erase_if(free, [&](const auto& entry) { return now < entry.first->avoidUntil; });

  Placed placed;
  Row& chosenRow = rows_.at(choose(free, tieNameOf(asked.prefix), &placed.reason)->state.name);
  for (const auto& [row, candidate] : open) {
    placed.candidates.push_back(candidate);
    if (row == &chosenRow) placed.matchedTokens = candidate.matchedTokens;
  }
  placed.chosenServer = chosenRow.state;
  placed.promptTokens = blocks.size() * settings_.blockTokens;
  // A source must hold more, under the same weights; its salt is the request's by construction.
  for (const auto& [row, candidate] : open) {
    if (row == &chosenRow || row->state.weights != chosenRow.state.weights) continue;
    const std::size_t held = placed.source ? placed.source->matchedTokens : placed.matchedTokens;
    if (candidate.matchedTokens > held)
      placed.source = FetchSource{candidate.server, row->state.identity, candidate.matchedTokens};
  }
  const auto worth = [](double tokens) {
    return kFetchFixedMicros + kFetchTokenMicros * tokens < kPrefillTokenMicros * tokens;
  };
  if (placed.source &&
      !worth(static_cast<double>(placed.source->matchedTokens - placed.matchedTokens)))
    placed.source.reset();
  noteChain(asked.prefix);
  const Token chosenSpace = nameSpace(chosenRow.state, asked);
  const std::vector<Token> path = pathFor(chosenSpace, blocks);
  if (placed.source) {
    placed.fetchFrom = Address{placed.source->server.value};
  } else if (!store_.value.empty() && storeUp_) {
    // What the estimate takes for held may have been evicted: a source that has no more costs next
    // to nothing, reading the part again costs much. Shared parts that are to be read are kept.
    placed.fetchFrom = store_;
    const std::size_t shared = sharedTokensOf(asked.prefix) / settings_.blockTokens;
    const std::size_t kept = storeRow_.tree.peekPrefix(path);
    if (placed.matchedTokens / settings_.blockTokens < shared && kept < shared + 1)
      placed.keepAt = store_;
  }
  placed.worthFetching = worth(static_cast<double>(placed.promptTokens - placed.matchedTokens));

  const std::size_t before = chosenRow.tree.peekPrefix(path);
  const PrefixInsert inserted =
      chosenRow.tree.insert(path, std::vector<BlockValue>(path.begin(), path.end()));
  chosenRow.tree.lock(inserted.node);
  moveInFlight(chosenRow, 1, now);
  placed.ticket = ++lastTicket_;
  tickets_[placed.ticket] = {chosenRow.state.name, chosenRow.treeLife, inserted.node, path,
                             before < path.size()};
  keepBudget(chosenRow);
  return placed;
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
  moveInFlight(row->second, -1, now);
  if (row->second.treeLife != lock.treeLife) return;
  row->second.tree.unlock(lock.node);
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
  const auto row = rows_.find(server);
  if (row == rows_.end()) return;
  const std::uint32_t doubled = std::min(row->second.failures++, 3U);
  row->second.avoidUntil = now + kAvoidSpan * (1 << doubled);
}

void Placement::noteRefusal(const ServerName& server, Instant now) {
  const auto row = rows_.find(server);
  if (row != rows_.end())
    row->second.avoidUntil = std::max(row->second.avoidUntil, now + kRefusalSpan);
}

void Placement::noteAnswer(const ServerName& server, Instant) {
  const auto row = rows_.find(server);
  if (row == rows_.end()) return;
  row->second.failures = 0;
  row->second.avoidUntil = Instant{};
}

void Placement::takeEvents(const ServerName& server, const ServerIdentity& identity,
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
    const auto known = nameSpaces_.find(nameSpaceName(row.state, event.salt));
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

std::size_t Placement::blocksHeld(const ServerName& server) const {
  const auto row = rows_.find(server);
  return row == rows_.end() ? 0 : row->second.tree.size();
}

}  // namespace quayrill
