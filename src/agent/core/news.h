#pragma once
// What each daemon says of itself, pulled by version vector. A source is live while its version
// keeps rising, judged on the reader's own clock.
#include <map>
#include <optional>
#include <vector>

#include "base/clock.h"
#include "peers/messages.h"

namespace quayrill {

class News {
 public:
  News(Address self, std::uint64_t nonce);

  // The own item's fields but for its version, which only this class moves.
  void describeSelf(const GossipItem& item);
  void beat(Instant now);
  GossipRequest ask() const;
  GossipResponse answer(const GossipRequest& ask);
  void take(const GossipResponse& answer, Instant now);

  std::vector<GossipItem> live(Instant now) const;  // sorted by address, self always in
  bool isLive(const Address& source, Instant now) const;
  std::optional<GossipItem> item(const Address& source) const;

 private:
  // A source's version never falls here, live or not: a forgotten source can't come back by echo.
  struct Row {
    GossipItem item;
    Instant advancedAt;
  };
  void meetOwn(const GossipVersion& version);

  Address self_;
  GossipItem own_;
  std::map<Address, Row> rows_;  // never self
};

}  // namespace quayrill
