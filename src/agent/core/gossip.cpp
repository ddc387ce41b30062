#include "agent/core/gossip.h"

#include <algorithm>

namespace quayrill {

using namespace std::chrono_literals;

namespace {
constexpr Duration kLiveSpan = 6s;
constexpr Duration kRetention = 10min;
}  // namespace

Gossip::Gossip(Address self, std::uint64_t nonce) : self_(std::move(self)) {
  own_.source = self_;
  own_.nonce = nonce;
  own_.version.incarnation = Incarnation{1};
}

void Gossip::setOwnState(const GossipItem& item) {
  const GossipVersion version = own_.version;
  const std::uint64_t nonce = own_.nonce;
  own_ = item;
  own_.source = self_;
  own_.version = version;
  own_.nonce = nonce;
}

void Gossip::advanceHeartbeat(Instant now) {
  ++own_.version.counter;
  std::erase_if(rows_, [&](const auto& row) { return now - row.second.advancedAt > kRetention; });
}

void Gossip::supersedeEarlierRun(const GossipVersion& version) {
  if (version > own_.version)
    own_.version = {Incarnation{version.incarnation.value + 1}, own_.version.counter};
}

GossipRequest Gossip::makeRequest() const {
  GossipRequest ask;
  ask.known.emplace_back(self_, own_.version);
  for (const auto& [source, row] : rows_) ask.known.emplace_back(source, row.item.version);
  return ask;
}

GossipResponse Gossip::answerRequest(const GossipRequest& ask) {
  std::map<Address, GossipVersion> known(ask.known.begin(), ask.known.end());
  GossipResponse answer;
  if (const auto mine = known.find(self_); mine != known.end()) supersedeEarlierRun(mine->second);
  if (own_.version > known[self_]) answer.items.push_back(own_);
  for (const auto& [source, row] : rows_) {
    if (row.item.version > known[source]) answer.items.push_back(row.item);
  }
  return answer;
}

void Gossip::onAnswer(const GossipResponse& answer, Instant now) {
  for (const GossipItem& item : answer.items) {
    if (item.source == self_) {
      if (item.nonce != own_.nonce) supersedeEarlierRun(item.version);
      continue;
    }
    Row& row = rows_[item.source];
    if (item.version > row.item.version) row = {item, now};
  }
}

bool Gossip::isLive(const Address& source, Instant now) const {
  if (source == self_) return true;
  const auto row = rows_.find(source);
  return row != rows_.end() && now - row->second.advancedAt < kLiveSpan;
}

std::vector<GossipItem> Gossip::live(Instant now) const {
  std::vector<GossipItem> items{own_};
  for (const auto& [source, row] : rows_) {
    if (isLive(source, now)) items.push_back(row.item);
  }
  std::sort(items.begin(), items.end(),
            [](const auto& a, const auto& b) { return a.source < b.source; });
  return items;
}

std::optional<GossipItem> Gossip::item(const Address& source) const {
  if (source == self_) return own_;
  const auto row = rows_.find(source);
  if (row == rows_.end()) return std::nullopt;
  return row->second.item;
}

}  // namespace quayrill
