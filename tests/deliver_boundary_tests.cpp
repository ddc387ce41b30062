// A delivery against a server that is split, cut off, reset or garbled at every byte boundary of
// its answers.
#include "boundary.h"
#include "deliver_stage.h"

using namespace quayrill;
using namespace quayrill::tests;

namespace {
std::string piece(int number) { return "{\"piece\":" + std::to_string(number) + "}\n"; }
const std::string kPieces = piece(0) + piece(1);
const std::string kMark = "{\"end\":true,\"pieces\":2}\n";

std::string headFor(const std::string& status, const std::string& more) {
  return "HTTP/1.1 " + status + "\r\nQuayrill-Request-Id: r1\r\nQuayrill-Weights: w1\r\n" + more +
         "\r\n";
}

struct Scripted {
  const char* name;
  std::string bytes;
  bool isSuccess, hasRun;
  bool closes = false;
};

std::vector<Scripted> answers() {
  const std::string all = kPieces + kMark;
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

// One thread: server, delivery and caller take turns, so what was sent has been read a few turns
// later.
awaitable<void> aFewTurns() {
  for (int i = 0; i < 8; ++i)
    co_await asio::post(co_await asio::this_coro::executor, use_awaitable);
}

awaitable<void> serve(Tcp::acceptor& acceptor, const Scripted& script, std::size_t cut,
                      Break breaks) {
  ErrorCode code;
  Tcp::socket socket(acceptor.get_executor());
  co_await acceptor.async_accept(socket, into(code));
  std::string request;
  co_await asio::async_read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n{}", into(code));
  co_await asio::async_write(socket, asio::buffer(script.bytes.data(), cut), into(code));
  co_await aFewTurns();
  const std::string rest = breaks == Break::Garbles ? kGarbage : script.bytes.substr(cut);
  if (breaks == Break::Resets) {
    socket.set_option(asio::socket_base::linger(true, 0), code);
    co_return;
  }
  if (breaks == Break::Closes) co_return;
  co_await asio::async_write(socket, asio::buffer(rest), into(code));
  if (breaks == Break::Garbles || script.closes) co_return;
  char byte = 0;
  co_await asio::async_read(socket, asio::buffer(&byte, 1), into(code));
}

struct Played {
  DeliveryResult result;
  ReadAnswer seen;
};

Played play(asio::io_context& io, Tcp::acceptor& server, const Scripted& script, std::size_t cut,
            Break breaks) {
  Played played;
  std::string bytes;
  CallerConnection caller(io);
  Delivery delivery = deliveryTo(server, "{}", 20s);
  asio::co_spawn(io, serve(server, script, cut, breaks), asio::detached);
  asio::async_read(caller.far, asio::dynamic_buffer(bytes), [](const ErrorCode&, std::size_t) {});
  asio::co_spawn(
      io,
      [&]() -> awaitable<void> {
        const std::function<bool()> mayStart = [] { return true; };
        played.result = co_await deliver(std::move(delivery), caller.near, mayStart);
        caller.near.close();
      },
      asio::detached);
  io.run();
  io.restart();
  played.seen = readAnswer(bytes, "Quayrill-Request-Id", "Quayrill-Weights");
  return played;
}

void judge(const Scripted& script, std::size_t cut, Break breaks, const Played& played) {
  const auto fails = [&](const std::string& why) {
    FAIL_CHECK(script.name << ", " << breakName(breaks) << " at " << cut << ": " << why << " ("
                           << deliveryOutcomeName(played.result.end) << ", " << played.result.detail
                           << ", body '" << played.seen.body << "')");
  };
  const DeliveryOutcome end = played.result.end;
  const ReadAnswer& seen = played.seen;
  const std::string all = kPieces + kMark;
  const bool isWholeScript = breaks == Break::Not || cut == script.bytes.size();
  if (script.hasRun && (end == DeliveryOutcome::NotRun || end == DeliveryOutcome::NeverSent))
    fails("'not run' was said of what ran");
  if (!script.hasRun && breaks == Break::Not && end != DeliveryOutcome::NotRun)
    fails("'not run' was lost");
  if ((end == DeliveryOutcome::Done) != (seen.isWhole && seen.status == 200))
    fails("its end and what the caller sees differ");
  if (end == DeliveryOutcome::Done && (!script.isSuccess || seen.body != all))
    fails("a cut looks complete");
  // Garbage inside of a body is the server's own bytes; in front of it stands what was sent.
  const std::string own = seen.body.substr(0, seen.body.find(kGarbage[0]));
  if (all.rfind(own, 0) != 0) fails("the caller got other bytes");
  if (!seen.body.empty() && seen.body.back() != '\n') fails("part of a piece");
  if (script.isSuccess && isWholeScript && breaks != Break::Garbles && end != DeliveryOutcome::Done)
    fails("a whole answer did not come through");
  if (seen.surplus > 0) fails("bytes behind the answer");
}
}  // namespace

TEST_CASE("deliver boundary: split, closed, reset or garbled at any byte") {
  asio::io_context io;
  Tcp::acceptor server(io, {asio::ip::make_address("127.0.0.1"), 0});
  int played = 0;
  for (const Break breaks : {Break::Not, Break::Closes, Break::Resets, Break::Garbles}) {
    for (const Scripted& script : answers()) {
      for (std::size_t cut = 0; cut <= script.bytes.size(); ++cut, ++played)
        judge(script, cut, breaks, play(io, server, script, cut, breaks));
    }
  }
  CHECK(played > 2000);
}

TEST_CASE("deliver boundary: answers that are not the request's, and such before it") {
  asio::io_context io;
  Tcp::acceptor server(io, {asio::ip::make_address("127.0.0.1"), 0});
  const Scripted whole = answers()[0];
  Scripted early = whole;
  early.bytes = "HTTP/1.1 103 Hints\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n" + whole.bytes;
  CHECK(play(io, server, early, early.bytes.size(), Break::Not).result.end ==
        DeliveryOutcome::Done);
  Scripted other = whole;
  other.bytes =
      "HTTP/1.1 503 Full\r\nQuayrill-Request-Id: r0\r\nQuayrill-Not-Run: true\r\n"
      "Content-Length: 2\r\n\r\nno";
  CHECK(play(io, server, other, other.bytes.size(), Break::Not).result.end ==
        DeliveryOutcome::Unknown);
}

TEST_CASE("deliver: an answer that comes before the body is in goes back at once") {
  asio::io_context io;
  Tcp::acceptor server(io, {asio::ip::make_address("127.0.0.1"), 0});
  CallerConnection caller(io);
  Delivery delivery = deliveryTo(server, std::string(20 << 20, 'b'), 3s);
  DeliveryResult result;
  bool hasEnded = false;
  std::size_t late = 0;
  asio::co_spawn(
      io,
      [&]() -> awaitable<void> {
        Tcp::socket socket = co_await server.async_accept(use_awaitable);
        std::string head;
        co_await asio::async_read_until(socket, asio::dynamic_buffer(head), "\r\n\r\n",
                                        use_awaitable);
        const std::string answer = answers()[0].bytes;
        co_await asio::async_write(socket, asio::buffer(answer), use_awaitable);
        while (!hasEnded) co_await aFewTurns();
        ErrorCode code;
        std::string rest;
        late = co_await asio::async_read(socket, asio::dynamic_buffer(rest), into(code));
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
  CHECK(result.end == DeliveryOutcome::Done);
  CHECK(late < (20 << 20));
}
