#include <catch2/catch.hpp>
#include <random>

#include "placement/admission.h"
#include "placement/placement.h"
#include "placement/retry_budget.h"

using namespace quayrill;
using namespace std::chrono_literals;

namespace {
ServerState server(const std::string& name, const std::string& weights = "w0") {
  ServerState state;
  state.name = ServerName{name};
  state.identity = ServerIdentity{name + "#1"};
  state.model = ModelName{"till"};
  state.weights = WeightsVersion{weights};
  state.healthy = true;
  state.slots = 8;
  state.cacheTokens = 16000;
  return state;
}
PlacementRequest requestFor(const std::string& prefix, const std::string& salt = "") {
  return {ModelName{"till"}, TenantName{"north"}, CacheSalt{salt}, *parsePrefix(prefix), {}};
}
}  // namespace

TEST_CASE("prefix: strict parsing with bounds") {
  CHECK(parsePrefix("a:1,b-2.x_Y:300")->parts.size() == 2);
  CHECK(parsePrefix("")->parts.empty());
  for (const char* bad : {"a", "a:", ":5", "a:0", "a:01", "a:-1", "a:1,", ",a:1", "a:1,,b:2",
                          "a b:1", "a:1 ", "a:262145", "a:99999999999", "a:1;b:2", "a:+1"})
    CHECK_FALSE(parsePrefix(bad).ok());
  CHECK_FALSE(parsePrefix(std::string(65, 'x') + ":1").ok());
  std::string many = "p:1";
  for (int i = 0; i < 64; ++i) many += ",p:1";
  CHECK_FALSE(parsePrefix(many).ok());
  CHECK_FALSE(parsePrefix("a:262144,b:262144,c:262144,d:262144,e:1").ok());
}

TEST_CASE("prefix: seeded noise never breaks the parser and what parses comes back the same") {
  std::mt19937_64 random(11);
  const std::string letters = "ab:,019.-_ \n\x01\xff";
  std::size_t parsed = 0;
  for (int i = 0; i < 20000; ++i) {
    std::string text;
    for (std::size_t n = random() % 12; n > 0; --n) text += letters[random() % letters.size()];
    const auto prefix = parsePrefix(text);
    if (!prefix.ok()) continue;
    ++parsed;
    CHECK(formatPrefix(*prefix) == text);
  }
  CHECK(parsed > 100);
}

TEST_CASE("prefix: a part that is no multiple of the block shares its whole blocks only") {
  const auto blocks = [](const std::string& text) { return prefixBlocks(*parsePrefix(text), 16); };
  const auto left = blocks("rules:40,mine:24");
  const auto right = blocks("rules:40,yours:24");
  REQUIRE(left.size() == 4);
  CHECK(left[0] == right[0]);
  CHECK(left[1] == right[1]);
  CHECK(left[2] != right[2]);  // 8 tokens of "rules" and 8 of another part
  CHECK(left[3] != right[3]);
  CHECK(blocks("rules:15").empty());
}

TEST_CASE("placement: the longest match wins, and only under the same salt and weights") {
  Placement placement({16, PlacementRule::LongestPrefix});
  placement.setServers({server("a"), server("b"), server("c")});
  const auto first = placement.place(requestFor("rules:320,own1:32"));
  REQUIRE(first);
  placement.release(first->ticket, true);
  const auto second = placement.place(requestFor("rules:320,own2:32"));
  CHECK(second->chosenServer.name == first->chosenServer.name);
  CHECK(second->matchedTokens == 320);
  CHECK(second->reason == "longest match");
  CHECK(placement.place(requestFor("rules:320,own3:32", "tenant:x"))->matchedTokens == 0);
  std::vector<ServerState> updated;
  for (const char* name : {"a", "b", "c"}) updated.push_back(server(name, "w1"));
  placement.setServers(updated);
  CHECK(placement.place(requestFor("rules:320,own4:32"))->matchedTokens == 0);
}

TEST_CASE("placement: a hot prefix spreads when its server is over the cap") {
  Placement placement({16, PlacementRule::LongestPrefix});
  placement.setServers({server("a"), server("b"), server("c")});
  std::map<std::string, int> placed;
  for (int i = 0; i < 24; ++i)
    ++placed[placement.place(requestFor("hot:320,own" + std::to_string(i) + ":32"))
                 ->chosenServer.name.value];
  CHECK(placed.size() == 3);
  for (const auto& [name, count] : placed) CHECK(count <= 14);
}

TEST_CASE("placement: no sound server that is staying means no place") {
  Placement placement({16, PlacementRule::LongestPrefix});
  ServerState leaving = server("a"), unhealthy = server("b"), full = server("c");
  leaving.leaving = true;
  unhealthy.healthy = false;
  full.queued = 16;
  placement.setServers({leaving, unhealthy, full});
  CHECK_FALSE(placement.place(requestFor("rules:32")));
}

