#pragma once
// Carries messages (envelopes) between daemons: frames over TCP, with one connection per direction.
// Delivery is best-effort by design: a full queue or a broken connection drops envelopes, and the
// control logic tolerates that.
#include <deque>
#include <functional>
#include <map>
#include <memory>

#include "base/byte_budget.h"
#include "net/asio.h"
#include "peers/messages.h"

namespace quayrill {

inline constexpr std::size_t kFrameLimit = 8 << 20;  // bytes
// Of all frames that are being received; two of the greatest size fit.
inline constexpr std::size_t kIncomingByteLimit = 4 * kFrameLimit;  // bytes

// All methods must be called on the io_context's single thread, which also calls the receiver.
class PeerLink {
 public:
  using Receiver = std::function<void(Envelope)>;
  // `forwarder`: address of a TCP forwarder through which all connections go; empty: connect to the
  // peers directly. Tests use one to simulate network faults.
  PeerLink(asio::io_context& io, Address self, Address forwarder, Receiver receiver);
  // Starts to accept connections on the own address.
  absl::Status start();
  // Queues the envelope. An envelope to the own address is passed to the receiver, asynchronously.
  void send(const Envelope& envelope);
  // Number of envelopes dropped so far.
  std::uint64_t dropped() const { return dropped_; }
  // Bytes of the frames that wait in all queues.
  std::size_t queuedBytes() const { return queuedBytes_; }

 private:
  // Frames waiting for one peer's connection. Beyond kQueueFrameLimit frames or kQueueByteLimit
  // bytes the oldest are dropped; one frame may always wait, whatever its size.
  struct SendQueue {
    std::deque<std::string> frames;
    std::size_t bytes = 0;  // of `frames`
    bool isDraining = false;
    asio::steady_timer wake;
    explicit SendQueue(asio::io_context& io) : wake(io) {}
  };
  awaitable<void> accept();
  awaitable<void> receive(Tcp::socket socket);
  std::string takeOldest(SendQueue& queue);
  void clear(SendQueue& queue);
  // Connects to a peer and sends its queue until it stays empty or the connection fails.
  awaitable<void> drain(Address to, std::shared_ptr<SendQueue> queue);
  void startDraining(const Address& to, const std::shared_ptr<SendQueue>& queue);

  asio::io_context& io_;
  Address self_, forwarder_;
  Receiver receiver_;
  Tcp::acceptor acceptor_;
  std::map<Address, std::shared_ptr<SendQueue>> queues_;
  std::size_t queuedBytes_ = 0;  // of all queues
  std::uint64_t dropped_ = 0;
  ByteBudget incoming_{kIncomingByteLimit};
  std::shared_ptr<std::size_t> connections_ = std::make_shared<std::size_t>(0);
};

}  // namespace quayrill
