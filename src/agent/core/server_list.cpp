#include "agent/core/server_list.h"

#include <algorithm>
#include <string>
#include <tuple>

#include "base/digest.h"

namespace quayrill {

using namespace std::chrono_literals;

namespace {
// How much longer each further daemon in the order waits before it reads the list itself.
constexpr Duration kReadDelayPerRank = 300ms;
// How long a new list must be overdue before further daemons are sent requests for it.
constexpr Duration kExtraRequestAfter = 150ms;
constexpr Duration kMaxBackoff = 4s;
constexpr std::size_t kMaxSentRequests = 16;
constexpr std::size_t kMaxPendingRequests = 1024;

std::uint64_t digestOf(const std::vector<ListedServer>& rows) {
  return stableHash(encodeValue(rows)) | 1;  // 0 means that there is no list
}
}  // namespace

Duration ServerList::overdue(Instant now) const {
  if (readAt_) return now - *readAt_ - settings_.interval;
  return firstTickAt_ ? now - *firstTickAt_ : Duration{};
}

Duration ServerList::readDelay(const ListPeers& peers) const {
  const auto self = std::find(peers.order.begin(), peers.order.end(), settings_.self);
  return (self - peers.order.begin()) * kReadDelayPerRank;
}

Envelope ServerList::makeRequest(const Address& to, Instant now) {
  sentRequests_[++sequence_] = {to, now};
  while (sentRequests_.size() > kMaxSentRequests) sentRequests_.erase(sentRequests_.begin());
  const std::int64_t age =
      readAt_ ? std::chrono::duration_cast<std::chrono::microseconds>(now - *readAt_).count() : -1;
  return {settings_.self, to, ServerListRequest{sequence_, digest_, age}};
}

bool ServerList::onTick(const ListPeers& peers, Instant now, std::vector<Envelope>* sends) {
  if (!firstTickAt_) firstTickAt_ = now;
  std::erase_if(sentRequests_,
                [&](const auto& row) { return now - row.second.sentAt > settings_.interval + 1s; });
  // One request is always pending at the first daemon in the order, or at the second if this daemon
  // is the first. While a new list is overdue, the others are asked at the times when they would
  // start to read.
  const auto reader = std::find_if(peers.order.begin(), peers.order.end(),
                                   [&](const Address& peer) { return peer != settings_.self; });
  if (reader != peers.order.end()) {
    const bool isRequested = std::any_of(sentRequests_.begin(), sentRequests_.end(),
                                         [&](const auto& row) { return row.second.to == *reader; });
    if (!isRequested) sends->push_back(makeRequest(*reader, now));
    const Duration overdueTime = overdue(now) - kExtraRequestAfter;
    if (overdueTime >= Duration{} && now >= nextExtraRequest_) {
      nextExtraRequest_ = now + kReadDelayPerRank;
      const auto rank =
          static_cast<std::size_t>(overdueTime / kReadDelayPerRank) % peers.order.size();
      if (peers.order[rank] != settings_.self)
        sends->push_back(makeRequest(peers.order[rank], now));
    }
  }
  if (reading_ || now < nextRead_ || overdue(now) < readDelay(peers)) return false;
  reading_ = true;
  const double share =
      settings_.callsPerS /
      static_cast<double>(std::max<std::size_t>({1, peers.peakPeerCount, peers.order.size()}));
  const auto minInterval =
      std::chrono::duration<double>(static_cast<double>(callsPerRead_) / share);
  // If reads fail, each daemon retries at an interval that grows with its place in the order.
  nextRead_ = now + std::max(std::chrono::duration_cast<Duration>(minInterval),
                             settings_.interval + readDelay(peers));
  return true;
}

void ServerList::onReadDone(std::vector<ListedServer> rows, Instant askedAt, std::size_t calls,
                            Instant now, std::vector<Envelope>* sends) {
  reading_ = false;
  callsPerRead_ = std::max<std::size_t>(1, calls);
  backoff_ = Duration{};
  std::sort(rows.begin(), rows.end(), [](const ListedServer& a, const ListedServer& b) {
    return std::tie(a.name, a.identity) < std::tie(b.name, b.identity);
  });
  const std::uint64_t digest = digestOf(rows);
  if (replace(std::move(rows), digest, askedAt)) answerPending(now, sends);
}

void ServerList::onReadFailed(std::size_t calls, bool overRate, Instant now) {
  reading_ = false;
  callsPerRead_ = std::max(callsPerRead_, calls);
  if (!overRate) return;
  backoff_ = std::clamp<Duration>(backoff_ * 2, 500ms, kMaxBackoff);
  nextRead_ = std::max(nextRead_, now + backoff_);
}

bool ServerList::replace(std::vector<ListedServer> rows, std::uint64_t digest, Instant readAt) {
  if (readAt_ && *readAt_ >= readAt) return false;
  readAt_ = readAt;
  if (digest == digest_) return true;
  rows_ = std::move(rows);
  digest_ = digest;
  return true;
}

// `sinceReceived` is the time since the request arrived, during which the requester's list has aged
// too.
bool ServerList::isNewer(const ServerListRequest& ask, Duration sinceReceived, Instant now) const {
  if (!readAt_) return false;
  if (ask.knownAgeMicros < 0) return true;
  const Duration theirAge = std::chrono::microseconds(ask.knownAgeMicros) + sinceReceived;
  const Duration ownAge = now - *readAt_;
  // The same list appears slightly older at the requester, by the time of its transfer, so for
  // equal content a larger difference is required.
  return ownAge < theirAge &&
         (ask.knownDigest != digest_ || ownAge + settings_.interval / 2 < theirAge);
}

Envelope ServerList::makeAnswer(const Address& to, const PendingRequest& pending,
                                Instant now) const {
  const auto heldTime = std::chrono::floor<std::chrono::microseconds>(now - pending.receivedAt);
  const auto age = std::chrono::ceil<std::chrono::microseconds>(now - *readAt_);
  ServerListResponse answer{pending.ask.sequence, heldTime.count(), age.count(), digest_, {}, {}};
  if (pending.ask.knownDigest != digest_) answer.rows = rows_;
  return {settings_.self, to, std::move(answer)};
}

void ServerList::onAsk(const Address& from, const ServerListRequest& ask, Instant now,
                       std::vector<Envelope>* sends) {
  if (isNewer(ask, Duration{}, now)) {
    pendingRequests_.erase(from);
    sends->push_back(makeAnswer(from, {ask, now}, now));
  } else if (pendingRequests_.contains(from) || pendingRequests_.size() < kMaxPendingRequests) {
    pendingRequests_[from] = {ask, now};
  }
}

void ServerList::answerPending(Instant now, std::vector<Envelope>* sends) {
  std::erase_if(pendingRequests_, [&](const auto& row) {
    const auto& [from, pending] = row;
    const Duration since = now - pending.receivedAt;
    if (since > settings_.interval + 5s)
      return true;  // the requester has sent a new one, or has failed
    if (!isNewer(pending.ask, since, now)) return false;
    sends->push_back(makeAnswer(from, pending, now));
    return true;
  });
}

std::optional<Instant> ServerList::onAnswer(const ServerListResponse& answer, Instant now,
                                            std::vector<Envelope>* sends) {
  const auto request = sentRequests_.find(answer.sequence);
  if (request == sentRequests_.end() || answer.ageMicros < 0 || answer.waitedMicros < 0)
    return std::nullopt;
  // The request arrived after it was sent, so an age computed from the time of sending can only be
  // too high. The other clock may run slightly faster, so the result is limited to the present.
  const Instant answeredAt =
      std::min(now, request->second.sentAt + std::chrono::microseconds(answer.waitedMicros));
  sentRequests_.erase(request);
  const Instant readAt = answeredAt - std::chrono::microseconds(answer.ageMicros);
  // An answer without rows refers to the rows that were known when the request was sent, and is
  // useless if this daemon has other rows now.
  const bool hasAllRows = !answer.rows.empty() || answer.digest == digestOf({});
  if ((hasAllRows || answer.digest == digest_) && replace(answer.rows, answer.digest, readAt))
    answerPending(now, sends);
  return answeredAt;
}

}  // namespace quayrill
