#pragma once
// Shares what the data planes observe with all of them: outstanding requests at servers and cache
// events. Each daemon reports to the aggregator of its zone. Aggregators send the sums of their
// zone to each other, and the sums of the fleet to the daemons of their own zone. So a daemon sends
// and receives one message per round, whatever the size of the fleet.
//
// Messages are neither acknowledged nor resent. A report is valid for kReportValidity, a zone's sum
// for kZoneValidity. After the aggregator of a zone has failed and until this is detected, that
// zone's daemons know only their own requests, and cache events read there are lost to all others.
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "peers/messages.h"

namespace quayrill {

// The exchange at one daemon, which may also be the aggregator of its zone.
class PlaneExchange {
 public:
  PlaneExchange(Address self, std::string zone) : self_(std::move(self)), zone_(std::move(zone)) {}

  // Takes what this daemon's data plane observed since its last report.
  void addOwnReport(DataPlaneReport report);
  void onReport(const Address& from, const DataPlaneReport& report, Instant now);
  void onDigest(const DataPlaneDigest& digest, Instant now);
  // Whether the next round should start: onTick runs it.
  bool isDue(Instant now) const { return now >= nextTick_; }
  // `live` has all live daemons, including this one.
  void onTick(const std::vector<GossipItem>& live, Instant now, std::vector<Envelope>* sends);
  // Returns and removes the digests for this daemon's own data plane, oldest first.
  std::vector<DataPlaneDigest> takeDigests();

 private:
  struct Report {
    std::vector<OutstandingRow> outstanding;
    Instant reportedAt;
  };
  struct Zone {
    std::vector<OutstandingRow> outstanding;
    Instant reportedAt;  // the average time at which its rows were reported
  };
  void aggregate(const std::vector<GossipItem>& live, const std::map<std::string, Address>& others,
                 Instant now, std::vector<Envelope>* sends);
  DataPlaneDigest ownZoneDigest(Instant now) const;
  // The digest of the fleet: the own zone's `digest` with those of the other zones added.
  DataPlaneDigest addOtherZones(DataPlaneDigest digest, Instant now) const;

  Address self_;
  std::string zone_;
  Instant nextTick_{};
  DataPlaneReport own_;
  bool hasOwn_ = false;                // the own data plane reported since the last round
  std::map<Address, Report> reports_;  // of this zone's daemons
  std::map<std::string, Zone> zones_;  // of the others
  // Batches to pass on, read in this zone and in the others. Bounded: the oldest are dropped first.
  std::vector<PartEventBatch> ownZoneBatches_, otherZoneBatches_;
  std::vector<DataPlaneDigest> digests_;
};

// The aggregator of a zone, by rendezvous hashing over its live daemons without a data plane, or
// over all its live daemons if there are none. Address{} if the zone has no live daemon.
Address aggregatorOf(const std::string& zone, const std::vector<GossipItem>& live);

}  // namespace quayrill
