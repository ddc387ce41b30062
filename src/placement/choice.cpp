// Chooses the server for a request, and the source for the cache that this server lacks.
#include <algorithm>
#include <cmath>
#include <tuple>

#include "base/digest.h"
#include "base/weights_version.h"
#include "placement/placement.h"

namespace quayrill {

namespace {
// A server whose load exceeds the mean by this much is over the cap: its match does not count.
constexpr double kSpreadMargin = 0.35;
// A server with at least this load is over the cap, whatever the mean.
constexpr double kOverCapLoad = 1.5;
// Cost model: a fetch has a fixed cost and a cost per token; prefill has a cost per token.
constexpr double kFetchFixedMicros = 8000, kFetchTokenMicros = 4, kPrefillTokenMicros = 25;
// The cost of a fetch expressed in tokens of prefill.
constexpr double kFetchFixedTokens = kFetchFixedMicros / kPrefillTokenMicros;
constexpr double kFetchTokenShare = kFetchTokenMicros / kPrefillTokenMicros;
// A server is full from this load on. The first value applies to tenants over their share.
constexpr double kFullLoadOverShare = 1.5, kFullLoad = 2.0;
// Loads within the same step are considered equal, and so are expected prefill tokens.
constexpr double kLoadStep = 0.25, kExpectedTokensStep = 9000;
// Prefill under weights that are about to be replaced will have to be repeated.
constexpr double kOldWeightsPenalty = 0.5;
// The cost of a copy at a second server, in tokens, in addition to the time of the fetch: it evicts
// another prompt, which then needs prefill again.
constexpr double kCopyCostTokens = 6000;
// A request with this many tokens to prefill waits for half of the pending prefill.
constexpr double kUrgencyHalfTokens = 30000;
// A queue as long as the number of slots counts as this many tokens.
constexpr double kQueueCostTokens = 20000;

// The seed for breaking ties. It is the same on all daemons, so that a prefix gathers on one server
// fleet-wide. Excludes the last part, which is specific to one prompt.
std::uint64_t tieSeedOf(const PromptPrefix& prefix) {
  std::uint64_t seed = 1;
  const std::size_t shared =
      prefix.parts.size() > 1 ? prefix.parts.size() - 1 : prefix.parts.size();
  for (std::size_t i = 0; i < shared; ++i)
    seed = combineHashes(seed, stableHash(prefix.parts[i].id));
  return seed;
}

std::uint64_t tieRank(const ServerName& server, std::uint64_t tieSeed) {
  return combineHashes(stableHash(server.value), tieSeed);
}

// Excludes the last part, which is specific to one prompt or session.
std::size_t sharedPrefixTokens(const PromptPrefix& prefix) {
  std::size_t tokens = 0;
  for (std::size_t i = 0; i + 1 < prefix.parts.size(); ++i) tokens += prefix.parts[i].tokens;
  return tokens;
}

bool isWorthFetching(double tokens) {
  return kFetchFixedTokens + kFetchTokenShare * tokens < tokens;
}
}  // namespace

std::vector<Placement::Option> Placement::optionsFor(const PlacementRequest& request,
                                                     const std::vector<Token>& blocks) {
  std::vector<Option> options;
  std::map<Token, std::shared_ptr<const std::vector<Token>>> paths;
  for (auto& [name, row] : servers_) {
    const ServerState& state = row.state;
    if (!state.healthy || state.leaving || state.switching || request.avoid.contains(name))
      continue;
    if (request.isAllowed && !request.isAllowed(state)) continue;
    if (!request.service.value.empty() && state.service != request.service) continue;
    if (state.model != request.model &&
        !(request.model.value.empty() && !request.service.value.empty()))
      continue;
    const Token number = namespaceFor(state, request);
    auto& path = paths[number];
    if (!path) path = std::make_shared<const std::vector<Token>>(pathFor(number, blocks));
    options.push_back({&row, path, {name}});
  }
  // After the loop above, the namespaces of this request exist.
  applyPendingParts(request.prefix);
  for (Option& option : options) {
    const std::size_t matchedBlocks = option.row->tree.peekPrefix(*option.path);
    option.candidate.matchedTokens =
        matchedBlocks > 1 ? (matchedBlocks - 1) * settings_.blockTokens : 0;
    option.candidate.load = currentLoad(*option.row);
  }
  return options;
}

void Placement::markNewest(std::vector<Option>& options) const {
  std::map<ModelName, WeightsVersion> newest;
  for (const Option& option : options) {
    const ServerState& state = option.row->state;
    const auto [entry, isFirst] = newest.try_emplace(state.model, state.weights);
    if (!isFirst && entry->second != state.weights && isOlderVersion(entry->second, state.weights))
      entry->second = state.weights;
  }
  for (Option& option : options) {
    const ServerState& state = option.row->state;
    const WeightsVersion& best = newest.at(state.model);
    option.candidate.isNewest = state.weights == best || !versionNumber(state.weights) ||
                                !isOlderVersion(state.weights, best);
  }
}

void Placement::markCapped(std::vector<Option>& options) const {
  double loadSum = 0;
  for (const Option& option : options) loadSum += option.candidate.load;
  const double mean = loadSum / static_cast<double>(options.size());
  for (Option& option : options) {
    const double slots = std::max(1U, option.row->state.slots);
    const double bound = settings_.spreadRequests > 0
                             ? mean * settings_.spreadFactor + settings_.spreadRequests / slots
                             : mean + kSpreadMargin;
    option.candidate.capped =
        isEnabled(Mechanism::SpreadBound) && option.candidate.load >= std::min(kOverCapLoad, bound);
  }
}

// Finds the longest known match by weights, and the home server of the prefix: the server that is
// used when no match is known. The home does not depend on weights, so that during a rollout load
// moves to the newest weights along with the servers.
Placement::PromptHolders Placement::findHolders(const std::vector<Option>& options,
                                                const PromptPrefix& prefix) const {
  const std::uint64_t tieSeed = tieSeedOf(prefix);
  const bool hasHome = isEnabled(Mechanism::PrefixHome) && !prefix.parts.empty();
  PromptHolders holders;
  std::uint64_t highest = 0;
  for (const Option& option : options) {
    std::size_t& most = holders.longestMatch[option.row->state.weights];
    most = std::max(most, option.candidate.matchedTokens);
    const std::uint64_t tie = tieRank(option.candidate.server, tieSeed);
    if (!hasHome || (holders.homeServer && tie <= highest)) continue;
    highest = tie;
    holders.homeServer = option.row;
  }
  return holders;
}

// Estimates the tokens that a server has to prefill for this request, including the cost of a
// fetch. If no match for the prefix is known, assumes that its home server has it cached, because
// the other daemons place it there.
double Placement::ownPrefillTokens(const Option& option, const PromptHolders& holders,
                                   double prompt, double shared) const {
  const auto matched = static_cast<double>(option.candidate.matchedTokens);
  const auto cached = static_cast<double>(holders.longestMatch.at(option.row->state.weights));
  double own = prompt - matched;
  if (isEnabled(Mechanism::PeerFetch))
    own = std::min(own, prompt - cached + kCopyCostTokens + kFetchTokenShare * (cached - matched));
  const bool isUnknown = cached < shared && matched < shared;
  if (isUnknown && holders.homeServer == option.row) own = std::min(own, prompt - shared);
  return own;
}

// Estimates, for each server, the tokens to prefill before the first token of this request: those
// already pending there, and those of this prompt that neither the server nor a peer has cached.
void Placement::estimatePrefill(std::vector<Option>& options, const PromptHolders& holders,
                                const PromptPrefix& prefix, std::size_t promptTokens,
                                Instant now) const {
  const auto shared = static_cast<double>(wholeBlocks(sharedPrefixTokens(prefix)));
  for (Option& option : options) {
    Candidate& candidate = option.candidate;
    double own = ownPrefillTokens(option, holders, static_cast<double>(promptTokens), shared);
    if (!candidate.isNewest && isEnabled(Mechanism::PreferNewestWeights))
      own *= 1 + kOldWeightsPenalty;
    candidate.pendingPrefillTokens = option.row->load.pendingPrefillTokens(now);
    // Servers prefill short prompts first, so a request with few tokens to prefill overtakes most
    // of the pending prefill.
    const double pendingAhead = isEnabled(Mechanism::Urgency) ? candidate.pendingPrefillTokens *
                                                                    own / (own + kUrgencyHalfTokens)
                                                              : candidate.pendingPrefillTokens;
    candidate.expectedTokens =
        pendingAhead + own + kQueueCostTokens * std::max(0.0, candidate.load - 1);
  }
}

std::vector<Placement::Option> Placement::filterUsable(const std::vector<Option>& options,
                                                       bool isOverShare, Instant now) const {
  // At a server with twice its slots in use or waiting, the request would only wait in the queue.
  // The last places of the queue are reserved for tenants within their share.
  std::vector<Option> remaining = options;
  const double full = isOverShare ? kFullLoadOverShare : kFullLoad;
  std::erase_if(remaining, [&](const Option& option) {
    return std::max(option.candidate.load, extrapolatedLoad(*option.row)) >= full;
  });
  const auto isAvoided = [&](const Option& option) { return now < option.row->avoidUntil; };
  if (!std::all_of(remaining.begin(), remaining.end(), isAvoided))
    std::erase_if(remaining, isAvoided);
  std::erase_if(remaining, [&](const Option& option) { return !option.row->mayBeProbed(now); });
  return remaining;
}

const Placement::Option& Placement::chooseByExpectedPrefill(const std::vector<Option>& usable,
                                                            std::uint64_t tieSeed) const {
  const auto rank = [&](const Candidate& candidate) {
    return std::make_tuple(-std::floor(candidate.expectedTokens / kExpectedTokensStep),
                           candidate.matchedTokens, -std::floor(candidate.load / kLoadStep),
                           tieRank(candidate.server, tieSeed));
  };
  return *std::max_element(usable.begin(), usable.end(),
                           [&](const Option& left, const Option& right) {
                             return rank(left.candidate) < rank(right.candidate);
                           });
}

const Placement::Option& Placement::choose(const std::vector<Option>& usable,
                                           const PromptPrefix& prefix, std::string* reason) {
  if (settings_.rule == PlacementRule::RoundRobin) {
    *reason = "next in turn";
    return usable[nextTurn_++ % usable.size()];
  }
  const bool byMatch = comparesMatches();
  const bool hasHome = byMatch && isEnabled(Mechanism::PrefixHome) && !prefix.parts.empty();
  const std::uint64_t tieSeed = hasHome ? tieSeedOf(prefix) : ++nextTurn_;
  if (comparesExpected()) {
    const Option& chosen = chooseByExpectedPrefill(usable, tieSeed);
    *reason = chosen.candidate.matchedTokens > 0 ? "least expected read, longest match"
                                                 : "least expected read, tie by prefix";
    return chosen;
  }
  const auto rank = [&](const Candidate& candidate) {
    const std::size_t match = byMatch && !candidate.capped ? candidate.matchedTokens : 0;
    const double load = byMatch ? std::floor(candidate.load / kLoadStep) : candidate.load;
    // With a spread bound, servers over the cap rank last, the least loaded of them first.
    const bool isBounded = settings_.spreadRequests > 0;
    const bool isUnder = isBounded && !candidate.capped;
    const double rankedLoad = !isBounded ? load : isUnder ? 0 : candidate.load;
    // If the prompt needs prefill anyway, prefer the weights that will stay.
    const bool isNewest =
        isBounded && candidate.isNewest && isEnabled(Mechanism::PreferNewestWeights);
    return std::make_tuple(isUnder, match, isNewest, -rankedLoad,
                           tieRank(candidate.server, tieSeed));
  };
  const Option& chosen =
      *std::max_element(usable.begin(), usable.end(), [&](const Option& left, const Option& right) {
        return rank(left.candidate) < rank(right.candidate);
      });
  const bool isMatch = byMatch && chosen.candidate.matchedTokens > 0 && !chosen.candidate.capped;
  *reason = isMatch ? "longest match" : byMatch ? "least load, tie by prefix" : "least load";
  return chosen;
}

// A source must have more of the prompt cached under the same weights. Its salt matches by
// construction, because the path contains it.
void Placement::chooseFetchSource(PlacementResult& placed, const Option& chosen,
                                  const std::vector<Option>& options, const ServerRow* homeServer,
                                  const PromptPrefix& prefix, Instant now) const {
  for (const Option& option : options) {
    if (!isEnabled(Mechanism::PeerFetch) || option.row == chosen.row) continue;
    if (option.row->state.weights != chosen.row->state.weights) continue;
    const std::size_t best = placed.source ? placed.source->matchedTokens : placed.matchedTokens;
    const std::size_t offered = option.candidate.matchedTokens;
    if (offered > best)
      placed.source = FetchSource{option.candidate.server, option.row->state.identity, offered};
  }
  const bool isWorthwhile =
      placed.source &&
      isWorthFetching(static_cast<double>(placed.source->matchedTokens - placed.matchedTokens));
  if (!isWorthwhile) placed.source.reset();
  placed.isFetchWorthwhile =
      isWorthFetching(static_cast<double>(placed.promptTokens - placed.matchedTokens));
  if (placed.source) {
    placed.fetchFrom = Address{placed.source->server.value};
    return;
  }
  const std::size_t shared = wholeBlocks(sharedPrefixTokens(prefix));
  const bool needsPrefill = placed.matchedTokens < shared;
  // If nothing else is known of this prefix, assumes that the other daemons placed it at its home
  // server.
  const bool usesHomeServer =
      homeServer && needsPrefill && isEnabled(Mechanism::HomeFetch) && homeServer != chosen.row &&
      homeServer->state.weights == chosen.row->state.weights && now >= homeServer->avoidUntil;
  if (usesHomeServer) placed.fetchFrom = Address{homeServer->state.name.value};
  if (store_.value.empty() || !isStoreReachable_) return;
  // The estimate may count cache that has been evicted since. Asking a source that no longer has it
  // costs almost nothing, while prefill costs much. Shared parts that need prefill are written to
  // the store.
  if (!usesHomeServer && isEnabled(Mechanism::StoreFetch)) placed.fetchFrom = store_;
  const std::size_t stored = storeRow_.tree.peekPrefix(*chosen.path);
  if (needsPrefill && stored < shared / settings_.blockTokens + 1 &&
      isEnabled(Mechanism::StoreWrite))
    placed.storeTo = store_;
}

Ticket Placement::lockPath(const Option& chosen, std::uint64_t pendingPrefillTokens, Instant now) {
  ServerRow& row = *chosen.row;
  row.nextProbeAt = now + row.probeInterval;
  const std::vector<Token>& path = *chosen.path;
  const std::size_t before = row.tree.peekPrefix(path);
  const PrefixInsert inserted =
      row.tree.insert(path, std::vector<BlockValue>(path.begin(), path.end()));
  if (isEnabled(Mechanism::PathLocks)) row.tree.lock(inserted.node);
  row.load.onRequestPlaced(pendingPrefillTokens, now);
  tickets_[++lastTicket_] = {row.state.name, row.treeGeneration,   inserted.node,
                             path,           before < path.size(), pendingPrefillTokens};
  enforceCapacity(row);
  return lastTicket_;
}

std::optional<PlacementResult> Placement::place(const PlacementRequest& request, Instant now) {
  const std::vector<Token> blocks = prefixBlocks(request.prefix, settings_.blockTokens);
  recordPartChain(request.prefix);
  std::vector<Option> options = optionsFor(request, blocks);
  if (options.empty()) return std::nullopt;
  PlacementResult placed;
  placed.promptTokens = blocks.size() * settings_.blockTokens;
  markNewest(options);
  PromptHolders holders;
  if (settings_.byExpectedPrefill) {
    holders = findHolders(options, request.prefix);
    estimatePrefill(options, holders, request.prefix, placed.promptTokens, now);
  }
  if (!comparesExpected()) markCapped(options);
  const std::vector<Option> usable = filterUsable(options, request.isOverShare, now);
  if (usable.empty()) return std::nullopt;
  const Option& chosen = choose(usable, request.prefix, &placed.reason);
  placed.matchedTokens = chosen.candidate.matchedTokens;
  placed.chosenServer = chosen.row->state;
  placed.salt = request.salt;
  placed.chosen = chosen.candidate;
  placed.minExpectedTokens = chosen.candidate.expectedTokens;
  for (const Option& option : options) {
    placed.candidates.push_back(option.candidate);
    placed.minExpectedTokens = std::min(placed.minExpectedTokens, option.candidate.expectedTokens);
  }
  chooseFetchSource(placed, chosen, options, holders.homeServer, request.prefix, now);
  const std::size_t available = placed.source ? placed.source->matchedTokens : placed.matchedTokens;
  placed.ticket = lockPath(chosen, placed.promptTokens - available, now);
  return placed;
}

}  // namespace quayrill
