// The choice of a server for one request, and of the source of what that server lacks.
#include <algorithm>
#include <cmath>
#include <tuple>

#include "base/digest.h"
#include "base/weights_version.h"
#include "placement/placement.h"

namespace quayrill {

namespace {
// Ours: a server over this much above the mean loses the pull of its match.
constexpr double kSpreadMargin = 0.35;
// Ours: loads from which on a server is over the spread rule's cap, whatever the mean.
constexpr double kOverCapLoad = 1.5;
// Ours: a fetch costs a fixed part and a part per token; prefill costs per token.
constexpr double kFetchFixedMicros = 8000, kFetchTokenMicros = 4, kPrefillTokenMicros = 25;
// The same, in tokens that could be read meanwhile.
constexpr double kFetchFixedTokens = kFetchFixedMicros / kPrefillTokenMicros;
constexpr double kFetchTokenShare = kFetchTokenMicros / kPrefillTokenMicros;
// Ours: loads from which on a server is full; the first for tenants over their share.
constexpr double kFullLoadOverShare = 1.5, kFullLoad = 2.0;
// Ours: loads within one step tie, and so do expected reads.
constexpr double kLoadStep = 0.25, kExpectedTokensStep = 9000;
// Ours: what is read for weights that are about to be replaced is read again soon.
constexpr double kOldWeightsPenalty = 0.5;
// Ours: what a copy at a second server costs, in tokens, beside the time of its fetch: it takes the
// room of another prompt's, which is then read again.
constexpr double kCopyCostTokens = 6000;
// Ours: a request with as much to read waits for half of what waits.
constexpr double kUrgencyHalfTokens = 30000;
// Ours: tokens that each slot's worth of requests beyond all slots counts for.
constexpr double kQueueCostTokens = 20000;

// All daemons break a tie by the same name, so that one prefix gathers on one server fleet-wide.
// The last part is a prompt's own.
std::uint64_t tieSeedOf(const PromptPrefix& prefix) {
  std::uint64_t name = 1;
  const std::size_t shared =
      prefix.parts.size() > 1 ? prefix.parts.size() - 1 : prefix.parts.size();
  for (std::size_t i = 0; i < shared; ++i) name = mixHash(name, stableHash(prefix.parts[i].id));
  return name;
}

std::uint64_t tieRank(const ServerName& server, std::uint64_t tieSeed) {
  return mixHash(stableHash(server.value), tieSeed);
}

// The last part is a prompt's own, or its session's.
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
  // The salts of this request are known by now.
  applyPendingParts(request.prefix);
  for (Option& option : options) {
    const std::size_t runs = option.row->tree.peekPrefix(*option.path);
    option.candidate.matchedTokens = runs > 1 ? (runs - 1) * settings_.blockTokens : 0;
    option.candidate.load = currentLoad(*option.row);
  }
  return options;
}

void Placement::markNewest(std::vector<Option>& options) const {
  std::map<ModelName, WeightsVersion> newest;
  for (const Option& option : options) {
    const ServerState& state = option.row->state;
    const auto [entry, isFirst] = newest.try_emplace(state.model, state.weights);
    if (!isFirst && entry->second != state.weights && isBehind(entry->second, state.weights))
      entry->second = state.weights;
  }
  for (Option& option : options) {
    const ServerState& state = option.row->state;
    const WeightsVersion& best = newest.at(state.model);
    option.candidate.isNewest =
        state.weights == best || !numberOf(state.weights) || !isBehind(state.weights, best);
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
        has(Mechanism::SpreadBound) && option.candidate.load >= std::min(kOverCapLoad, bound);
  }
}

// The most of this prompt that is known to be kept, by weights, and the server where a prefix
// gathers that nothing is known of: the same whichever weights it has, so that while weights
// change, load moves to the newest as servers do.
Placement::PromptHolders Placement::findHolders(const std::vector<Option>& options,
                                                const PromptPrefix& prefix) const {
  const std::uint64_t tieSeed = tieSeedOf(prefix);
  const bool hasHome = has(Mechanism::PrefixHome) && !prefix.parts.empty();
  PromptHolders sources;
  std::uint64_t highest = 0;
  for (const Option& option : options) {
    std::size_t& most = sources.longestMatch[option.row->state.weights];
    most = std::max(most, option.candidate.matchedTokens);
    const std::uint64_t tie = tieRank(option.candidate.server, tieSeed);
    if (!hasHome || (sources.homeServer && tie <= highest)) continue;
    highest = tie;
    sources.homeServer = option.row;
  }
  return sources;
}

// Tokens of the prompt that a server has to read, and what a fetch costs it, as far as can be
// expected. Where nothing is known of a prefix, its home is taken to keep it: others placed it
// there.
double Placement::ownPrefillTokens(const Option& option, const PromptHolders& sources,
                                   double prompt, double shared) const {
  const auto matched = static_cast<double>(option.candidate.matchedTokens);
  const auto cached = static_cast<double>(sources.longestMatch.at(option.row->state.weights));
  double own = prompt - matched;
  if (has(Mechanism::PeerFetch))
    own = std::min(own, prompt - cached + kCopyCostTokens + kFetchTokenShare * (cached - matched));
  const bool isUnknown = cached < shared && matched < shared;
  if (isUnknown && sources.homeServer == option.row) own = std::min(own, prompt - shared);
  return own;
}

// What is read before the first token of this request, on each server: what waits there, and what
// of the prompt neither it keeps nor a peer can give.
void Placement::estimatePrefill(std::vector<Option>& options, const PromptHolders& sources,
                                const PromptPrefix& prefix, std::size_t promptTokens,
                                Instant now) const {
  const auto shared = static_cast<double>(wholeBlocks(sharedPrefixTokens(prefix)));
  for (Option& option : options) {
    Candidate& candidate = option.candidate;
    double own = ownPrefillTokens(option, sources, static_cast<double>(promptTokens), shared);
    if (!candidate.isNewest && has(Mechanism::NewestFirst)) own *= 1 + kOldWeightsPenalty;
    candidate.pendingPrefillTokens = option.row->load.pendingPrefillTokens(now);
    // The less there is to read, the more urgent the request: it passes most of what waits.
    const double waited = has(Mechanism::Urgency)
                              ? candidate.pendingPrefillTokens * own / (own + kUrgencyHalfTokens)
                              : candidate.pendingPrefillTokens;
    candidate.expectedTokens = waited + own + kQueueCostTokens * std::max(0.0, candidate.load - 1);
  }
}

std::vector<Placement::Option> Placement::filterUsable(const std::vector<Option>& options,
                                                       bool isOverShare, Instant now) const {
  // A server with twice its slots waiting would only let the request age in its queue. The last
  // places of that queue are for tenants that hold no more than their share.
  std::vector<Option> left = options;
  const double full = isOverShare ? kFullLoadOverShare : kFullLoad;
  std::erase_if(left, [&](const Option& option) {
    return std::max(option.candidate.load, extrapolatedLoad(*option.row)) >= full;
  });
  const auto isAvoided = [&](const Option& option) { return now < option.row->avoidUntil; };
  if (!std::all_of(left.begin(), left.end(), isAvoided)) std::erase_if(left, isAvoided);
  return left;
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
  const bool hasHome = byMatch && has(Mechanism::PrefixHome) && !prefix.parts.empty();
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
    // Bounded: those over the cap come last, the least loaded of them first.
    const bool isBounded = settings_.spreadRequests > 0;
    const bool isUnder = isBounded && !candidate.capped;
    const double shown = !isBounded ? load : isUnder ? 0 : candidate.load;
    // What must be read anew is best read for the weights that stay.
    const bool isNewest = isBounded && candidate.isNewest && has(Mechanism::NewestFirst);
    return std::make_tuple(isUnder, match, isNewest, -shown, tieRank(candidate.server, tieSeed));
  };
  const Option& chosen =
      *std::max_element(usable.begin(), usable.end(), [&](const Option& left, const Option& right) {
        return rank(left.candidate) < rank(right.candidate);
      });
  const bool isMatch = byMatch && chosen.candidate.matchedTokens > 0 && !chosen.candidate.capped;
  *reason = isMatch ? "longest match" : byMatch ? "least load, tie by prefix" : "least load";
  return chosen;
}

