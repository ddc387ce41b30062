// A benchmark, not a test. Run it by name: `quayrill_tests "[cost]"`.
#include <catch2/catch.hpp>
#include <iostream>
#include <random>

#include "placement/placement.h"

using namespace quayrill;

TEST_CASE("placement cost at full index size", "[.][cost]") {
  for (const std::size_t cacheTokens : {16000U, 400000U, 4000000U}) {
    Placement placement({16, PlacementRule::LongestPrefix});
    std::vector<ServerState> servers(18);
    for (std::size_t i = 0; i < servers.size(); ++i) {
      servers[i].name = ServerName{"s" + std::to_string(i)};
      servers[i].identity = ServerIdentity{"i"};
      servers[i].model = ModelName{"m"};
      servers[i].weights = WeightsVersion{"w"};
      servers[i].healthy = true;
      servers[i].slots = 1000000;
      servers[i].cacheTokens = cacheTokens;
    }
    placement.setServers(servers);
    std::mt19937_64 random(1);
    const auto placeOne = [&] {
      const std::string variant = std::to_string(random() % 3000);
      const auto prefix = parsePrefix("rules-" + std::to_string(random() % 30) + ":1600,v" +
                                      variant + ":320,own" + std::to_string(random()) + ":64");
      const auto placed =
          placement.place({ModelName{"m"}, TenantName{"t"}, CacheSalt{}, *prefix, {}});
      placement.release(placed->ticket, true);
    };
    for (std::size_t i = 0; i < cacheTokens / 8 + 20000; ++i) placeOne();
    std::size_t blocks = 0;
    for (const ServerState& server : servers) blocks += placement.indexedBlocks(server.name);
    const Instant start = BootClock::now();
    constexpr int kRounds = 20000;
    for (int i = 0; i < kRounds; ++i) placeOne();
    const auto elapsed =
        std::chrono::duration_cast<std::chrono::nanoseconds>(BootClock::now() - start);
    std::cout << "cache tokens " << cacheTokens << " blocks in the index " << blocks
              << " placed and released in " << elapsed.count() / kRounds << " ns\n";
  }
  SUCCEED();
}