TEST_CASE("placement: locks are released exactly once, on every way out") {
  Placement placement({16, PlacementRule::LongestPrefix});
  ServerState small = server("a");
  small.cacheTokens = 16 * 8;
  placement.setServers({small});
  const auto streaming = placement.place(requestFor("long:128"));
  const auto other = placement.place(requestFor("other:128"));
  CHECK(placement.ticketCount() == 2);
  CHECK(placement.indexedBlocks(ServerName{"a"}) > 8);  // both are locked and exceed the budget
  placement.release(other->ticket, true);
  placement.release(other->ticket, true);
  placement.release(other->ticket, false);
  // The first request is still running, so its path stays locked whatever was released twice.
  CHECK(placement.place(requestFor("long:128"))->matchedTokens == 128);
  placement.release(streaming->ticket, true);
  CHECK(placement.ticketCount() == 1);
}

TEST_CASE("placement: what did not run leaves no trace, a dropped tree voids its locks") {
  Placement placement({16, PlacementRule::LongestPrefix});
  placement.setServers({server("a")});
  const auto rejected = placement.place(requestFor("rules:64"));
  placement.release(rejected->ticket, false);
  CHECK(placement.place(requestFor("rules:64"))->matchedTokens == 0);
  const auto before = placement.place(requestFor("notice:64"));
  ServerState restarted = server("a");
  restarted.identity = ServerIdentity{"a#2"};
  placement.setServers({restarted});
  placement.release(before->ticket, true);  // of the former tree
  CHECK(placement.place(requestFor("notice:64"))->matchedTokens == 0);
}

TEST_CASE("placement: cache events prune, and a gap in them drops the estimate") {
  Placement placement({16, PlacementRule::LongestPrefix});
  placement.setServers({server("a")});
  const ServerName name{"a"};
  const ServerIdentity identity{"a#1"};
  placement.applyEvents(name, identity, 0, {}, 5);
  for (const char* prefix : {"x:64", "y:64"})
    placement.release(placement.place(requestFor(prefix))->ticket, true);
  placement.applyEvents(name, identity, 5,
                        {{5, CacheEventKind::Dropped, CacheSalt{}, *parsePrefix("x:64")}}, 6);
  const auto afterDrop = placement.place(requestFor("x:64"));
  CHECK(afterDrop->matchedTokens == 0);
  placement.release(afterDrop->ticket, true);
  CHECK(placement.gaps() == 0);
  placement.applyEvents(name, ServerIdentity{"a#0"}, 9, {}, 12);  // of a former identity: ignored
  CHECK(placement.eventPosition(name) == 6);
  placement.applyEvents(name, identity, 9, {}, 12);
  CHECK(placement.gaps() == 1);
  CHECK(placement.place(requestFor("y:64"))->matchedTokens == 0);
}

TEST_CASE("placement: a peer that holds more is named as a source only where fetching pays") {
  Placement placement({16, PlacementRule::LongestPrefix});
  ServerState warm = server("a"), cold = server("b");
  placement.setServers({warm});
  placement.release(placement.place(requestFor("rules:1600,n:64"))->ticket, true);
  warm.running = 12;  // over the cap, so the match does not count
  placement.setServers({warm, cold});
  const auto placed = placement.place(requestFor("rules:1600,m:64"));
  CHECK(placed->chosenServer.name.value == "b");
  REQUIRE(placed->source);
  CHECK(placed->source->server.value == "a");
  CHECK(placed->source->matchedTokens == 1600);
  cold.weights = WeightsVersion{"w1"};
  placement.setServers({warm, cold});
  CHECK_FALSE(placement.place(requestFor("rules:1600,m:64"))->source);
}

TEST_CASE("extra tries: no trailing window of ten seconds sees more than a fifth") {
  RetryBudget budget;
  std::mt19937_64 random(5);
  Instant now{1s};
  CHECK_FALSE(budget.takeRetry(now));  // empty at start
  std::vector<std::pair<Instant, bool>> sends;
  for (int i = 0; i < 20000; ++i) {
    now += std::chrono::milliseconds(random() % (i % 4000 < 2000 ? 20 : 400));
    budget.countRequest(now);
    sends.emplace_back(now, false);
    if (random() % 2 && budget.takeRetry(now)) sends.emplace_back(now, true);
  }
  std::size_t from = 0, retries = 0, taken = 0;
  for (std::size_t to = 0; to < sends.size(); ++to) {
    retries += sends[to].second ? 1 : 0;
    taken += sends[to].second ? 1 : 0;
    for (; sends[to].first - sends[from].first >= 10s; ++from)
      retries -= sends[from].second ? 1 : 0;
    REQUIRE(retries * 5 <= to + 1 - from - retries);
  }
  CHECK(taken > 500);
}

