#pragma once
// The platform's list of servers, and how old its reading is. A daemon that can't read it itself
// asks its neighbours for theirs.
#include <map>
#include <optional>
#include <vector>

#include "base/clock.h"
#include "cohort/messages.h"

namespace quayrill {

class ServerList {
 public:
  // A reading of the platform's own list, begun at `askedAt`.
  void take(std::vector<ListRow> rows, Instant askedAt);
  // True where the own reading is old enough to ask another daemon for its own.
  bool wantsHelp(Instant now) const;
  ListAsk ask(Instant now);
  std::optional<ListAnswer> answer(const ListAsk& ask, Instant now) const;
  void onAnswer(const ListAnswer& answer);

  const std::vector<ListRow>& rows() const { return rows_; }
  // The start of the reading, wherever it was made; only ever too old, never too young.
  std::optional<Instant> readAt() const { return readAt_; }

 private:
  std::vector<ListRow> rows_;
  std::optional<Instant> readAt_;  // never falls
  std::uint64_t sequence_ = 0;
  std::map<std::uint64_t, Instant> asked_;  // the newest few
  std::optional<Instant> nextAsk_;
};

}  // namespace quayrill
