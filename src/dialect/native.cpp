// Quayrill's own protocol, as specified in docs/protocol.md.
#include "dialect/dialect.h"
#include "net/model_server.h"

namespace quayrill {

namespace {
awaitable<absl::StatusOr<std::vector<ListedServer>>> readNativeList(Address platform, Address from,
                                                                    Duration timeout,
                                                                    std::size_t* calls) {
  ++*calls;
  co_return co_await readPlatformList(platform, from, timeout);
}

awaitable<absl::StatusOr<WeightsReport>> readNativeWeights(Address server, Address, ModelName model,
                                                           Duration timeout) {
  const auto state = co_await readServer(server, timeout);
  if (!state.ok()) co_return state.status();
  co_return WeightsReport{model, state->weights, false};
}

awaitable<OrderAnswer> orderNativeWeights(Address server, Address from, ServerIdentity, ModelName,
                                          WeightsVersion weights, std::string, FencingToken fence,
                                          Duration timeout) {
  const auto status = co_await orderWeights(server, from, weights, fence, timeout);
  co_return status.ok() ? OrderAnswer::Taken : OrderAnswer::Unclear;
}
}  // namespace

Dialect nativeDialect() {
  Dialect dialect;
  dialect.readConfiguration = parseConfiguration;
  dialect.readList = readNativeList;
  dialect.readServer = readServer;
  dialect.readWeights = readNativeWeights;
  dialect.orderWeights = orderNativeWeights;
  return dialect;
}

}  // namespace quayrill