TEST_CASE("placement: a tenant that asks for ever new salts forgets its own and nobody else's") {
  Placement placement({16, PlacementRule::LongestPrefix});
  auto one = server("s1");
  one.cacheTokens = 1000000;
  one.slots = 1000000;
  placement.setServers({one});
  const auto matched = [&](const std::string& tenant, const std::string& salt) {
    PlacementRequest request = requestFor("rules:64", salt);
    request.tenant = TenantName{tenant};
    const auto placed = placement.place(request);
    placement.release(placed->ticket, true);
    return placed->matchedTokens;
  };
  CHECK(matched("small", "mine") == 0);
  for (int i = 0; i < 2000; ++i) {
    CHECK(matched("greedy", "g" + std::to_string(i)) == 0);
    if (i % 100 == 0) CHECK(matched("greedy", "kept warm") == (i == 0 ? 0 : 64));
  }
  CHECK(matched("small", "mine") == 64);
  CHECK(matched("greedy", "g1999") == 64);
  CHECK(matched("greedy", "g0") == 0);  // removed; its old path is unreachable
  // 512 salts of the greedy tenant and one of the other, each with four blocks and a namespace
  // root.
  CHECK(placement.indexedBlocks(ServerName{"s1"}) <= 513 * 5);
}

TEST_CASE("placement: the last places of a queue are for tenants within their share") {
  Placement placement({16, PlacementRule::LongestPrefix});
  auto one = server("s1");
  one.slots = 4;
  placement.setServers({one});
  PlacementRequest big = requestFor("rules:64");
  big.isOverShare = true;
  std::vector<Ticket> tickets;
  while (const auto placed = placement.place(big)) tickets.push_back(placed->ticket);
  CHECK(tickets.size() == 6);  // one and a half times the slots
  PlacementRequest small = requestFor("other:64");
  for (int i = 0; i < 2; ++i) CHECK(placement.place(small));
  CHECK_FALSE(placement.place(small));
}

TEST_CASE("admission: a tenant is over its share only beside others, and for seconds after them") {
  Admission admission;
  const PolicyName policy{"c"};
  Instant now{100s};
  const auto enter = [&](const char* tenant) {
    return admission.enter(TenantName{tenant}, 100, policy, 1000, now);
  };
  for (int i = 0; i < 10; ++i)
    CHECK_FALSE(enter("big").isOverShare);  // alone, so its share is everything
  CHECK_FALSE(enter("small").isOverShare);
  CHECK(enter("big").isOverShare);
  admission.leave(TenantName{"small"}, policy);
  CHECK(enter("big").isOverShare);  // the small tenant was active a moment ago
  now += 6s;
  CHECK_FALSE(enter("big").isOverShare);
  CHECK_FALSE(admission.enter(TenantName{"big"}, 13, policy, 1000, now).isAdmitted);
  CHECK_FALSE(admission.enter(TenantName{"new"}, 100, policy, 13, now).isAdmitted);
}

TEST_CASE("placement: what was sent since the poll counts, for the others' part as well") {
  Placement placement({16, PlacementRule::LongestPrefix});
  auto one = server("s1");
  one.slots = 4;
  Instant now{100s};
  std::vector<Ticket> tickets;
  const auto send = [&] {
    const auto placed = placement.place(requestFor("rules:64"), now);
    if (placed) tickets.push_back(placed->ticket);
    return placed.has_value();
  };
  placement.setServers({one});
  REQUIRE(send());
  now += 100ms;
  // A poll that counted four requests: one of this daemon and three of others.
  one.running = 4;
  one.polledAt = now;
  placement.setServers({one});
  now += 10ms;
  CHECK(send());  // at load 1; one new request is extrapolated to four, so the server is full
  CHECK_FALSE(send());
  // As many requests have ended here as were sent since the poll. The same is assumed of other
  // daemons.
  placement.release(tickets[0], true, now);
  CHECK(send());
  // The next poll reports the actual load.
  now += 100ms;
  one.polledAt = now;
  placement.setServers({one});
  CHECK(send());
}

TEST_CASE("placement: a ticket of a server that left the list is void when the name comes back") {
  Placement placement({16, PlacementRule::LongestPrefix});
  placement.setServers({server("s1")});
  const auto before = placement.place(requestFor("rules:64,old:64"));
  REQUIRE(before);
  placement.setServers({});
  placement.setServers({server("s1")});
  const auto after = placement.place(requestFor("rules:64"));
  REQUIRE(after);
  CHECK(after->matchedTokens == 0);
  placement.release(before->ticket, true);  // of a tree that no longer exists
  placement.release(after->ticket, true);
  CHECK(placement.ticketCount() == 0);
  CHECK(placement.indexedBlocks(ServerName{"s1"}) == 5);
}
