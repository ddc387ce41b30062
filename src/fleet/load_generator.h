#pragma once
// The stand-in gateway: draws requests from a deployment's mix, calls ready daemons, checks
// answers.
#include <random>

#include "fleet/ledger.h"
#include "net/http.h"

namespace quayrill::fleet {

// One kind of request in a mix.
struct WayMix {
  std::string way;
  bool repeatable = false;
  double share = 0;
  std::size_t rulesTokens = 0, tenantTokens = 0, variantTokens = 0, variants = 1, ownTokens = 0;
  int pieces = 4;
};

// A deployment's traffic as settings of the stand-ins.
struct Mix {
  std::string name;
  double rate = 60;  // requests a second
  std::vector<WayMix> ways;
  std::vector<std::pair<std::string, double>> tenants;  // name and share; "iso-" are isolated
};
Mix mixOf(const std::string& deployment);
std::string configurationOf(const Mix& mix, const std::string& weights);
std::string secretOf(const std::string& tenant);

struct DaemonTarget {
  Address callers;
  std::string zone;
  bool ready = false;
};

class Gateway {
 public:
  Gateway(asio::io_context& io, Mix mix, std::vector<Address> daemons, Ledger& ledger,
          std::uint64_t seed);
  void start();
  // Sends at the mix's rate until then, for all tenants or for one.
  awaitable<void> drive(Duration span, double rateFactor, std::string onlyTenant = "");
  std::size_t open() const { return open_; }
  std::vector<DaemonTarget>& daemons() { return daemons_; }

 private:
  awaitable<void> watch(std::size_t daemon);
  awaitable<void> call(CallRow row, HttpRequest request, Address to);
  bool checkLines(const std::string& body, CallRow* row);

  asio::io_context& io_;
  Mix mix_;
  std::vector<DaemonTarget> daemons_;
  Ledger& ledger_;
  std::mt19937_64 random_;
  std::uint64_t counter_ = 0;
  std::size_t open_ = 0;
  static constexpr std::size_t kOpenLimit = 2000;
};

}  // namespace quayrill::fleet
