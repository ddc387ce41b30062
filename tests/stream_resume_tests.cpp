// Tests of streams that are taken up again, by the caller or inside one answer.
#include "relay_stage.h"

using namespace quayrill;
using namespace quayrill::tests;

namespace {
// The ids of the events in an answer, joined.
std::string eventIds(const std::string& answer) {
  std::string ids;
  for (std::size_t at = answer.find("id: "); at != std::string::npos;
       at = answer.find("id: ", at + 1))
    ids += answer[at + 4];
  return ids;
}

// The answer of a server that numbers its events from 0 to 2: those after the caller's last one.
Reply eventsAfterLast(const std::string& request) {
  const std::string last = headerIn(request, "Last-Event-Id");
  std::vector<std::string> events;
  for (int id = last.empty() ? 0 : std::stoi(last) + 1; id <= 2; ++id) events.push_back(event(id));
  return Reply{streamHead(request) + chunked(events)};
}
}  // namespace

// Guards against: a caller that resumes behind event 0 gets the stream from its beginning.
TEST_CASE("resume: a caller's last event may have the id 0") {
  RelayStage stage(1);
  stage.setScript([](int, const std::string& request) { return eventsAfterLast(request); });
  const std::string answer = stage.post("/again/", "r1", "X-Key: key\r\nLast-Event-Id: 0\r\n");
  CHECK(headerIn(stage.servers[0]->received().at(0), "Last-Event-Id") == "0");
  CHECK(eventIds(answer) == "12");
  CHECK(endsWhole(answer));
}

// Guards against: the same inside one answer, and an event that the caller has is sent again.
TEST_CASE("resume: a stream cut behind event 0 goes on at another server") {
  RelayStage stage(2);
  std::atomic<int> served{0};
  stage.setScript([&](int, const std::string& request) {
    if (++served > 1) return eventsAfterLast(request);
    return Reply{streamHead(request) + chunked({event(0)}, false), true};
  });
  const std::string answer = stage.post("/again/", "r1");
  CHECK(eventIds(answer) == "012");
  CHECK(endsWhole(answer));
  // A server that begins anew all the same.
  stage.setScript([](int, const std::string& request) {
    return Reply{streamHead(request) + chunked({event(0), event(1), event(2)})};
  });
  CHECK(eventIds(stage.post("/again/", "r2", "X-Key: key\r\nLast-Event-Id: 0\r\n")) == "12");
}

// Guards against: a last event id that is no number, or too large, is dropped on its way.
TEST_CASE("resume: a last event id that is no number reaches the server as it is") {
  RelayStage stage(1);
  for (const std::string& id : {std::string("a-7"), std::string("99999999999999999999999")}) {
    stage.post("/again/", "r" + id, "X-Key: key\r\nLast-Event-Id: " + id + "\r\n");
    CHECK(headerIn(stage.servers[0]->received().back(), "Last-Event-Id") == id);
  }
  stage.post("/again/", "fresh");
  CHECK(headerIn(stage.servers[0]->received().back(), "Last-Event-Id").empty());
}
