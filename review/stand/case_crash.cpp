// Fault: an invalid configuration (a route names an unknown service, and its prefix is very long)
// ends each core process that it is sent to. TROUBLE=0: the same configuration with a short prefix.
#include "stand.h"

using namespace stand;

namespace {
constexpr std::size_t kLongPrefix = 40000;  // letters; a body may have 4 MiB
constexpr double kFor = 40;
}  // namespace

int main(int argc, char** argv) {
  if (!begin(argc, argv, 110)) return kCouldNotRun;
  Deployment all;
  if (!all.prepare(argv[1], 4, 2, 2)) return finish(all, kCouldNotRun, "no free ports or no build");
  for (auto& server : all.servers)
    server->start([](ModelServer& one, const Message& request, Conn& conn) {
      return conn.send(one.head(request) +
                       "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" +
                       chunk("id: 1\ndata: token\n\n") + "0\r\n\r\n");
    });
  all.startAll();
  const Json good = route("r-help", "/help/", "stream", 10000, 2, true);
  const Json tenants = Json::array({tenant("kaje80", "key-one", false)});
  if (!all.acknowledge(configOf(5, Json::array({good}), tenants), 0, 20) || !all.waitReady(20))
    return finish(all, kCouldNotRun, "the deployment did not come up");
  sleepFor(4);

  Json wrong = route("r-new", "/" + std::string(hasTrouble() ? kLongPrefix : 60, 'a') + "/",
                     "stream", 10000, 2, true);
  wrong["backend"] = "no-such-service";
  const Json invalid = configOf(7, Json::array({good, wrong}), tenants);
  record().line("operator: an invalid configuration of %zu bytes", invalid.dump().size());

  std::vector<Machine*> cores;
  for (auto& one : all.machines)
    if (one->isCore) cores.push_back(one.get());
  std::map<Machine*, double> startAgainAt;
  std::atomic<bool> answered{false}, stop{false};
  std::atomic<int> asked{0}, status{0};
  // The operator: on to another daemon after a failure or a second of silence (two for this body),
  // with a pause that grows; a 4xx ends the call.
  std::thread operators([&] {
    double pause = 0.2;
    for (std::size_t turn = 0; !stop && !answered; ++turn) {
      Machine& core = *cores[turn % cores.size()];
      ++asked;
      const Message answer = all.putConfig(core.ip, invalid, 5, 2);
      record().line("operator: PUT /config gen 7 to %s: %s", core.name.c_str(),
                    answer.whole ? answer.start.c_str() : answer.why.c_str());
      if (answer.whole && answer.status() / 100 == 4) {
        status = answer.status();
        answered = true;
      }
      sleepFor(pause);
      pause = std::min(2.0, pause * 1.3);
    }
  });
  // Clients, all the while.
  std::atomic<int> served{0}, unserved{0};
  std::thread clients([&] {
    while (!stop) {
      const std::string id = freshId();
      Machine& edge = all.machine("edge-1");
      Conn conn(connectTo(edge.ip, all.http));
      conn.send(requestText("/help/x", id, "key-one", "5c1e07a2:350,aa00aa00:1110", 2000));
      const Message answer = readMessage(conn, now() + 2, true);
      if (answer.whole && answer.status() == 200) {
        ++served;
      } else {
        ++unserved;
        record().line("client: %s is answered %d", id.c_str(), answer.status());
      }
      sleepFor(0.2);
    }
  });
  // The platform starts a process that ends again after a short delay.
  const double until = now() + (hasTrouble() ? kFor : 15);
  while (now() < until) {
    for (Machine* core : cores) {
      const std::string how = all.ended(*core);
      if (!how.empty()) {
        core->ends.push_back(how);
        startAgainAt[core] = now() + 1;
      }
      if (core->pid < 0 && now() >= startAgainAt[core]) all.start(*core);
    }
    sleepFor(0.02);
  }
  stop = true;
  operators.join();
  clients.join();
  std::size_t thrice = 0, ends = 0;
  for (Machine* core : cores) {
    record().line("%s: its process ended by itself %zu times", core->name.c_str(),
                  core->ends.size());
    ends += core->ends.size();
    thrice += core->ends.size() >= 3 ? 1 : 0;
  }
  record().line("requests of clients meanwhile: %d served, %d not", served.load(), unserved.load());
  if (2 * thrice >= cores.size())
    return finish(all, kBroken,
                  "Fault: on " + std::to_string(thrice) + " of " + std::to_string(cores.size()) +
                      " core machines the process ended by itself three times or more (" +
                      std::to_string(ends) + " ends)");
  if (!answered) return finish(all, kCouldNotRun, "no clear answer, and no crash");
  return finish(all, kHeld, "the configuration was refused with " + std::to_string(status.load()));
}