// A source must hold more, under the same weights; its salt is the request's by construction.
void Placement::chooseFetchSource(PlacementResult& placed, const Option& chosen,
                                  const std::vector<Option>& options, const ServerRow* homeServer,
                                  const PromptPrefix& prefix, Instant now) const {
  for (const Option& option : options) {
    if (!has(Mechanism::PeerFetch) || option.row == chosen.row) continue;
    if (option.row->state.weights != chosen.row->state.weights) continue;
    const std::size_t cached = placed.source ? placed.source->matchedTokens : placed.matchedTokens;
    const std::size_t holds = option.candidate.matchedTokens;
    if (holds > cached)
      placed.source = FetchSource{option.candidate.server, option.row->state.identity, holds};
  }
  const bool isWorth =
      placed.source &&
      isWorthFetching(static_cast<double>(placed.source->matchedTokens - placed.matchedTokens));
  if (!isWorth) placed.source.reset();
  placed.isFetchWorthwhile =
      isWorthFetching(static_cast<double>(placed.promptTokens - placed.matchedTokens));
  if (placed.source) {
    placed.fetchFrom = Address{placed.source->server.value};
    return;
  }
  const std::size_t shared = wholeBlocks(sharedPrefixTokens(prefix));
  const bool isRead = placed.matchedTokens < shared;
  // Where the other daemons placed this prefix, as far as nothing is known of it.
  const bool isSource =
      homeServer && isRead && has(Mechanism::HomeFetch) && homeServer != chosen.row &&
      homeServer->state.weights == chosen.row->state.weights && now >= homeServer->avoidUntil;
  if (isSource) placed.fetchFrom = Address{homeServer->state.name.value};
  if (store_.value.empty() || !isStoreReachable_) return;
  // What the estimate takes for held may have been evicted: a source that has no more costs next
  // to nothing, reading the part again costs much. Shared parts that are to be read are kept.
  if (!isSource && has(Mechanism::StoreFetch)) placed.fetchFrom = store_;
  const std::size_t kept = storeRow_.tree.peekPrefix(*chosen.path);
  if (isRead && kept < shared / settings_.blockTokens + 1 && has(Mechanism::StoreKeep))
    placed.storeTo = store_;
}

