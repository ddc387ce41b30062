#pragma once
// The stand-in gateway: draws requests from a deployment's mix, calls ready daemons, checks
// answers.
#include <random>

#include "fleet/ledger.h"
#include "net/http.h"

namespace quayrill::fleet {

// One kind of request in a mix.
struct PathMix {
  std::string name;
  bool repeatable = false;
  double share = 0;
  std::size_t sharedTokens = 0, tenantTokens = 0, variantTokens = 0, variants = 1, uniqueTokens = 0;
  int pieces = 4;
};

// A deployment's traffic as settings of the stand-ins.
struct TrafficMix {
  std::string name;
  double rate = 60;  // requests a second
  std::vector<PathMix> paths;
  std::vector<std::pair<std::string, double>> tenants;  // name and share; "iso-" are isolated
};
TrafficMix trafficMixOf(const std::string& deployment);
std::string configurationOf(const TrafficMix& mix, const std::string& weights);
std::string apiKeyOf(const std::string& tenant);

struct DaemonTarget {
  Address callers;
  std::string zone;
  bool ready = false;
};

class LoadGenerator {
 public:
  LoadGenerator(asio::io_context& io, TrafficMix mix, std::vector<Address> daemons, Ledger& ledger,
                std::uint64_t seed);
  void start();
  // Sends at the mix's rate until then, for all tenants or for one.
  awaitable<void> sendTraffic(Duration span, double rateFactor, std::string onlyTenant = "");
  std::size_t openCalls() const { return openCalls_; }
  std::vector<DaemonTarget>& daemons() { return daemons_; }

 private:
  awaitable<void> pollReadiness(std::size_t daemon);
  awaitable<void> call(CallRow row, HttpRequest request, Address to);
  bool checkAnswerLines(const std::string& body, CallRow* row);

  asio::io_context& io_;
  TrafficMix mix_;
  std::vector<DaemonTarget> daemons_;
  Ledger& ledger_;
  std::mt19937_64 random_;
  std::uint64_t counter_ = 0;
  std::size_t openCalls_ = 0;
  static constexpr std::size_t kMaxOpenCalls = 2000;
};

}  // namespace quayrill::fleet
