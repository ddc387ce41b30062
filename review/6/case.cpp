// A tenant turns isolated while a request of another tenant waits its turn at a server, for under 3 s. WALL is broken
// if that request, which begins to run later than applyMs after the acknowledgement, uses memory that a request of the
// isolated tenant made. With TROUBLE=0 the tenant does not turn isolated.
#include <condition_variable>
#include <cstdio>
#include <set>

#include "stand.h"

using namespace stand;

namespace {
constexpr int kSlots = 4;
constexpr double kApplySeconds = 2.0;
constexpr int kRounds = 5;

std::mutex mutex;
std::condition_variable freed;
int running = 0;
// What the server keeps: the text and the part's id, and whose request made it.
std::map<std::pair<std::string, std::string>, std::string> kept;
// Tenant, and since when it is isolated by an acknowledged configuration.
std::map<std::string, double> isolatedSince;
int crossings = 0;
std::set<std::string> begun;

std::vector<std::string> partsOf(const std::string& prefix) {
  std::vector<std::string> parts;
  for (std::size_t at = 0; at < prefix.size();) {
    const std::size_t end = std::min(prefix.find(',', at), prefix.size());
    parts.push_back(prefix.substr(at, prefix.find(':', at) - at));
    at = end + 1;
  }
  return parts;
}

// The request begins to run: parts that are kept under its text are used as long as all before them are, the others
// are read and kept. Called with the mutex held.
void begin(const Message& request) {
  const std::string tenant = request.header("quayrill-tenant"), salt = request.header("quayrill-cache-salt");
  const std::string id = request.header("quayrill-request-id");
  begun.insert(id);
  bool allKept = true;
  for (const std::string& part : partsOf(request.header("quayrill-prompt-prefix"))) {
    const auto [row, isNew] = kept.try_emplace({salt, part}, tenant);
    allKept = allKept && !isNew;
    if (!allKept || row->second == tenant) continue;
    for (const std::string& side : {row->second, tenant}) {
      const auto since = isolatedSince.find(side);
      if (since == isolatedSince.end() || now() <= since->second + kApplySeconds) continue;
      char late[64];
      std::snprintf(late, sizeof late, "%.2f", now() - since->second);
      record().line("WALL: request " + id + " of " + tenant + " uses part " + part + " under '" + salt +
                    "', made by a request of " + row->second + "; " + side + " is isolated since " + late + " s");
      ++crossings;
    }
  }
}

// Works on kSlots requests at once; others wait in order.
bool serveInSlots(ModelServer& server, const Message& request, Socket& socket) {
  {
    std::unique_lock lock(mutex);
    freed.wait(lock, [] { return running < kSlots; });
    ++running;
    begin(request);
  }
  const bool isKept = server.serve(request, socket);
  {
    const std::lock_guard lock(mutex);
    --running;
  }
  freed.notify_one();
  return isKept;
}

struct Call {
  std::string id = newId();
  Socket socket;
  Call(Fleet& fleet, const std::string& key, const std::string& prefix) {
    socket = connectTo(fleet.callers(fleet.edges[0]));
    RequestOptions options;
    options.key = key;
    std::string text = requestText("/once/stream", id, options);
    const std::string own = "5c1e07a2:800,91bd3f06:410,e4402b7d:250";
    text.replace(text.find(own), own.size(), prefix);
    socket.send(text);
    record().line("client sends " + id + " with key " + key + ", prefix " + prefix);
  }
  int answer() {
    const Message got = readMessage(socket, 8);
    record().line("answer to " + id + ": " + std::to_string(got.status()) + (got.isWhole ? ", whole" : ", not whole"));
    return got.isWhole ? got.status() : 0;
  }
};
}  // namespace

int main(int, char** argv) {
  openRecord(argv[1]);
  Fleet fleet(3, 1);
  ModelServer& server = fleet.addServer("i-1");
  server.handler = serveInSlots;
  server.eventGap = 0.05;
  fleet.start();
  Json config = fleet.config(1);
  config["tenants"].push_back({{"name", "tc"}, {"apiKeys", {"kc"}}, {"prio", 1}, {"isolated", false}});
  if (fleet.call("PUT", "/config", config, 0, 20) != 200 || !fleet.waitReady(20)) return 2;
  std::uint64_t gen = 1;
  const auto setIsolated = [&](bool isIsolated) {
    Json tenant = config["tenants"][0];
    tenant["isolated"] = isIsolated;
    const Json change{{"gen", gen + 1}, {"upsert", {{"tenants", Json::array({tenant})}}}};
    if (fleet.call("PATCH", "/config", change, gen, 5) != 200) return false;
    ++gen;
    const std::lock_guard lock(mutex);
    if (isIsolated)
      isolatedSince["ta"] = now();
    else
      isolatedSince.erase("ta");
    record().line(std::string("acknowledged: tenant ta is ") + (isIsolated ? "isolated" : "not isolated"));
    return true;
  };
  int waited = 0;
  for (int round = 0; round < kRounds; ++round) {
    pause(3);  // the configuration is in force
    char shared[24];
    std::snprintf(shared, sizeof shared, "5c1e%04x:800", round);
    server.events = 5;
    Call first(fleet, "ka", std::string(shared) + ",aa01:200");
    if (first.answer() != 200) return 2;
    server.events = 58;  // 2.9 s
    std::vector<std::unique_ptr<Call>> long_;
    for (int i = 0; i < kSlots; ++i)
      long_.push_back(std::make_unique<Call>(fleet, "kc", "77" + std::to_string(round) + std::to_string(i) + ":100"));
    pause(0.15);
    server.events = 5;
    Call waiting(fleet, "kb", std::string(shared) + ",bb01:200");
    pause(0.1);
    if (isTroubled() && !setIsolated(true)) return 2;
    {
      const std::lock_guard lock(mutex);
      waited += begun.contains(waiting.id) ? 0 : 1;  // still waits when the change is acknowledged
    }
    waiting.answer();
    for (auto& call : long_) call->answer();
    if (isTroubled() && !setIsolated(false)) return 2;
  }
  record().line(std::to_string(waited) + " of " + std::to_string(kRounds) + " requests waited across the change, " +
                std::to_string(crossings) + " uses across the wall");
  if (waited == 0) return 2;
  record().line(crossings > 0 ? "WALL is broken" : "WALL held");
  return crossings > 0 ? 1 : 0;
}