Ticket Placement::lockPath(const Option& chosen, std::uint64_t pendingPrefillTokens, Instant now) {
  ServerRow& row = *chosen.row;
  const std::vector<Token>& path = *chosen.path;
  const std::size_t before = row.tree.peekPrefix(path);
  const PrefixInsert inserted =
      row.tree.insert(path, std::vector<BlockValue>(path.begin(), path.end()));
  if (has(Mechanism::Locks)) row.tree.lock(inserted.node);
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
  PromptHolders sources;
  if (settings_.byExpectedPrefill) {
    sources = findHolders(options, request.prefix);
    estimatePrefill(options, sources, request.prefix, placed.promptTokens, now);
  }
  if (!comparesExpected()) markCapped(options);
  const std::vector<Option> left = filterUsable(options, request.isOverShare, now);
  if (left.empty()) return std::nullopt;
  const Option& chosen = choose(left, request.prefix, &placed.reason);
  placed.matchedTokens = chosen.candidate.matchedTokens;
  placed.chosenServer = chosen.row->state;
  placed.chosen = chosen.candidate;
  placed.minExpectedTokens = chosen.candidate.expectedTokens;
  for (const Option& option : options) {
    placed.candidates.push_back(option.candidate);
    placed.minExpectedTokens = std::min(placed.minExpectedTokens, option.candidate.expectedTokens);
  }
  chooseFetchSource(placed, chosen, options, sources.homeServer, request.prefix, now);
  const std::size_t given = placed.source ? placed.source->matchedTokens : placed.matchedTokens;
  placed.ticket = lockPath(chosen, placed.promptTokens - given, now);
  return placed;
}

}  // namespace quayrill
