#include "net/peer_link.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include "base/scope_exit.h"
#include "net/body_reader.h"
#include "net/outgoing.h"
#include "net/spawn.h"

namespace quayrill {

using namespace std::chrono_literals;

namespace {
constexpr std::size_t kQueueFrameLimit = 256;
constexpr std::size_t kPeerLimit = 1024;
constexpr std::size_t kConnectionLimit = 2 * kPeerLimit;  // incoming; a new one may precede its end
constexpr std::size_t kReadStep = 64 << 10;  // bytes of a frame that are awaited at once
// Limits on the bytes of queued frames, per daemon and in total, so that a slow link can't exhaust
// memory.
constexpr std::size_t kQueueByteLimit = 2 << 20, kTotalByteLimit = 48 << 20;
constexpr Duration kConnectTimeout = 500ms;  // TCP resends a lost SYN only after a second
constexpr int kUserTimeoutMs = 2000;

// Prefixes the bytes with their length, as 32 bits in little endian order.
std::string makeFrame(const std::string& bytes) {
  const auto size = static_cast<std::uint32_t>(bytes.size());
  std::string frame(4, '\0');
  for (int i = 0; i < 4; ++i)
    frame[static_cast<std::size_t>(i)] = static_cast<char>(size >> (8 * i));
  return frame + bytes;
}
}  // namespace

PeerLink::PeerLink(asio::io_context& io, Address self, Address forwarder, Receiver receiver)
    : io_(io),
      self_(std::move(self)),
      forwarder_(std::move(forwarder)),
      receiver_(std::move(receiver)),
      acceptor_(io) {}

absl::Status PeerLink::start() {
  if (auto status = listenAt(acceptor_, self_, 256); !status.ok()) return status;
  spawnLoop(io_, "the peers' listener", [this] { return accept(); });
  return absl::OkStatus();
}

awaitable<void> PeerLink::accept() {
  for (;;) {
    ErrorCode code;
    Tcp::socket socket(io_);
    co_await acceptor_.async_accept(socket, into(code));
    if (code) {
      co_await pauseFor(10ms);
      continue;
    }
    if (*connections_ >= kConnectionLimit) continue;  // closes the socket
    spawnTask(io_, "reading from a peer", receive(std::move(socket)));
  }
}

awaitable<void> PeerLink::receive(Tcp::socket socket) {
  ++*connections_;
  ScopeExit leave([connections = connections_] { --*connections; });
  Connection connection(std::move(socket));
  for (;;) {
    ErrorCode code;
    unsigned char lengthPrefix[4];
    connection.expires_after(60s);
    co_await asio::async_read(connection, asio::buffer(lengthPrefix), into(code));
    if (code) co_return;
    const std::uint32_t size = static_cast<std::uint32_t>(lengthPrefix[0]) |
                               static_cast<std::uint32_t>(lengthPrefix[1]) << 8 |
                               static_cast<std::uint32_t>(lengthPrefix[2]) << 16 |
                               static_cast<std::uint32_t>(lengthPrefix[3]) << 24;
    if (size > kFrameLimit) co_return;
    ByteBudget::Share share = incoming_.open();
    std::string bytes;
    connection.expires_after(5s);
    while (!code && bytes.size() < size) {
      const std::size_t received = bytes.size();
      bytes.resize(std::min<std::size_t>(size, received + kReadStep));
      // A string that grows may hold twice its size.
      const std::size_t held = 2 * bytes.size();
      const bool hasShare = share.growTo(held) || co_await growShare(share, held);
      if (!hasShare) co_return;
      co_await asio::async_read(connection, asio::buffer(&bytes[received], bytes.size() - received),
                                into(code));
    }
    if (code) co_return;
    auto envelope = decodeEnvelope(bytes);
    if (!envelope.ok()) co_return;  // the sender will open a new connection
    if (envelope->to == self_) receiver_(std::move(*envelope));
  }
}

void PeerLink::send(const Envelope& envelope) {
  if (envelope.to == self_) {
    asio::post(io_, [this, envelope] { receiver_(envelope); });
    return;
  }
  auto& queue = queues_[envelope.to];
  if (!queue) {
    if (queues_.size() > kPeerLimit) {
      queues_.erase(envelope.to);  // inserted just above, and empty
      ++dropped_;
      return;
    }
    queue = std::make_shared<SendQueue>(io_);
  }
  std::string frame = makeFrame(encodeEnvelope(envelope));
  const auto isOver = [&] {
    return queue->frames.size() >= kQueueFrameLimit ||
           queue->bytes + frame.size() > kQueueByteLimit ||
           queuedBytes_ + frame.size() > kTotalByteLimit;
  };
  while (!queue->frames.empty() && isOver()) {
    takeOldest(*queue);  // the oldest message has the least value
    ++dropped_;
  }
  queue->bytes += frame.size();
  queuedBytes_ += frame.size();
  queue->frames.push_back(std::move(frame));
  queue->wake.cancel();
  if (!queue->isDraining) {
    queue->isDraining = true;
    startDraining(envelope.to, queue);
  }
}

void PeerLink::startDraining(const Address& to, const std::shared_ptr<SendQueue>& queue) {
  spawnLoop(io_, "writing to a peer", [this, to, queue] { return drain(to, queue); });
}

std::string PeerLink::takeOldest(SendQueue& queue) {
  std::string frame = std::move(queue.frames.front());
  queue.frames.pop_front();
  queue.bytes -= frame.size();
  queuedBytes_ -= frame.size();
  return frame;
}

void PeerLink::clear(SendQueue& queue) {
  dropped_ += queue.frames.size();
  while (!queue.frames.empty()) takeOldest(queue);
}

awaitable<void> PeerLink::drain(Address to, std::shared_ptr<SendQueue> queue) {
  Connection connection(io_);
  ErrorCode code;
  connection.expires_after(kConnectTimeout);
  const Tcp::endpoint endpoint = endpointOf(forwarder_.value.empty() ? to : forwarder_);
  openOutgoing(connection.socket(), endpoint, self_, &code);
  // A machine that lost power never answers; frames for it must not wait for hours.
  using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
  connection.socket().set_option(UserTimeout(kUserTimeoutMs), code);
  co_await connection.async_connect(endpoint, into(code));
  if (!code && !forwarder_.value.empty()) {
    // Tells the forwarder the connection's source and destination.
    const std::string line = self_.value + " " + to.value + "\n";
    co_await asio::async_write(connection, asio::buffer(line), into(code));
  }
  if (!code) connection.socket().set_option(Tcp::no_delay(true), code);
  while (!code) {
    if (queue->frames.empty()) {
      queue->wake.expires_after(30s);
      ErrorCode wakeError;
      co_await queue->wake.async_wait(into(wakeError));
      if (queue->frames.empty()) break;
    }
    const std::string frame = takeOldest(*queue);
    connection.expires_after(2s);
    co_await asio::async_write(connection, asio::buffer(frame), into(code));
  }
  if (code) {
    clear(*queue);
    co_await pauseFor(100ms);  // an unreachable peer costs one attempt per pause, not per envelope
  }
  queue->isDraining = false;
  if (!queue->frames.empty()) {
    queue->isDraining = true;
    startDraining(to, queue);
  }
}

}  // namespace quayrill
