#pragma once
// The platform's list of servers, and how old its reading is. Calls to the platform are few, so one
// daemon reads for all: the others leave a question with it, which it answers once it knows a newer
// reading. Whoever comes next in the daemons' order steps in for an overdue reading.
#include <map>
#include <optional>
#include <vector>

#include "base/clock.h"
#include "peers/messages.h"

namespace quayrill {

struct ListSettings {
  Address self;
  Span every = std::chrono::milliseconds(400);  // a reading this old is to be replaced
  double callsPerS = 50;                        // of all daemons together
};

// The daemons in the order in which they read, this one among them, and the most that were ever
// known to live at once: cut off from the others, each still keeps to its share of the rate.
struct ListPeers {
  std::vector<Address> order;
  std::size_t peakPeerCount = 1;
};

class ServerList {
 public:
  explicit ServerList(ListSettings settings = {}) : settings_(std::move(settings)) {}

  void setLimits(Span every, double callsPerS) {
    settings_.every = every;
    settings_.callsPerS = callsPerS;
  }

  // True: the platform is to be read now. It is until `onRead` or `onReadFailed` that no other is
  // begun.
  bool onTick(const ListPeers& peers, Instant now, std::vector<Envelope>* sends);
  // A reading of the platform's own list, begun at `askedAt`, which took so many calls.
  void onRead(std::vector<ListRow> rows, Instant askedAt, std::size_t calls, Instant now,
              std::vector<Envelope>* sends);
  void onReadFailed(std::size_t calls, bool overRate, Instant now);
  // Answered at once where this daemon knows a newer reading, else kept until it does.
  void onAsk(const Address& from, const ListAsk& ask, Instant now, std::vector<Envelope>* sends);
  // When the answer was given, at the earliest; nullopt: it answers nothing that was asked.
  std::optional<Instant> onAnswer(const ListAnswer& answer, Instant now,
                                  std::vector<Envelope>* sends);

  const std::vector<ListRow>& rows() const { return rows_; }
  std::uint64_t digest() const { return digest_; }
  // The start of the reading, wherever it was made; only ever too old, never too young.
  std::optional<Instant> readAt() const { return readAt_; }

 private:
  struct KeptAsk {
    ListAsk ask;
    Instant cameAt;
  };
  struct SentAsk {
    Address to;
    Instant at;
  };
  // What must be overdue before this daemon reads.
  Span patience(const ListPeers& peers) const;
  Span overdue(Instant now) const;
  bool isNewer(const ListAsk& ask, Span sinceCame, Instant now) const;
  Envelope answer(const Address& to, const KeptAsk& kept, Instant now) const;
  bool replace(std::vector<ListRow> rows, std::uint64_t digest, Instant readAt);
  void answerKept(Instant now, std::vector<Envelope>* sends);
  Envelope ask(const Address& to, Instant now);

  ListSettings settings_;
  std::vector<ListRow> rows_;  // sorted, so that one content has one digest
  std::uint64_t digest_ = 0;
  std::optional<Instant> readAt_;   // never falls
  std::optional<Instant> firstAt_;  // the first tick; stands for a reading where there is none
  std::uint64_t sequence_ = 0;
  std::map<std::uint64_t, SentAsk> asked_;  // the newest few
  std::map<Address, KeptAsk> kept_;         // one for each asker, at most kKept
  Instant nextAsk_{};                       // further ones, while the reading is overdue
  bool reading_ = false;
  Instant nextRead_{};
  std::size_t callsEach_ = 1;  // that the last reading took
  Span backOff_{};             // 0: the platform did not say that the rate is passed
};

}  // namespace quayrill
