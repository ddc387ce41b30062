#include "agent/core/server_list.h"

namespace quayrill {

using namespace std::chrono_literals;

namespace {
constexpr Span kHelpAfter = 1s;
constexpr Span kAskEvery = 200ms;
constexpr std::size_t kAsked = 8;
}  // namespace

void ServerList::take(std::vector<ListRow> rows, Instant askedAt) {
  if (readAt_ && *readAt_ >= askedAt) return;
  rows_ = std::move(rows);
  readAt_ = askedAt;
}

bool ServerList::wantsHelp(Instant now) const {
  if (nextAsk_ && now < *nextAsk_) return false;
  return !readAt_ || now - *readAt_ >= kHelpAfter;
}

ListAsk ServerList::ask(Instant now) {
  nextAsk_ = now + kAskEvery;
  asked_[++sequence_] = now;
  while (asked_.size() > kAsked) asked_.erase(asked_.begin());
  return {sequence_};
}

std::optional<ListAnswer> ServerList::answer(const ListAsk& ask, Instant now) const {
  if (!readAt_) return std::nullopt;
  const auto ago = std::chrono::ceil<std::chrono::microseconds>(now - *readAt_);
  return ListAnswer{ask.sequence, ago.count(), rows_};
}

void ServerList::onAnswer(const ListAnswer& answer) {
  const auto asked = asked_.find(answer.sequence);
  if (asked == asked_.end() || answer.agoMicros < 0) return;
  // Its age is counted from before it was asked for, so time on the way only makes it older.
  take(answer.rows, asked->second - std::chrono::microseconds(answer.agoMicros));
}

}  // namespace quayrill
