#pragma once
// The platform's list of servers and its age. The platform limits the rate of calls, so one daemon
// reads the list for all. The others send it requests, which it answers once it has a newer list
// (long polling). If a new list is overdue, the next daemons in a fixed order read it instead.
#include <map>
#include <optional>
#include <vector>

#include "base/clock.h"
#include "peers/messages.h"

namespace quayrill {

// Settings of the list.
struct ListSettings {
  Address self;
  Duration interval = std::chrono::milliseconds(400);  // the age at which the list is read again
  double callsPerS = 50;                               // limit on calls over all daemons
};

// The daemons, including this one, in the order in which they read, and the largest number of
// daemons ever known to be live at once. The latter determines this daemon's share of the call
// rate, so that all of them together keep to the limit even when they are partitioned.
struct ListPeers {
  std::vector<Address> order;
  std::size_t peakPeerCount = 1;
};

// The newest list known to one daemon, and the requests that it sent and received.
class ServerList {
 public:
  explicit ServerList(ListSettings settings = {}) : settings_(std::move(settings)) {}

  void setLimits(Duration interval, double callsPerS) {
    settings_.interval = interval;
    settings_.callsPerS = callsPerS;
  }

  // Returns true if the caller must read the platform's list now. No other read starts until
  // `onReadDone` or `onReadFailed` is called.
  bool onTick(const ListPeers& peers, Instant now, std::vector<Envelope>* sends);
  // The platform's list was read, by a read that began at `askedAt` and took `calls` calls.
  void onReadDone(std::vector<ListedServer> rows, Instant askedAt, std::size_t calls, Instant now,
                  std::vector<Envelope>* sends);
  // A read failed. `overRate`: the platform reported that the call rate is exceeded.
  void onReadFailed(std::size_t calls, bool overRate, Instant now);
  // Answers the request at once if this daemon has a newer list, otherwise once it does.
  void onAsk(const Address& from, const ServerListRequest& ask, Instant now,
             std::vector<Envelope>* sends);
  // Returns the earliest time at which the answer can have been sent; nullopt if it matches no
  // pending request.
  std::optional<Instant> onAnswer(const ServerListResponse& answer, Instant now,
                                  std::vector<Envelope>* sends);

  const std::vector<ListedServer>& rows() const { return rows_; }
  // A hash of the rows; 0 if there is no list.
  std::uint64_t digest() const { return digest_; }
  // When the read of the list began, on whichever daemon. The estimate errs only towards too early.
  std::optional<Instant> readAt() const { return readAt_; }

 private:
  // A request of another daemon that waits for a newer list.
  struct PendingRequest {
    ServerListRequest ask;
    Instant receivedAt;
  };
  // A request of this daemon that wasn't answered yet.
  struct SentRequest {
    Address to;
    Instant sentAt;
  };
  // How long a new list must be overdue before this daemon reads it.
  Duration readDelay(const ListPeers& peers) const;
  Duration overdue(Instant now) const;
  bool isNewer(const ServerListRequest& ask, Duration sinceReceived, Instant now) const;
  Envelope makeAnswer(const Address& to, const PendingRequest& pending, Instant now) const;
  bool replace(std::vector<ListedServer> rows, std::uint64_t digest, Instant readAt);
  void answerPending(Instant now, std::vector<Envelope>* sends);
  Envelope makeRequest(const Address& to, Instant now);

  ListSettings settings_;
  std::vector<ListedServer> rows_;  // sorted, so that equal content has the same digest
  std::uint64_t digest_ = 0;
  std::optional<Instant> readAt_;       // never decreases
  std::optional<Instant> firstTickAt_;  // the first tick; used as long as there is no list
  std::uint64_t sequence_ = 0;
  std::map<std::uint64_t, SentRequest> sentRequests_;  // the newest kMaxSentRequests
  std::map<Address, PendingRequest>
      pendingRequests_;         // one per daemon, kMaxPendingRequests at most
  Instant nextExtraRequest_{};  // next additional request while a new list is overdue
  bool reading_ = false;
  Instant nextRead_{};
  std::size_t callsPerRead_ = 1;  // calls that the last read took
  Duration backoff_{};            // 0: the platform didn't report that the rate is exceeded
};

}  // namespace quayrill
