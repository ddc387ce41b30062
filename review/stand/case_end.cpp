// CONFIG (no final answer at the route's deadlineMs): some servers break answers off behind their
// last event. The daemon takes such a stream up at another server, which has nothing left to send
// and says so: 200 with Content-Length: 0. The client never gets the end of its stream.
// TROUBLE=0: no server breaks off.
#include "stand.h"

using namespace stand;

namespace {
constexpr int kEvents = 5;
constexpr int kServers = 5, kTroubled = 3;  // garble: share 0.6
constexpr double kFor = 6.0;                // s, the longest of the pages
constexpr double kEvery = 0.008;            // s between requests: 125 a second, as the site has
constexpr int kDeadlineMs = 4000, kTargetMs = 1000, kGapMs = 600;
constexpr int kBreakEvery = 34;             // of the answers of these servers: x is 0.0294
std::mutex mutex;
int answersOfTroubled = 0, brokenOff = 0, resumed = 0;

bool stream(ModelServer& server, const Message& request, Conn& conn) {
  const std::string id = request.header("quayrill-request-id");
  const auto last = request.headers.find("last-event-id");
  const int first = last == request.headers.end() ? 1 : std::atoi(last->second.c_str()) + 1;
  record().line("server %s: runs %s, Last-Event-Id %s", server.id.c_str(), id.c_str(),
                last == request.headers.end() ? "none" : last->second.c_str());
  if (first > kEvents) {
    {
      std::lock_guard lock(mutex);
      ++resumed;
    }
    record().line("server %s: %s has no event left: 200, Content-Length: 0", server.id.c_str(),
                  id.c_str());
    return conn.send(server.head(request) +
                     "Content-Type: text/event-stream\r\nContent-Length: 0\r\n\r\n");
  }
  bool breaks = false;
  if (hasTrouble() && server.id[2] - '0' <= kTroubled) {
    std::lock_guard lock(mutex);
    breaks = ++answersOfTroubled % kBreakEvery == 0;
    brokenOff += breaks ? 1 : 0;
  }
  if (!conn.send(server.head(request) +
                 "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"))
    return false;
  for (int event = first; event <= kEvents; ++event) {
    if (!conn.send(chunk("id: " + std::to_string(event) + "\ndata: token\n\n"))) return false;
    sleepFor(0.02);
  }
  if (breaks) {
    record().line("server %s: breaks %s off behind event %d", server.id.c_str(), id.c_str(),
                  kEvents);
    return false;  // the connection is closed before the last chunk
  }
  return conn.send("0\r\n\r\n");
}
}  // namespace

int main(int argc, char** argv) {
  if (!begin(argc, argv, 110)) return kCouldNotRun;
  Deployment all;
  if (!all.prepare(argv[1], 4, 2, kServers)) return finish(all, kCouldNotRun, "no free ports or no build");
  for (auto& server : all.servers)
    if (!server->start(stream)) return finish(all, kCouldNotRun, "a server can't listen");
  all.startAll();
  Json one = route("r-price", "/price/", "stream", kDeadlineMs, 2, true);
  one["targetMs"] = kTargetMs;
  one["gapTargetMs"] = kGapMs;
  const Json tenants = Json::array({tenant("kaje80", "key-one", false)});
  if (!all.acknowledge(configOf(5, Json::array({one}), tenants), 0, 20) || !all.waitReady(20))
    return finish(all, kCouldNotRun, "the deployment did not come up");
  sleepFor(14);  // calm: contactMs is 3 s, and the daemons' budget of further tries opens after 10 s

  // A client gives a stream up after this silence: 2 s, 4 x the aim or 8 x the pause.
  constexpr double kSilence = std::max({2.0, 4 * kTargetMs / 1000.0, 8 * kGapMs / 1000.0});
  std::atomic<int> requests{0}, served{0}, refused{0}, cut{0}, pastDeadline{0}, noFinalAnswer{0};
  const auto client = [&](int n) {
    const std::string id = freshId();
    Conn conn(connectTo(all.machine(n % 2 ? "edge-1" : "edge-2").ip, all.http));
    const double sent = now();
    double lastPiece = sent;
    std::size_t pieces = 0;
    char part[32];
    std::snprintf(part, sizeof part, "5c1e%04x:6300,", n % 150);
    conn.send(requestText("/price/x", id, "key-one", part + id.substr(0, 8) + ":2890", 10000));
    const Message answer = readMessage(conn, sent + kSilence + 0.1, true, [&](const std::string&) {
      lastPiece = now();
      ++pieces;
    });
    const double took = now() - sent;
    ++requests;
    if (answer.whole && answer.status() == 200)
      ++served;
    else if (answer.whole)
      ++refused;
    else if (answer.why != "silence")
      ++cut;
    if (took > kDeadlineMs / 1000.0) ++pastDeadline;
    if (!answer.whole && answer.why == "silence" && took > kDeadlineMs / 1000.0 + 0.5)
      ++noFinalAnswer;
    if (!answer.whole || answer.status() != 200)
      record().line("client: %s after %.3f s: status %d, %zu pieces (the last after %.3f s), %s",
                    id.c_str(), took, answer.status(), pieces, lastPiece - sent,
                    answer.whole ? "whole" : answer.why.c_str());
  };
  std::vector<std::thread> clients;
  const double begun = now();
  for (int n = 0; now() < begun + kFor; ++n) {
    clients.emplace_back(client, n);
    sleepFor(begun + (n + 1) * kEvery - now());
  }
  for (auto& one : clients) one.join();
  record().line(
      "%d requests: %d served, %d refused, %d cut; %d answers broken off, %d streams taken up with "
      "nothing left; %d lasted longer than deadlineMs, %d of them had no final answer 0.5 s later",
      requests.load(), served.load(), refused.load(), cut.load(), brokenOff, resumed,
      pastDeadline.load(), noFinalAnswer.load());
  if (noFinalAnswer >= 8 && 4 * noFinalAnswer > pastDeadline)
    return finish(all, kBroken,
                  "CONFIG: " + std::to_string(noFinalAnswer.load()) + " of " +
                      std::to_string(pastDeadline.load()) +
                      " requests that lasted longer than deadlineMs had no final answer 0.5 s later");
  if (hasTrouble() && resumed < 8)
    return finish(all, kCouldNotRun, "too few streams were taken up");
  return finish(all, kHeld, "every request had its final answer in time");
}
