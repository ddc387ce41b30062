#include "agent/core/plane_exchange.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "agent/core/leader_roles.h"

namespace quayrill {

using namespace std::chrono_literals;

namespace {
constexpr Duration kRoundInterval = 100ms;
constexpr Duration kReportValidity = 1500ms;  // of a daemon's outstanding requests
constexpr Duration kZoneValidity = 2s;        // of a zone's sums
constexpr std::size_t kMaxBatches = 512;      // kept until the next round
constexpr std::size_t kMaxDigests = 8;        // kept while the data plane doesn't take them

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
  if (batches->size() <= kMaxBatches) return;
  const auto surplus = static_cast<std::ptrdiff_t>(batches->size() - kMaxBatches);
  batches->erase(batches->begin(), batches->begin() + surplus);
}

std::int64_t microsOf(Duration span) {
  return std::chrono::duration_cast<std::chrono::microseconds>(span).count();
}
}  // namespace

Address aggregatorOf(const std::string& zone, const std::vector<GossipItem>& live) {
  std::vector<Address> withoutDataPlane, all;
  for (const GossipItem& item : live) {
    if (item.zone != zone || item.leaving) continue;
    all.push_back(item.source);
    if (item.proxyAddress.empty()) withoutDataPlane.push_back(item.source);
  }
  return rendezvousOwner("aggregate/" + zone, withoutDataPlane.empty() ? all : withoutDataPlane);
}

void PlaneExchange::addOwnReport(DataPlaneReport report) {
  hasOwn_ = true;
  own_.outstanding = std::move(report.outstanding);
  append(&own_.batches, std::move(report.batches));
}

void PlaneExchange::onReport(const Address& from, const DataPlaneReport& report, Instant now) {
  reports_[from] = {report.outstanding, now};
  append(&ownZoneBatches_, report.batches);
}

void PlaneExchange::onDigest(const DataPlaneDigest& digest, Instant now) {
  if (digest.zone.empty()) {
    digests_.push_back(digest);
    if (digests_.size() > kMaxDigests) digests_.erase(digests_.begin());
    return;
  }
  zones_[digest.zone] = {digest.outstanding, now - std::chrono::microseconds(digest.ageMicros)};
  append(&otherZoneBatches_, digest.batches);
}

std::vector<DataPlaneDigest> PlaneExchange::takeDigests() { return std::exchange(digests_, {}); }

DataPlaneDigest PlaneExchange::ownZoneDigest(Instant now) const {
  DataPlaneDigest digest;
  digest.zone = zone_;
  Sums sums;
  Duration age{};
  for (const auto& [daemon, report] : reports_) {
    add(&sums, report.outstanding);
    age += now - report.reportedAt;
  }
  if (!reports_.empty())
    digest.ageMicros = microsOf(age) / static_cast<std::int64_t>(reports_.size());
  digest.outstanding = rowsOf(sums);
  digest.batches = ownZoneBatches_;
  return digest;
}

DataPlaneDigest PlaneExchange::addOtherZones(DataPlaneDigest digest, Instant now) const {
  digest.zone.clear();
  Sums sums;
  add(&sums, digest.outstanding);
  std::int64_t age = digest.ageMicros;
  for (const auto& [name, zone] : zones_) {
    add(&sums, zone.outstanding);
    age += microsOf(now - zone.reportedAt);
  }
  digest.ageMicros = age / static_cast<std::int64_t>(zones_.size() + 1);
  digest.outstanding = rowsOf(sums);
  append(&digest.batches, otherZoneBatches_);
  return digest;
}

void PlaneExchange::aggregate(const std::vector<GossipItem>& live,
                              const std::map<std::string, Address>& others, Instant now,
                              std::vector<Envelope>* sends) {
  std::erase_if(reports_,
                [&](const auto& row) { return now - row.second.reportedAt > kReportValidity; });
  std::erase_if(zones_,
                [&](const auto& row) { return now - row.second.reportedAt > kZoneValidity; });
  if (reports_.empty() && zones_.empty()) return;
  DataPlaneDigest zoneDigest = ownZoneDigest(now);
  if (!reports_.empty()) {
    for (const auto& [zone, aggregator] : others) sends->push_back({self_, aggregator, zoneDigest});
  }
  const DataPlaneDigest fleetDigest = addOtherZones(std::move(zoneDigest), now);
  ownZoneBatches_.clear();
  otherZoneBatches_.clear();
  for (const GossipItem& item : live) {
    if (item.zone != zone_ || item.proxyAddress.empty()) continue;
    if (item.source == self_)
      onDigest(fleetDigest, now);
    else
      sends->push_back({self_, item.source, fleetDigest});
  }
}

void PlaneExchange::onTick(const std::vector<GossipItem>& live, Instant now,
                           std::vector<Envelope>* sends) {
  nextTick_ = now + kRoundInterval;
  const Address aggregator = aggregatorOf(zone_, live);
  if (std::exchange(hasOwn_, false)) {
    const DataPlaneReport report = std::exchange(own_, {});
    if (aggregator == self_)
      onReport(self_, report, now);
    else if (aggregator != Address{})
      sends->push_back({self_, aggregator, report});
  }
  if (aggregator != self_) {
    reports_.clear();
    zones_.clear();
    ownZoneBatches_.clear();
    otherZoneBatches_.clear();
    return;
  }
  std::map<std::string, Address> others;
  for (const GossipItem& item : live) {
    if (item.zone != zone_ && !others.contains(item.zone))
      others[item.zone] = aggregatorOf(item.zone, live);
  }
  std::erase_if(others, [](const auto& row) { return row.second == Address{}; });
  aggregate(live, others, now, sends);
}

}  // namespace quayrill
