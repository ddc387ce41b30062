// Tests of one delivery against a model server that answers with the bytes of a script.
#include <catch2/catch.hpp>

#include "deliver_stage.h"

using namespace quayrill;
using namespace quayrill::tests;
using namespace std::chrono_literals;

namespace {
struct ScriptRun {
  DeliveryResult result;
  std::string receivedByServer;
  std::string receivedByCaller;
};

std::string chunk(const std::string& bytes) {
  std::ostringstream out;
  out << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
  return out.str();
}
const std::string kHead =
    "HTTP/1.1 200 OK\r\nQuayrill-Request-Id: r1\r\nQuayrill-Weights: w1\r\n"
    "Transfer-Encoding: chunked\r\n\r\n";
std::string endMarkChunk(int pieces) {
  return chunk("{\"end\":true,\"pieces\":" + std::to_string(pieces) + "}\n");
}

awaitable<void> runServer(Tcp::acceptor& acceptor, std::string script, bool keepOpen,
                          ScriptRun* scriptRun) {
  ErrorCode code;
  Tcp::socket socket(acceptor.get_executor());
  co_await acceptor.async_accept(socket, into(code));
  if (code) co_return;
  char block[4096];
  while (scriptRun->receivedByServer.find("{}") == std::string::npos && !code) {
    const std::size_t got = co_await socket.async_read_some(asio::buffer(block), into(code));
    scriptRun->receivedByServer.append(block, got);
  }
  co_await asio::async_write(socket, asio::buffer(script), into(code));
  if (keepOpen) co_await socket.async_read_some(asio::buffer(block), into(code));
}

awaitable<void> readUntilClosed(Tcp::socket& socket, ScriptRun* scriptRun) {
  ErrorCode code;
  char block[4096];
  while (!code) {
    const std::size_t got = co_await socket.async_read_some(asio::buffer(block), into(code));
    scriptRun->receivedByCaller.append(block, got);
  }
}

// How the server behaves, and whether and for how long the delivery may run.
struct Setup {
  std::string script;
  bool keepOpen = false;  // keep the connection open after the script
  bool listening = true;
  bool mayStart = true;
  Duration timeout = 2s;
};

ScriptRun runScript(const Setup& setup) {
  asio::io_context io;
  ScriptRun scriptRun;
  Tcp::acceptor server(io, {asio::ip::make_address("127.0.0.1"), 0});
  CallerConnection caller(io);
  Delivery delivery = deliveryTo(server, "{}", setup.timeout);
  if (setup.listening)
    asio::co_spawn(io, runServer(server, setup.script, setup.keepOpen, &scriptRun), asio::detached);
  else
    server.close();
  asio::co_spawn(io, readUntilClosed(caller.far, &scriptRun), asio::detached);
  asio::co_spawn(
      io,
      [&]() -> awaitable<void> {
        const std::function<bool()> mayStart = [&] { return setup.mayStart; };
        scriptRun.result = co_await deliver(std::move(delivery), caller.near, mayStart);
        caller.near.close();
        ErrorCode ignored;
        if (server.is_open()) server.close(ignored);
      },
      asio::detached);
  io.run();
  return scriptRun;
}

bool looksComplete(const ScriptRun& scriptRun) {
  return scriptRun.receivedByCaller.size() >= 5 &&
         scriptRun.receivedByCaller.compare(scriptRun.receivedByCaller.size() - 5, 5,
                                            "0\r\n\r\n") == 0;
}
}  // namespace

TEST_CASE("deliver: a whole answer passes through and closes with the server's end mark") {
  const auto scriptRun =
      runScript({kHead + chunk("{\"piece\":0}\n") + chunk("{\"piece\":1}\n{\"pie") +
                 chunk("ce\":2}\n") + endMarkChunk(3) + "0\r\n\r\n"});
  CHECK(scriptRun.result.outcome == DeliveryOutcome::Done);
  CHECK(scriptRun.result.pieces == 3);
  CHECK(looksComplete(scriptRun));
  CHECK(scriptRun.receivedByCaller.find("Quayrill-Outcome: done") != std::string::npos);
  CHECK(scriptRun.receivedByServer.find("Quayrill-Weights: w1") != std::string::npos);
}

TEST_CASE("deliver: a cut answer never looks complete") {
  const std::string piece = chunk("{\"piece\":0}\n");
  for (const std::string& script : {
           kHead + piece,                                          // connection lost
           kHead + piece + "0\r\n\r\n",                            // complete body, no end mark
           kHead + piece + endMarkChunk(2) + "0\r\n\r\n",          // end mark with another count
           kHead + piece + endMarkChunk(1),                        // end mark, then lost
           kHead + piece + endMarkChunk(1) + piece + "0\r\n\r\n",  // a piece after the end mark
           kHead + piece + chunk("{\"pie") + "0\r\n\r\n",          // half a line
       }) {
    const auto scriptRun = runScript({script});
    CHECK(scriptRun.result.outcome == DeliveryOutcome::Truncated);
    CHECK_FALSE(looksComplete(scriptRun));
    CHECK(scriptRun.receivedByCaller.find("\"end\"") == std::string::npos);
  }
}

TEST_CASE("deliver: what never left, what did not run, and what nobody knows are told apart") {
  CHECK(runScript({"", false, false}).result.outcome == DeliveryOutcome::NeverSent);
  const auto stopped = runScript({"", false, true, false});
  CHECK(stopped.result.outcome == DeliveryOutcome::NeverSent);
  CHECK(stopped.receivedByServer.empty());
  CHECK(runScript({"HTTP/1.1 503 Busy\r\nQuayrill-Not-Run: true\r\nContent-Length: 2\r\n\r\nno"})
            .result.outcome == DeliveryOutcome::NotRun);
  CHECK(runScript({"HTTP/1.1 503 Busy\r\nContent-Length: 2\r\n\r\nno"}).result.outcome ==
        DeliveryOutcome::Unknown);
  CHECK(runScript({""}).result.outcome == DeliveryOutcome::Unknown);
  CHECK(runScript({"HTTP/1.1 200 OK\r\nContent-Le"}).result.outcome == DeliveryOutcome::Unknown);
  CHECK(runScript({kHead + "0\r\n\r\n"}).result.outcome == DeliveryOutcome::Unknown);
  Setup silent;
  silent.keepOpen = true;
  silent.timeout = 50ms;
  CHECK(runScript(silent).result.outcome == DeliveryOutcome::DeadlineExceeded);
}

TEST_CASE("deliver: an answer that names another request or other weights reaches no caller") {
  for (const std::string& head :
       {std::string("Quayrill-Request-Id: r2\r\nQuayrill-Weights: w1\r\n"),
        std::string("Quayrill-Request-Id: r1\r\nQuayrill-Weights: w0\r\n"), std::string()}) {
    const auto scriptRun =
        runScript({"HTTP/1.1 200 OK\r\n" + head + "Transfer-Encoding: chunked\r\n\r\n" +
                   chunk("{\"piece\":0}\n") + endMarkChunk(1) + "0\r\n\r\n"});
    CHECK(scriptRun.result.outcome == DeliveryOutcome::Unknown);
    CHECK(scriptRun.receivedByCaller.empty());
  }
}
