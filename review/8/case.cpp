// The operator raises `maxHeaderBytes` by a change that is acknowledged. Clients go on as before, far inside the limit.
// DENIED is broken if more than 5 + one in 500 of the requests end with a 3xx or 4xx of the daemon's own.
#include "stand.h"

using namespace stand;

namespace {
struct Counts {
  int sent = 0, served = 0, denied = 0, other = 0;
};

// Sends `count` requests, 20 a second, each on a connection of its own.
Counts send(Fleet& fleet, int count) {
  Counts counts;
  for (int i = 0; i < count; ++i) {
    const std::string& edge = fleet.edges[static_cast<std::size_t>(i) % fleet.edges.size()];
    const std::string id = newId();
    Socket socket = connectTo(fleet.callers(edge));
    ++counts.sent;
    Message answer;
    if (socket.isOpen() && socket.send(requestText("/safe/price", id))) answer = readMessage(socket, 8);
    const int status = answer.isWhole ? answer.status() : 0;
    const bool isOwn = answer.header("quayrill-served-seal").empty();
    record().line("request " + id + ": " + std::to_string(status));
    const bool isDenied =
        isOwn && status >= 300 && status < 500 && status != 408 && status != 421 && status != 429;
    ++(status == 200 ? counts.served : isDenied ? counts.denied : counts.other);
    pause(0.05);
  }
  record().line("sent " + std::to_string(counts.sent) + ", served " + std::to_string(counts.served) + ", denied " +
                std::to_string(counts.denied) + ", other " + std::to_string(counts.other));
  return counts;
}
}  // namespace

int main(int, char** argv) {
  openRecord(argv[1]);
  Fleet fleet(3, 2);
  fleet.addServer("i-1");
  fleet.addServer("i-2");
  fleet.start();
  if (fleet.call("PUT", "/config", fleet.config(1), 0, 20) != 200 || !fleet.waitReady(20)) return 2;
  if (const Counts before = send(fleet, 40); before.served < 38) return 2;
  const std::uint64_t limit = isTroubled() ? 4294967296 : 65536;
  const Json change{{"gen", 2}, {"upsert", {{"limits", {{"maxHeaderBytes", limit}}}}}};
  record().line("the operator sets maxHeaderBytes to " + std::to_string(limit));
  const int status = fleet.call("PATCH", "/config", change, 1, 10);
  if (status != 200) {
    record().line("the change is not acknowledged: nothing to judge");
    return status >= 400 && status < 500 ? 0 : 2;
  }
  pause(4);  // applyMs is 2 s
  const Counts after = send(fleet, 200);
  const bool isBroken = after.denied > 5 + after.sent / 500;
  record().line(isBroken ? "DENIED is broken" : "DENIED held");
  return isBroken ? 1 : 0;
}
