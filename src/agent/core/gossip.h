#pragma once
// What each daemon says of itself, pulled by version vector. A source is live while its version
// keeps rising, judged on the reader's own clock.
#include <map>
#include <optional>
#include <vector>

#include "base/clock.h"
#include "peers/messages.h"

namespace quayrill {

class Gossip {
 public:
  Gossip(Address self, std::uint64_t nonce);

  // The own item's fields but for its version, which only this class moves.
  void setOwnState(const NewsItem& item);
  void advanceHeartbeat(Instant now);
  NewsAsk makeRequest() const;
  NewsAnswer answerRequest(const NewsAsk& ask);
  void onAnswer(const NewsAnswer& answer, Instant now);

  std::vector<NewsItem> live(Instant now) const;  // sorted by address, self always in
  bool isLive(const Address& source, Instant now) const;
  std::optional<NewsItem> item(const Address& source) const;

 private:
  // A source's version never falls here, live or not: a forgotten source can't come back by echo.
  struct Row {
    NewsItem item;
    Instant advancedAt;
  };
  void supersedeEarlierRun(const NewsVersion& version);

  Address self_;
  NewsItem own_;
  std::map<Address, Row> rows_;  // never self
};

}  // namespace quayrill
