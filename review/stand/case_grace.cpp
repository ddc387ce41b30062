// LOST: an edge daemon is told by its settings file and SIGHUP that graceS is now 12 instead of 8.
// Later it gets SIGTERM while streams run that end well within 12 s. TROUBLE=0: graceS is 12 from
// the start, all else is the same.
#include "stand.h"

using namespace stand;

namespace {
constexpr double kOldGrace = 8, kNewGrace = 12;
constexpr int kEvents = 36;
constexpr double kPause = 0.25;  // below gapTargetMs (400): a stream takes 9 s
constexpr int kDeadlineMs = 10000;
constexpr int kStreams = 8;

struct Run {
  double reached = 0, ended = 0;
  bool brokenOff = false;  // by whoever sent the request
};
struct Outcome {
  std::string id, end;
  double sent = 0, ended = 0;
  std::size_t events = 0;
  bool whole = false;
  int status = 0;
};
std::mutex mutex;
std::map<std::string, Run> runs;

bool streamSlowly(ModelServer& server, const Message& request, Conn& conn) {
  const std::string id = request.header("quayrill-request-id");
  {
    std::lock_guard lock(mutex);
    runs[id].reached = now();
  }
  record().line("server %s: runs %s", server.id.c_str(), id.c_str());
  conn.send(server.head(request) +
            "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
  bool there = true;
  int event = 1;
  for (; event <= kEvents && there; ++event) {
    there = conn.send(chunk("id: " + std::to_string(event) + "\ndata: token\n\n"));
    const double until = now() + kPause;
    while (there && now() < until) {
      sleepFor(0.01);
      there = conn.isThere();
    }
  }
  if (there) conn.send("0\r\n\r\n");
  std::lock_guard lock(mutex);
  runs[id].ended = now();
  runs[id].brokenOff = !there;
  record().line("server %s: %s %s after %d events", server.id.c_str(), id.c_str(),
                there ? "ended whole" : "lost its connection, the run is dropped,", event - 1);
  return there;
}
}  // namespace

int main(int argc, char** argv) {
  if (!begin(argc, argv, 100)) return kCouldNotRun;
  Deployment all;
  if (!all.prepare(argv[1], 4, 4, 2)) return finish(all, kCouldNotRun, "no free ports or no build");
  for (auto& server : all.servers)
    if (!server->start(streamSlowly)) return finish(all, kCouldNotRun, "a server can't listen");
  all.bounds["graceS"] = std::to_string(static_cast<int>(hasTrouble() ? kOldGrace : kNewGrace));
  all.startAll();
  const Json config =
      configOf(5, Json::array({route("r-help", "/help/", "stream", kDeadlineMs, 2, false)}),
               Json::array({tenant("kaje80", "key-one", false)}));
  if (!all.acknowledge(config, 0, 20) || !all.waitReady(20))
    return finish(all, kCouldNotRun, "the deployment did not come up");
  Machine& edge = all.machine("edge-1");

  if (hasTrouble()) {
    all.bounds["graceS"] = std::to_string(static_cast<int>(kNewGrace));
    all.writeSettings(edge);
    all.signalTo(edge, SIGHUP);
    record().line("platform: graceS is %.0f in the settings file of %s now, SIGHUP", kNewGrace,
                  edge.name.c_str());
  }
  sleepFor(6);  // applyMs is 2 s, contactMs 3 s

  std::vector<Outcome> outcomes(kStreams);
  std::vector<std::thread> clients;
  for (int i = 0; i < kStreams; ++i) {
    Outcome& mine = outcomes[static_cast<std::size_t>(i)];
    clients.emplace_back([&mine, &all, &edge] {
      mine.id = freshId();
      Conn conn(connectTo(edge.ip, all.http));
      mine.sent = now();
      record().line("client: sends %s to %s", mine.id.c_str(), edge.name.c_str());
      conn.send(requestText("/help/me", mine.id, "key-one",
                            "5c1e07a2:350," + mine.id.substr(0, 8) + ":1110", kDeadlineMs));
      const Message answer = readMessage(conn, mine.sent + kDeadlineMs / 1000.0, true,
                                         [&mine](const std::string&) { ++mine.events; });
      mine.ended = now();
      mine.whole = answer.whole;
      mine.status = answer.status();
      mine.end = answer.whole ? "whole" : answer.why;
      record().line("client: %s ends after %.3f s: status %d, %zu pieces, %s", mine.id.c_str(),
                    mine.ended - mine.sent, mine.status, mine.events, mine.end.c_str());
    });
  }
  sleepFor(0.5);
  all.signalTo(edge, SIGTERM);
  const double termAt = now();
  record().line("platform: SIGTERM to %s", edge.name.c_str());
  double goneAt = 0;
  while (now() < termAt + kNewGrace && goneAt == 0) {
    if (!all.ended(edge).empty()) goneAt = now();
    sleepFor(0.01);
  }
  if (goneAt == 0) {
    all.signalTo(edge, SIGKILL);
    record().line("platform: SIGKILL to %s, %.0f s after SIGTERM", edge.name.c_str(), kNewGrace);
  } else {
    record().line("%s was gone %.3f s after SIGTERM", edge.name.c_str(), goneAt - termAt);
  }
  for (auto& client : clients) client.join();

  // LOST as the pages have it (RULES, NEWS-22), for this SIGTERM.
  int lost = 0, served = 0;
  for (const Outcome& one : outcomes) {
    const bool passedOn = runs.contains(one.id) && runs[one.id].reached > 0;
    served += one.whole && one.status == 200 ? 1 : 0;
    const bool atDeadline = one.ended - one.sent >= kDeadlineMs / 1000.0 - 0.05;
    const bool atLastSixth = passedOn && runs[one.id].ended >= termAt + kNewGrace * 5 / 6;
    const bool inWindow = one.ended <= termAt + kNewGrace + 1;
    if (!one.whole && passedOn && runs[one.id].brokenOff && !atDeadline && !atLastSixth && inWindow)
      ++lost;
  }
  record().line("%d of %d streams served whole, %d lost", served, kStreams, lost);
  if (lost > 0)
    return finish(all, kBroken,
                  "LOST: " + std::to_string(lost) + " of " + std::to_string(kStreams) +
                      " streams that were passed on were cut within the grace");
  if (served < kStreams) return finish(all, kCouldNotRun, "streams failed in another way");
  return finish(all, kHeld, "all streams ended whole");
}
