#pragma once
// What a deployment's surroundings speak: how configurations are written, how servers are listed
// and ordered, what operators call. Formats and calls only; every decision stays with the product.
// `nativeDialect()` is the product's own.
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
  // of callers, passed on
  std::string requestId, deadlineMs, prefix, model, lastEventId, tokenCount;
  // of callers, kept back, and what servers are told in their place
  std::string key, tenant;
  // what the daemon tells servers; a caller's own are dropped
  std::string identityWanted, weightsWanted, salt, fetchSource, keepAt, urgency;
  // what servers answer
  std::string seal, load, notRun, identity, weights;
};

// How the parts that a server or store keeps are asked for, on a kept connection.
struct PartEventProtocol {
  std::function<std::string(std::uint64_t since)> target;
  std::function<absl::StatusOr<PartEvents>(const std::string& body)> parse;
};

struct Dialect {
  // Requests are relayed by the configuration's routes, unchanged, under these names; empty: the
  // product's own calls.
  std::optional<HeaderNames> relayHeaderNames;
  // Empty: parts are not asked for.
  std::optional<PartEventProtocol> partEvents;
  // The register's body to a configuration; the message starts with the path of the offending
  // field.
  std::function<absl::StatusOr<Configuration>(const std::string& body)> readConfiguration;
  // The platform's whole list, all of its pages. `calls` is raised by the calls it took.
  std::function<awaitable<absl::StatusOr<std::vector<ListRow>>>(Address platform, Address from,
                                                                Span timeout, std::size_t* calls)>
      readList;
  // One server's own word about itself; empty where the list tells all.
  std::function<awaitable<absl::StatusOr<ServerState>>(Address server, Span timeout)> readServer;
  std::function<awaitable<absl::StatusOr<WeightsReport>>(Address server, Address from,
                                                         ModelName model, Span timeout)>
      readWeights;
  // `owner` names the holder of the fence, and no other life of a daemon has the same.
  std::function<awaitable<OrderAnswer>(Address server, Address from, ServerIdentity identity,
                                       ModelName model, WeightsVersion weights, std::string owner,
                                       Fence fence, Span timeout)>
      orderWeights;
  // Calls of operators beyond the product's own; nullopt: not one of these.
  std::function<awaitable<std::optional<HttpResponse>>(Agent& agent, HttpRequest& request)>
      handleOperatorCall;
};

Dialect nativeDialect();

}  // namespace quayrill
