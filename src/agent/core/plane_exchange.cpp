#include "agent/core/plane_exchange.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "agent/core/leader_roles.h"

namespace quayrill {

using namespace std::chrono_literals;

namespace {
constexpr Span kEvery = 100ms;             // ours: from round to round
constexpr Span kReportSpan = 1500ms;       // ours: a daemon that reported longer ago counts no more
constexpr Span kZoneSpan = 2s;             // ours: the same for a zone
constexpr std::size_t kMostBatches = 512;  // ours: kept until the next round
constexpr std::size_t kMostDigests = 8;    // ours: kept for a data plane that does not take them

using Sums = std::map<ServerName, OutstandingRow>;

void add(Sums* sums, const std::vector<OutstandingRow>& rows) {
  for (const OutstandingRow& row : rows) {
    OutstandingRow& sum = (*sums)[row.server];
    sum.server = row.server;
    sum.requests += row.requests;
    sum.unreadTokens += row.unreadTokens;
  }
}

std::vector<OutstandingRow> rowsOf(const Sums& sums) {
  std::vector<OutstandingRow> rows;
  for (const auto& [server, row] : sums) rows.push_back(row);
  return rows;
}

void append(std::vector<PartEventBatch>* batches, std::vector<PartEventBatch> more) {
  std::move(more.begin(), more.end(), std::back_inserter(*batches));
  if (batches->size() <= kMostBatches) return;
  const auto surplus = static_cast<std::ptrdiff_t>(batches->size() - kMostBatches);
  batches->erase(batches->begin(), batches->begin() + surplus);
}

std::int64_t microsOf(Span span) {
  return std::chrono::duration_cast<std::chrono::microseconds>(span).count();
}
}  // namespace

Address aggregatorOf(const std::string& zone, const std::vector<NewsItem>& live) {
  std::vector<Address> idle, all;
  for (const NewsItem& item : live) {
    if (item.zone != zone || item.leaving) continue;
    all.push_back(item.source);
    if (item.proxyAddress.empty()) idle.push_back(item.source);
  }
  return rendezvousOwner("aggregate/" + zone, idle.empty() ? all : idle);
}

void PlaneExchange::addOwnReport(PlaneReport report) {
  hasOwn_ = true;
  own_.outstanding = std::move(report.outstanding);
  append(&own_.batches, std::move(report.batches));
}

void PlaneExchange::onReport(const Address& from, const PlaneReport& report, Instant now) {
  reports_[from] = {report.outstanding, now};
  append(&nearBatches_, report.batches);
}

void PlaneExchange::onDigest(const PlaneDigest& digest, Instant now) {
  if (digest.zone.empty()) {
    digests_.push_back(digest);
    if (digests_.size() > kMostDigests) digests_.erase(digests_.begin());
    return;
  }
  zones_[digest.zone] = {digest.outstanding, now - std::chrono::microseconds(digest.agoMicros)};
  append(&farBatches_, digest.batches);
}

std::vector<PlaneDigest> PlaneExchange::takeDigests() { return std::exchange(digests_, {}); }

PlaneDigest PlaneExchange::ownZone(Instant now) const {
  PlaneDigest digest;
  digest.zone = zone_;
  Sums sums;
  Span age{};
  for (const auto& [daemon, report] : reports_) {
    add(&sums, report.outstanding);
    age += now - report.at;
  }
  if (!reports_.empty())
    digest.agoMicros = microsOf(age) / static_cast<std::int64_t>(reports_.size());
  digest.outstanding = rowsOf(sums);
  digest.batches = nearBatches_;
  return digest;
}

PlaneDigest PlaneExchange::fleet(PlaneDigest digest, Instant now) const {
  digest.zone.clear();
  Sums sums;
  add(&sums, digest.outstanding);
  std::int64_t age = digest.agoMicros;
  for (const auto& [name, zone] : zones_) {
    add(&sums, zone.outstanding);
    age += microsOf(now - zone.at);
  }
  digest.agoMicros = age / static_cast<std::int64_t>(zones_.size() + 1);
  digest.outstanding = rowsOf(sums);
  append(&digest.batches, farBatches_);
  return digest;
}

void PlaneExchange::aggregate(const std::vector<NewsItem>& live,
                              const std::map<std::string, Address>& others, Instant now,
                              std::vector<Envelope>* sends) {
  std::erase_if(reports_, [&](const auto& row) { return now - row.second.at > kReportSpan; });
  std::erase_if(zones_, [&](const auto& row) { return now - row.second.at > kZoneSpan; });
  if (reports_.empty() && zones_.empty()) return;
  PlaneDigest mine = ownZone(now);
  if (!reports_.empty()) {
    for (const auto& [zone, aggregator] : others) sends->push_back({self_, aggregator, mine});
  }
  const PlaneDigest told = fleet(std::move(mine), now);
  nearBatches_.clear();
  farBatches_.clear();
  for (const NewsItem& item : live) {
    if (item.zone != zone_ || item.proxyAddress.empty()) continue;
    if (item.source == self_)
      onDigest(told, now);
    else
      sends->push_back({self_, item.source, told});
  }
}

void PlaneExchange::onTick(const std::vector<NewsItem>& live, Instant now,
                           std::vector<Envelope>* sends) {
  nextTick_ = now + kEvery;
  const Address aggregator = aggregatorOf(zone_, live);
  if (std::exchange(hasOwn_, false)) {
    const PlaneReport report = std::exchange(own_, {});
    if (aggregator == self_)
      onReport(self_, report, now);
    else if (aggregator != Address{})
      sends->push_back({self_, aggregator, report});
  }
  if (aggregator != self_) {
    reports_.clear();
    zones_.clear();
    nearBatches_.clear();
    farBatches_.clear();
    return;
  }
  std::map<std::string, Address> others;
  for (const NewsItem& item : live) {
    if (item.zone != zone_ && !others.contains(item.zone))
      others[item.zone] = aggregatorOf(item.zone, live);
  }
  std::erase_if(others, [](const auto& row) { return row.second == Address{}; });
  aggregate(live, others, now, sends);
}

}  // namespace quayrill
