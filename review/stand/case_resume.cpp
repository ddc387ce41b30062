// ORDER: a server breaks a stream off behind its first event, whose id is 0. The client takes the
// stream up with Last-Event-Id: 0, and gets that event again. TROUBLE=0: no server breaks off.
#include "stand.h"

using namespace stand;

namespace {
constexpr int kEvents = 6;
std::mutex mutex;
bool breakNext = false;
std::vector<std::string> resumedWith;

bool stream(ModelServer& server, const Message& request, Conn& conn) {
  const std::string id = request.header("quayrill-request-id");
  const auto last = request.headers.find("last-event-id");
  const std::string told = last == request.headers.end() ? "none" : last->second;
  bool breaks = false;
  {
    std::lock_guard lock(mutex);
    breaks = std::exchange(breakNext, false);
    resumedWith.push_back(told);
  }
  record().line("server %s: runs %s, Last-Event-Id %s", server.id.c_str(), id.c_str(),
                told.c_str());
  conn.send(server.head(request) +
            "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
  const int first = last == request.headers.end() ? 0 : std::atoi(told.c_str()) + 1;
  for (int event = first; event < kEvents; ++event) {
    conn.send(chunk("id: " + std::to_string(event) + "\ndata: piece " + std::to_string(event) +
                    "\n\n"));
    sleepFor(0.005);
    if (!breaks) continue;
    record().line("server %s: breaks %s off behind event %d", server.id.c_str(), id.c_str(), event);
    conn.reset();
    return false;
  }
  return conn.send("0\r\n\r\n");
}

std::vector<int> idsOf(const std::string& body) {
  std::vector<int> ids;
  for (std::size_t at = 0; (at = body.find("id: ", at)) != std::string::npos; at += 4)
    ids.push_back(std::atoi(body.c_str() + at + 4));
  return ids;
}
}  // namespace

int main(int argc, char** argv) {
  if (!begin(argc, argv, 60)) return kCouldNotRun;
  Deployment all;
  if (!all.prepare(argv[1], 4, 2, 2)) return finish(all, kCouldNotRun, "no free ports or no build");
  for (auto& server : all.servers)
    if (!server->start(stream)) return finish(all, kCouldNotRun, "a server can't listen");
  all.startAll();
  const Json routes = Json::array({route("r-price", "/price/", "stream", 5000, 1, true)});
  const Json tenants = Json::array({tenant("kaje80", "key-one", false)});
  if (!all.acknowledge(configOf(5, routes, tenants), 0, 20) || !all.waitReady(20))
    return finish(all, kCouldNotRun, "the deployment did not come up");
  sleepFor(1);
  // Calm traffic first: one answer broken off is 1 in 50 of the server's then (x 0.02).
  const auto send = [&](const std::string& more, std::string* body) {
    const std::string id = freshId();
    Conn conn(connectTo(all.machine("edge-1").ip, all.http));
    record().line("client: sends %s %s", id.c_str(), more.substr(0, more.find('\r')).c_str());
    conn.send(requestText("/price/x", id, "key-one", "5c1e07a2:6300,aa00aa00:2890", 5000, more));
    const Message answer = readMessage(conn, now() + 5, true);
    *body += answer.body;
    std::string ids;
    for (const int event : idsOf(answer.body)) ids += " " + std::to_string(event);
    record().line("client: %s: status %d, %s, events%s", id.c_str(), answer.status(),
                  answer.whole ? "whole" : answer.why.c_str(), ids.c_str());
    return answer;
  };
  std::string body;
  for (int i = 0; i < 49; ++i) {
    if (!send("", &body).whole) return finish(all, kCouldNotRun, "calm traffic is not served");
  }
  body.clear();
  {
    std::lock_guard lock(mutex);
    breakNext = hasTrouble();
  }
  Message answer = send("", &body);
  if (!answer.whole && answer.status() == 200) {
    const std::vector<int> ids = idsOf(body);
    if (ids.empty()) return finish(all, kCouldNotRun, "no event came before the cut");
    sleepFor(0.3);
    answer = send("Last-Event-Id: " + std::to_string(ids.back()) + "\r\n", &body);
  }
  if (!answer.whole || answer.status() != 200)
    return finish(all, kCouldNotRun, "the stream did not end");
  const std::vector<int> ids = idsOf(body);
  std::vector<int> wanted;
  for (int event = 0; event < kEvents; ++event) wanted.push_back(event);
  std::string seen;
  for (const int event : ids) seen += " " + std::to_string(event);
  record().line("client: the stream's pieces over both tries:%s", seen.c_str());
  if (ids != wanted) return finish(all, kBroken, "ORDER: the pieces of the stream are" + seen);
  return finish(all, kHeld, "each piece came once");
}
