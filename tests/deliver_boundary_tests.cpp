// Tests of a delivery whose answer is split, cut off, reset or garbled at each byte boundary.
#include "boundary.h"
#include "deliver_stage.h"

using namespace quayrill;
using namespace quayrill::tests;

namespace {
std::string piece(int number) { return "{\"piece\":" + std::to_string(number) + "}\n"; }
const std::string kPieces = piece(0) + piece(1);
const std::string kEndMark = "{\"end\":true,\"pieces\":2}\n";

std::string headFor(const std::string& status, const std::string& more) {
  return "HTTP/1.1 " + status + "\r\nQuayrill-Request-Id: r1\r\nQuayrill-Weights: w1\r\n" + more +
         "\r\n";
}

// The bytes that the server answers with, and what they mean.
struct ScriptedAnswer {
  const char* name;
  std::string bytes;
  bool isSuccess, hasRun;  // a complete answer; the request may have run
  bool closesConnection = false;
};

std::vector<ScriptedAnswer> answers() {
  const std::string all = kPieces + kEndMark;
  const std::string length = "Content-Length: " + std::to_string(all.size()) + "\r\n";
  return {
      {"chunked",
       headFor("200 OK", "Transfer-Encoding: chunked\r\n") +
           chunked({all.substr(0, 17), all.substr(17)}),
       true, true},
      {"no length", headFor("200 OK", "Connection: close\r\n") + all, true, true, true},
      {"with a length", headFor("200 OK", length) + all, true, true},
      {"not run", headFor("503 Full", "Quayrill-Not-Run: true\r\nContent-Length: 2\r\n") + "no",
       false, false},
      {"failure", headFor("500 Bad", "Content-Length: 2\r\n") + "no", false, true},
  };
}

// Yields several times. Server, delivery and caller run on one thread, so everything sent has been
// read afterwards.
awaitable<void> yieldRepeatedly() {
  for (int i = 0; i < 8; ++i)
    co_await asio::post(co_await asio::this_coro::executor, use_awaitable);
}

// Answers one request with `script`, interrupted after `cut` bytes by `fault`.
awaitable<void> serve(Tcp::acceptor& acceptor, const ScriptedAnswer& script, std::size_t cut,
                      Fault fault) {
  ErrorCode code;
  Tcp::socket socket(acceptor.get_executor());
  co_await acceptor.async_accept(socket, into(code));
  std::string request;
  co_await asio::async_read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n{}", into(code));
  co_await asio::async_write(socket, asio::buffer(script.bytes.data(), cut), into(code));
  co_await yieldRepeatedly();
  const std::string rest = fault == Fault::Garbage ? kGarbage : script.bytes.substr(cut);
  if (fault == Fault::Reset) {
    socket.set_option(asio::socket_base::linger(true, 0), code);
    co_return;
  }
  if (fault == Fault::Close) co_return;
  co_await asio::async_write(socket, asio::buffer(rest), into(code));
  if (fault == Fault::Garbage || script.closesConnection) co_return;
  char byte = 0;
  co_await asio::async_read(socket, asio::buffer(&byte, 1), into(code));
}

struct ScriptRun {
  DeliveryResult result;
  ParsedResponse callerAnswer;
};

ScriptRun runScript(asio::io_context& io, Tcp::acceptor& server, const ScriptedAnswer& script,
                    std::size_t cut, Fault fault) {
  ScriptRun scriptRun;
  std::string bytes;
  CallerConnection caller(io);
  Delivery delivery = deliveryTo(server, "{}", 20s);
  asio::co_spawn(io, serve(server, script, cut, fault), asio::detached);
  asio::async_read(caller.far, asio::dynamic_buffer(bytes), [](const ErrorCode&, std::size_t) {});
  asio::co_spawn(
      io,
      [&]() -> awaitable<void> {
        const std::function<bool()> mayStart = [] { return true; };
        scriptRun.result = co_await deliver(std::move(delivery), caller.near, mayStart);
        caller.near.close();
      },
      asio::detached);
  io.run();
  io.restart();
  scriptRun.callerAnswer = parseResponse(bytes, "Quayrill-Request-Id", "Quayrill-Weights");
  return scriptRun;
}

void checkOutcome(const ScriptedAnswer& script, std::size_t cut, Fault fault,
                  const ScriptRun& scriptRun) {
  const auto fail = [&](const std::string& why) {
    FAIL_CHECK(script.name << ", " << faultName(fault) << " at " << cut << ": " << why << " ("
                           << deliveryOutcomeName(scriptRun.result.outcome) << ", "
                           << scriptRun.result.detail << ", body '" << scriptRun.callerAnswer.body
                           << "')");
  };
  const DeliveryOutcome outcome = scriptRun.result.outcome;
  const ParsedResponse& callerAnswer = scriptRun.callerAnswer;
  const std::string all = kPieces + kEndMark;
  const bool isWholeScript = fault == Fault::None || cut == script.bytes.size();
  if (script.hasRun &&
      (outcome == DeliveryOutcome::NotRun || outcome == DeliveryOutcome::NeverSent))
    fail("a request that ran was reported as not run");
  if (!script.hasRun && fault == Fault::None && outcome != DeliveryOutcome::NotRun)
    fail("the server's 'not run' was not reported");
  if ((outcome == DeliveryOutcome::Done) != (callerAnswer.isWhole && callerAnswer.status == 200))
    fail("the outcome differs from what the caller sees");
  if (outcome == DeliveryOutcome::Done && (!script.isSuccess || callerAnswer.body != all))
    fail("a truncated answer looks complete");
  // Garbage within the body counts as the server's bytes; only the part before it must match.
  const std::string own = callerAnswer.body.substr(0, callerAnswer.body.find(kGarbage[0]));
  if (all.rfind(own, 0) != 0) fail("the caller got other bytes");
  if (!callerAnswer.body.empty() && callerAnswer.body.back() != '\n')
    fail("the caller got part of a piece");
  if (script.isSuccess && isWholeScript && fault != Fault::Garbage &&
      outcome != DeliveryOutcome::Done)
    fail("a complete answer was not passed on");
  if (callerAnswer.surplus > 0) fail("the caller got bytes after the answer");
}
}  // namespace

