// The product's own words, as docs/protocol.md has them.
#include "dialect/dialect.h"
#include "net/model_server.h"

namespace quayrill {

namespace {
awaitable<absl::StatusOr<std::vector<ListedServer>>> readOwnList(Address platform, Address from,
                                                                 Duration due, std::size_t* calls) {
  ++*calls;
  co_return co_await readPlatformList(platform, from, due);
}

awaitable<absl::StatusOr<WeightsReport>> readOwnWeights(Address server, Address, ModelName model,
                                                        Duration due) {
  const auto state = co_await readServer(server, due);
  if (!state.ok()) co_return state.status();
  co_return WeightsReport{model, state->weights, false};
}

awaitable<OrderAnswer> orderOwnWeights(Address server, Address from, ServerIdentity, ModelName,
                                       WeightsVersion weights, std::string, FencingToken fence,
                                       Duration due) {
  const auto status = co_await orderWeights(server, from, weights, fence, due);
  co_return status.ok() ? OrderAnswer::Taken : OrderAnswer::Unclear;
}
}  // namespace

Dialect ownDialect() {
  Dialect dialect;
  dialect.readConfiguration = parseConfiguration;
  dialect.readList = readOwnList;
  dialect.readServer = readServer;
  dialect.readWeights = readOwnWeights;
  dialect.orderWeights = orderOwnWeights;
  return dialect;
}

}  // namespace quayrill
