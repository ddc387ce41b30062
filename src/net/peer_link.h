#pragma once
// Carries envelopes between daemons: frames over TCP, one connection each way, lossy by policy.
// A full queue or a broken connection drops envelopes; the control logic is built for that.
#include <deque>
#include <functional>
#include <map>
#include <memory>

#include "net/asio.h"
#include "peers/messages.h"

namespace quayrill {

inline constexpr std::size_t kFrameLimit = 8 << 20;

class PeerLink {
 public:
  using Receiver = std::function<void(Envelope)>;
  PeerLink(asio::io_context& io, Address self, Address relay, Receiver receiver);
  absl::Status start();
  void send(const Envelope& envelope);
  std::uint64_t dropped() const { return dropped_; }
  std::size_t queuedBytes() const { return queuedBytes_; }

 private:
  // Frames wait here for one connection. Past kQueueFrameLimit of them, or kQueueByteLimit, the
  // oldest are dropped; one frame may always wait.
  struct SendQueue {
    std::deque<std::string> frames;
    std::size_t bytes = 0;  // of `frames`
    bool running = false;
    asio::steady_timer wake;
    explicit SendQueue(asio::io_context& io) : wake(io) {}
  };
  awaitable<void> accept();
  awaitable<void> receive(Tcp::socket socket);
  std::string takeOldest(SendQueue& lane);
  void clear(SendQueue& lane);
  awaitable<void> drain(Address to, std::shared_ptr<SendQueue> lane);

  asio::io_context& io_;
  Address self_, relay_;
  Receiver receiver_;
  Tcp::acceptor acceptor_;
  std::map<Address, std::shared_ptr<SendQueue>> queues_;
  std::size_t queuedBytes_ = 0;  // of all lanes' frames
  std::uint64_t dropped_ = 0;
};

}  // namespace quayrill
