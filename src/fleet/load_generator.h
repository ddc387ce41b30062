#pragma once
// The load generator: draws requests at random from a deployment's traffic mix, sends them to ready
// daemons and records the answers in the ledger.
#include <random>

#include "fleet/ledger.h"
#include "net/http.h"

namespace quayrill::fleet {

// The requests of one path below /v1/. Each prompt consists of a part shared by all requests of the
// path, one shared by those of a tenant, one shared by those of a variant, and one of its own.
struct PathMix {
  std::string name;
  bool repeatable = false;
  double share = 0;  // of all requests
  std::size_t sharedTokens = 0, tenantTokens = 0, variantTokens = 0, variants = 1, uniqueTokens = 0;
  int pieces = 4;  // of a streamed answer
};

// The traffic of a deployment.
struct TrafficMix {
  std::string name;
  double rate = 60;  // requests per second
  std::vector<PathMix> paths;
  // Names and shares of all requests; tenants named "iso-..." are isolated.
  std::vector<std::pair<std::string, double>> tenants;
};
// The mix of "tejo"; any other name gets the mix of "hsinmei".
TrafficMix trafficMixOf(const std::string& deployment);
// The configuration document with the tenants and paths of the mix, at these weights.
std::string configurationOf(const TrafficMix& mix, const std::string& weights);
// The API key with which a tenant's requests are sent.
std::string apiKeyOf(const std::string& tenant);

// A daemon as the load generator sees it; `callers` is its address for callers.
struct DaemonTarget {
  Address callers;
  std::string zone;
  bool ready = false;
};

// Sends requests to the daemons and checks the streamed answers. Runs on the single thread of `io`.
class LoadGenerator {
 public:
  LoadGenerator(asio::io_context& io, TrafficMix mix, std::vector<Address> daemons, Ledger& ledger,
                std::uint64_t seed);
  // Starts polling the readiness of all daemons.
  void start();
  // Sends requests for `span` at the mix's rate times `rateFactor`; for `onlyTenant` alone if it is
  // given.
  awaitable<void> sendTraffic(Duration span, double rateFactor, std::string onlyTenant = "");
  std::size_t openCalls() const { return openCalls_; }
  std::vector<DaemonTarget>& daemons() { return daemons_; }

 private:
  // Polls /readyz of a daemon and records the configuration version that it reports.
  awaitable<void> pollReadiness(std::size_t daemon);
  // Sends a request, reads its answer and records both.
  awaitable<void> call(CallRow row, HttpRequest request, Address to);
  // Checks the pieces of a streamed answer. Sets `endMark`, and `error` if it returns false.
  bool checkAnswerLines(const std::string& body, CallRow* row);

  asio::io_context& io_;
  TrafficMix mix_;
  std::vector<DaemonTarget> daemons_;
  Ledger& ledger_;
  std::mt19937_64 random_;
  std::uint64_t lastRequestNumber_ = 0;
  std::size_t openCalls_ = 0;
  static constexpr std::size_t kMaxOpenCalls = 2000;
};

}  // namespace quayrill::fleet
