#include "agent/core/server_list.h"

#include <algorithm>
#include <string>
#include <tuple>

#include "base/digest.h"

namespace quayrill {

using namespace std::chrono_literals;

namespace {
constexpr Span kStepInAfter = 300ms;  // for each daemon that comes before in the order
constexpr Span kAskAgain = 150ms;     // past the time at which a new reading was due
constexpr Span kLongestBackOff = 4s;
constexpr std::size_t kAsked = 16;
constexpr std::size_t kKept = 1024;

std::uint64_t digestOf(const std::vector<ListRow>& rows) {
  return stableHash(encodeValue(rows)) | 1;  // 0 stands for no list
}
}  // namespace

Span ServerList::overdue(Instant now) const {
  if (readAt_) return now - *readAt_ - settings_.every;
  return firstAt_ ? now - *firstAt_ : Span{};
}

Span ServerList::patience(const ListPeers& peers) const {
  const auto self = std::find(peers.order.begin(), peers.order.end(), settings_.self);
  return (self - peers.order.begin()) * kStepInAfter;
}

Envelope ServerList::ask(const Address& to, Instant now) {
  asked_[++sequence_] = {to, now};
  while (asked_.size() > kAsked) asked_.erase(asked_.begin());
  const std::int64_t ago =
      readAt_ ? std::chrono::duration_cast<std::chrono::microseconds>(now - *readAt_).count() : -1;
  return {settings_.self, to, ListAsk{sequence_, digest_, ago}};
}

bool ServerList::onTick(const ListPeers& peers, Instant now, std::vector<Envelope>* sends) {
  if (!firstAt_) firstAt_ = now;
  std::erase_if(asked_,
                [&](const auto& row) { return now - row.second.at > settings_.every + 1s; });
  // One question always lies with the reader, the reader's own with the next in order; the others
  // are asked as they become due to step in.
  const auto first = std::find_if(peers.order.begin(), peers.order.end(),
                                  [&](const Address& peer) { return peer != settings_.self; });
  if (first != peers.order.end()) {
    const bool lies = std::any_of(asked_.begin(), asked_.end(),
                                  [&](const auto& row) { return row.second.to == *first; });
    if (!lies) sends->push_back(ask(*first, now));
    const Span late = overdue(now) - kAskAgain;
    if (late >= Span{} && now >= nextAsk_) {
      nextAsk_ = now + kStepInAfter;
      const auto turn = static_cast<std::size_t>(late / kStepInAfter) % peers.order.size();
      if (peers.order[turn] != settings_.self) sends->push_back(ask(peers.order[turn], now));
    }
  }
  if (reading_ || now < nextRead_ || overdue(now) < patience(peers)) return false;
  reading_ = true;
  const double share =
      settings_.callsPerS /
      static_cast<double>(std::max<std::size_t>({1, peers.peakPeerCount, peers.order.size()}));
  const auto least = std::chrono::duration<double>(static_cast<double>(callsEach_) / share);
  // Where readings fail, each tries as seldom as its place in the order says.
  nextRead_ =
      now + std::max(std::chrono::duration_cast<Span>(least), settings_.every + patience(peers));
  return true;
}

void ServerList::onRead(std::vector<ListRow> rows, Instant askedAt, std::size_t calls, Instant now,
                        std::vector<Envelope>* sends) {
  reading_ = false;
  callsEach_ = std::max<std::size_t>(1, calls);
  backOff_ = Span{};
  std::sort(rows.begin(), rows.end(), [](const ListRow& a, const ListRow& b) {
    return std::tie(a.name, a.identity) < std::tie(b.name, b.identity);
  });
  const std::uint64_t digest = digestOf(rows);
  if (replace(std::move(rows), digest, askedAt)) answerKept(now, sends);
}

void ServerList::onReadFailed(std::size_t calls, bool overRate, Instant now) {
  reading_ = false;
  callsEach_ = std::max(callsEach_, calls);
  if (!overRate) return;
  backOff_ = std::clamp<Span>(backOff_ * 2, 500ms, kLongestBackOff);
  nextRead_ = std::max(nextRead_, now + backOff_);
}

bool ServerList::replace(std::vector<ListRow> rows, std::uint64_t digest, Instant readAt) {
  if (readAt_ && *readAt_ >= readAt) return false;
  readAt_ = readAt;
  if (digest == digest_) return true;
  rows_ = std::move(rows);
  digest_ = digest;
  return true;
}

// `sinceCame` is how long the question has been here, in which the asker's own reading aged too.
bool ServerList::isNewer(const ListAsk& ask, Span sinceCame, Instant now) const {
  if (!readAt_) return false;
  if (ask.knownAgoMicros < 0) return true;
  const Span theirs = std::chrono::microseconds(ask.knownAgoMicros) + sinceCame;
  const Span own = now - *readAt_;
  // The same reading looks a little older at the asker, by the time that it took to get there.
  return own < theirs && (ask.knownDigest != digest_ || own + settings_.every / 2 < theirs);
}

Envelope ServerList::answer(const Address& to, const KeptAsk& kept, Instant now) const {
  const auto held = std::chrono::floor<std::chrono::microseconds>(now - kept.cameAt);
  const auto ago = std::chrono::ceil<std::chrono::microseconds>(now - *readAt_);
  ListAnswer told{kept.ask.sequence, held.count(), ago.count(), digest_, {}, {}};
  if (kept.ask.knownDigest != digest_) told.rows = rows_;
  return {settings_.self, to, std::move(told)};
}

void ServerList::onAsk(const Address& from, const ListAsk& ask, Instant now,
                       std::vector<Envelope>* sends) {
  if (isNewer(ask, Span{}, now)) {
    kept_.erase(from);
    sends->push_back(answer(from, {ask, now}, now));
  } else if (kept_.contains(from) || kept_.size() < kKept) {
    kept_[from] = {ask, now};
  }
}

void ServerList::answerKept(Instant now, std::vector<Envelope>* sends) {
  std::erase_if(kept_, [&](const auto& row) {
    const auto& [from, kept] = row;
    const Span since = now - kept.cameAt;
    if (since > settings_.every + 5s) return true;  // its asker has long asked again, or is gone
    if (!isNewer(kept.ask, since, now)) return false;
    sends->push_back(answer(from, kept, now));
    return true;
  });
}

std::optional<Instant> ServerList::onAnswer(const ListAnswer& answer, Instant now,
                                            std::vector<Envelope>* sends) {
  const auto asked = asked_.find(answer.sequence);
  if (asked == asked_.end() || answer.agoMicros < 0 || answer.heldMicros < 0) return std::nullopt;
  // The question came there after it was asked, so an age that is counted from then is only ever
  // too high. The other's clock may run a little faster, so `told` may not pass the present.
  const Instant told =
      std::min(now, asked->second.at + std::chrono::microseconds(answer.heldMicros));
  asked_.erase(asked);
  const Instant readAt = told - std::chrono::microseconds(answer.agoMicros);
  // 'Unchanged' since rows that are no longer the ones here says nothing.
  const bool whole = !answer.rows.empty() || answer.digest == digestOf({});
  if ((whole || answer.digest == digest_) && replace(answer.rows, answer.digest, readAt))
    answerKept(now, sends);
  return told;
}

}  // namespace quayrill
