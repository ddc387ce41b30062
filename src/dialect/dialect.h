#pragma once
// Protocol adapter for the environment of a deployment: the configuration format, the calls that
// list servers and order their weights, and further operator calls. A dialect covers formats and
// calls only; all decisions are made elsewhere. nativeDialect() implements quayrill's own protocol.
#include <absl/status/statusor.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "agent/core/rollout.h"
#include "configuration/configuration.h"
#include "net/http.h"
#include "peers/messages.h"
#include "placement/placement.h"

namespace quayrill {

class Agent;

// The names of the headers that a relayed request and its answer carry.
struct HeaderNames {
  // Sent by callers and forwarded to servers, `timeoutMs` and `lastEventId` with updated values.
  std::string requestId, timeoutMs, prefix, model, lastEventId, tokenCount;
  // Both are removed from the caller's request; servers receive the tenant that the key belongs to.
  std::string key, tenant;
  // Set by the daemon for servers; values sent by callers are dropped.
  std::string identityWanted, weightsWanted, salt, fetchSource, keepAt, urgency;
  // Sent by servers with the answer. A success without `seal` is not accepted as one.
  std::string seal, load, notRun, identity, weights;
};

// How the events about the prompt parts that a server or store caches are requested, on a
// keep-alive connection.
struct PartEventProtocol {
  std::function<std::string(std::uint64_t since)> target;
  std::function<absl::StatusOr<PartEvents>(const std::string& body)> parse;
};

// The formats and calls of one deployment environment.
struct Dialect {
  // If set, requests are relayed unchanged according to the configuration's routes, with these
  // header names. If empty, callers use quayrill's own calls.
  std::optional<HeaderNames> relayHeaderNames;
  // If empty, part events are not requested.
  std::optional<PartEventProtocol> partEvents;
  // Parses the register's body. An error message starts with the path of the offending field.
  std::function<absl::StatusOr<Configuration>(const std::string& body)> readConfiguration;
  // Reads the platform's complete list, with all pages. Adds the number of calls made to `calls`.
  std::function<awaitable<absl::StatusOr<std::vector<ListedServer>>>(
      Address platform, Address from, Duration timeout, std::size_t* calls)>
      readList;
  // Reads one server's state; empty if the list already includes it.
  std::function<awaitable<absl::StatusOr<ServerState>>(Address server, Duration timeout)>
      readServer;
  // Reads which weights a server uses.
  std::function<awaitable<absl::StatusOr<WeightsReport>>(Address server, Address from,
                                                         ModelName model, Duration timeout)>
      readWeights;
  // Reads how many requests wait at a server, as of some hundred milliseconds ago. If empty,
  // servers don't tell.
  std::function<awaitable<absl::StatusOr<std::uint32_t>>(Address server, ServerIdentity identity,
                                                         Duration timeout)>
      readQueued;
  // Orders a server to switch to `weights`. `owner` names the holder of the fence and is unique
  // among all runs of all daemons.
  std::function<awaitable<OrderAnswer>(Address server, Address from, ServerIdentity identity,
                                       ModelName model, WeightsVersion weights, std::string owner,
                                       FencingToken fence, Duration timeout)>
      orderWeights;
  // Handles operator calls beyond quayrill's own; returns nullopt for any other call.
  std::function<awaitable<std::optional<HttpResponse>>(Agent& agent, HttpRequest& request)>
      handleOperatorCall;
};

// Quayrill's own protocol.
Dialect nativeDialect();

}  // namespace quayrill
