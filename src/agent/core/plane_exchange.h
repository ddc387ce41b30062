#pragma once
// What the data planes observe, known by all of them: requests at servers, and cache events. Each
// daemon reports to the aggregator of its zone; aggregators tell each other their zone's sums, and
// their own zone's daemons the fleet's. So a daemon sends one message and gets one in each round,
// whatever the size of the fleet.
//
// Nothing is acknowledged or sent again. A report counts for kReportSpan, a zone's sum for
// kZoneSpan. While the aggregator of a zone is gone and not yet missed, that zone's daemons know
// their own requests alone, and cache events read there meanwhile reach nobody else.
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "peers/messages.h"

namespace quayrill {

class PlaneExchange {
 public:
  PlaneExchange(Address self, std::string zone) : self_(std::move(self)), zone_(std::move(zone)) {}

  // What this daemon's data plane observed since it last reported.
  void addOwnReport(PlaneReport report);
  void onReport(const Address& from, const PlaneReport& report, Instant now);
  void onDigest(const PlaneDigest& digest, Instant now);
  bool isDue(Instant now) const { return now >= nextTick_; }
  // `live`: all live daemons, this one too.
  void onTick(const std::vector<NewsItem>& live, Instant now, std::vector<Envelope>* sends);
  // What came for this daemon's own data plane, oldest first; given out once.
  std::vector<PlaneDigest> takeDigests();

 private:
  struct Report {
    std::vector<OutstandingRow> outstanding;
    Instant at;
  };
  struct Zone {
    std::vector<OutstandingRow> outstanding;
    Instant at;  // when its rows were told, on average
  };
  void aggregate(const std::vector<NewsItem>& live, const std::map<std::string, Address>& others,
                 Instant now, std::vector<Envelope>* sends);
  PlaneDigest ownZone(Instant now) const;
  // The own zone's digest with those of the others added.
  PlaneDigest fleet(PlaneDigest digest, Instant now) const;

  Address self_;
  std::string zone_;
  Instant nextTick_{};
  PlaneReport own_;
  bool hasOwn_ = false;                // its data plane reported since the last round
  std::map<Address, Report> reports_;  // of this zone's daemons
  std::map<std::string, Zone> zones_;  // of the others
  // Not yet told on: read in this zone, read in others. Bounded; the oldest go first.
  std::vector<PartEventBatch> nearBatches_, farBatches_;
  std::vector<PlaneDigest> digests_;
};

// The daemon that aggregates for a zone: by rendezvous over those of its live daemons that have no
// data plane, else over all of them. Address{}: none is there.
Address aggregatorOf(const std::string& zone, const std::vector<NewsItem>& live);

}  // namespace quayrill
