// The product's own words, as docs/protocol.md has them.
#include "dialect/dialect.h"
#include "net/model_server.h"

namespace quayrill {

namespace {
awaitable<absl::StatusOr<std::vector<ListRow>>> readNativeList(Address platform, Address from,
                                                               Span due, std::size_t* calls) {
  ++*calls;
  co_return co_await readPlatformList(platform, from, due);
}

awaitable<absl::StatusOr<WeightsReport>> readNativeWeights(Address server, Address, ModelName model,
                                                           Span due) {
  const auto state = co_await readServer(server, due);
  if (!state.ok()) co_return state.status();
  co_return WeightsReport{model, state->weights, false};
}

awaitable<OrderAnswer> orderNativeWeights(Address server, Address from, ServerIdentity, ModelName,
                                          WeightsVersion weights, std::string, Fence fence,
                                          Span due) {
  const auto status = co_await orderWeights(server, from, weights, fence, due);
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