TEST_CASE("deliver boundary: split, closed, reset or garbled at any byte") {
  asio::io_context io;
  Tcp::acceptor server(io, {asio::ip::make_address("127.0.0.1"), 0});
  int runCount = 0;
  for (const Fault fault : {Fault::None, Fault::Close, Fault::Reset, Fault::Garbage}) {
    for (const ScriptedAnswer& script : answers()) {
      for (std::size_t cut = 0; cut <= script.bytes.size(); ++cut, ++runCount)
        checkOutcome(script, cut, fault, runScript(io, server, script, cut, fault));
    }
  }
  CHECK(runCount > 2000);
}

TEST_CASE("deliver boundary: answers that are not the request's, and such before it") {
  asio::io_context io;
  Tcp::acceptor server(io, {asio::ip::make_address("127.0.0.1"), 0});
  const ScriptedAnswer whole = answers()[0];
  ScriptedAnswer early = whole;
  early.bytes = "HTTP/1.1 103 Hints\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n" + whole.bytes;
  CHECK(runScript(io, server, early, early.bytes.size(), Fault::None).result.outcome ==
        DeliveryOutcome::Done);
  ScriptedAnswer other = whole;
  other.bytes =
      "HTTP/1.1 503 Full\r\nQuayrill-Request-Id: r0\r\nQuayrill-Not-Run: true\r\n"
      "Content-Length: 2\r\n\r\nno";
  CHECK(runScript(io, server, other, other.bytes.size(), Fault::None).result.outcome ==
        DeliveryOutcome::Unknown);
}

TEST_CASE("deliver: an answer that comes before the body is in goes back at once") {
  asio::io_context io;
  Tcp::acceptor server(io, {asio::ip::make_address("127.0.0.1"), 0});
  CallerConnection caller(io);
  Delivery delivery = deliveryTo(server, std::string(20 << 20, 'b'), 3s);
  DeliveryResult result;
  bool hasEnded = false;
  std::size_t bytesAfterAnswer = 0;
  asio::co_spawn(
      io,
      [&]() -> awaitable<void> {
        Tcp::socket socket = co_await server.async_accept(use_awaitable);
        std::string head;
        co_await asio::async_read_until(socket, asio::dynamic_buffer(head), "\r\n\r\n",
                                        use_awaitable);
        const std::string answer = answers()[0].bytes;
        co_await asio::async_write(socket, asio::buffer(answer), use_awaitable);
        while (!hasEnded) co_await yieldRepeatedly();
        ErrorCode code;
        std::string rest;
        bytesAfterAnswer =
            co_await asio::async_read(socket, asio::dynamic_buffer(rest), into(code));
      },
      asio::detached);
  asio::co_spawn(
      io,
      [&]() -> awaitable<void> {
        const std::function<bool()> mayStart = [] { return true; };
        result = co_await deliver(std::move(delivery), caller.near, mayStart);
        caller.near.close();
        hasEnded = true;
      },
      asio::detached);
  io.run();
  CHECK(result.outcome == DeliveryOutcome::Done);
  CHECK(bytesAfterAnswer < (20 << 20));
}
