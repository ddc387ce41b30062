// WALL: a configuration makes a tenant isolated. What a server keeps of this tenant's prompts is
// used by another tenant afterwards. TROUBLE=0: the tenant is isolated from the first configuration
// on, all else is the same.
#include "stand.h"

using namespace stand;

namespace {
// The server's kept parts: (salt, model, all parts up to and with this one) -> tenant that made it.
struct Kept {
  std::string tenant, request;
};
std::mutex mutex;
std::map<std::string, Kept> kept;
struct Use {
  std::string id, tenant, maker, part;
  double at;
};
std::vector<Use> uses;
std::set<std::string> ran;

std::vector<std::string> partsOf(const std::string& header) {
  std::vector<std::string> parts;
  std::istringstream split(header);
  for (std::string part; std::getline(split, part, ',');) parts.push_back(part);
  return parts;
}

// As the page says: a part that is kept for the same model and text is not read again if all parts
// before it are kept too; what is read is kept.
bool runWithMemory(ModelServer& server, const Message& request, Conn& conn) {
  const std::string id = request.header("quayrill-request-id");
  const std::string tenant = request.header("quayrill-tenant");
  const std::string salt = request.header("quayrill-cache-salt");
  {
    std::lock_guard lock(mutex);
    ran.insert(id);
    record().line("server %s: runs %s, Quayrill-Tenant %s, Quayrill-Cache-Salt '%s'",
                  server.id.c_str(), id.c_str(), tenant.c_str(), salt.c_str());
    std::string path = server.id + "|" + salt + "|" + request.header("quayrill-model");
    bool all = true;
    for (const std::string& part : partsOf(request.header("quayrill-prompt-prefix"))) {
      path += "|" + part;
      const auto row = kept.find(path);
      all = all && row != kept.end();
      if (!all) {
        kept[path] = {tenant, id};
        record().line("server %s: reads part %s for %s", server.id.c_str(), part.c_str(),
                      tenant.c_str());
        continue;
      }
      uses.push_back({id, tenant, row->second.tenant, part, now()});
      record().line("server %s: part %s is kept, made by a request of %s (%s)", server.id.c_str(),
                    part.c_str(), row->second.tenant.c_str(), row->second.request.c_str());
    }
  }
  return conn.send(server.head(request) +
                   "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" +
                   chunk("id: 1\ndata: token\n\n") + "0\r\n\r\n");
}
}  // namespace

int main(int argc, char** argv) {
  if (!begin(argc, argv, 80)) return kCouldNotRun;
  Deployment all;
  if (!all.prepare(argv[1], 4, 2, 2)) return finish(all, kCouldNotRun, "no free ports or no build");
  for (auto& server : all.servers)
    if (!server->start(runWithMemory)) return finish(all, kCouldNotRun, "a server can't listen");
  all.startAll();
  const Json routes = Json::array({route("r-audit", "/audit/", "stream", 8000, 2, true)});
  const auto configured = [&](std::uint64_t gen, bool isolated) {
    return configOf(gen, routes,
                    Json::array({tenant("kaje80", "key-one", isolated),
                                 tenant("moro17", "key-two", false)}));
  };
  if (!all.acknowledge(configured(5, !hasTrouble()), 0, 20) || !all.waitReady(20))
    return finish(all, kCouldNotRun, "the deployment did not come up");
  sleepFor(2.5);
  const auto send = [&](const std::string& edge, const std::string& key, const std::string& own) {
    const std::string id = freshId();
    Conn conn(connectTo(all.machine(edge).ip, all.http));
    record().line("client: sends %s with %s to %s", id.c_str(), key.c_str(), edge.c_str());
    conn.send(requestText("/audit/x", id, key, "5c1e07a2:800,91bd3f06:400," + own + ":250", 8000));
    const Message answer = readMessage(conn, now() + 8, true);
    record().line("client: %s is answered %d", id.c_str(), answer.status());
    return answer.whole && answer.status() == 200;
  };
  bool fine = true;
  // The first tenant's prompts, at both edges.
  for (int i = 0; i < 4; ++i)
    fine = fine && send(i % 2 ? "edge-1" : "edge-2", "key-one", "a000000" + std::to_string(i));
  if (!fine) return finish(all, kCouldNotRun, "requests failed before the change");
  if (hasTrouble() && !all.acknowledge(configured(7, true), 5, 10))
    return finish(all, kCouldNotRun, "the change was not acknowledged");
  const double ackedAt = now();
  sleepFor(5);  // applyMs is 2 s
  for (int i = 0; i < 4; ++i)
    fine = fine && send(i % 2 ? "edge-1" : "edge-2", "key-two", "b000000" + std::to_string(i));
  fine = fine && send("edge-1", "key-one", "a0000009");
  if (!fine) return finish(all, kCouldNotRun, "requests failed after the change");

  std::lock_guard lock(mutex);
  int broken = 0;
  for (const Use& use : uses)
    broken += use.tenant != use.maker && use.at > ackedAt + 2 ? 1 : 0;
  if (broken > 0)
    return finish(all, kBroken,
                  "WALL: " + std::to_string(broken) +
                      " parts made by requests of the isolated tenant were used by another tenant, "
                      "over applyMs after the acknowledgement");
  return finish(all, kHeld, "no part went from one tenant to the other");
}
