#include "agent/core/fleet_builds.h"

#include <algorithm>

namespace quayrill {

namespace {
// No build's text is as long; a longer one is cut.
constexpr std::size_t kBuildTextLimit = 200;
}  // namespace

FleetBuilds::FleetBuilds(Address self, std::string ownBuild)
    : self_(std::move(self)), ownBuild_(std::move(ownBuild)) {}

void FleetBuilds::ask(const std::vector<GossipItem>& live, Instant now,
                      std::vector<Envelope>* sends) {
  std::erase_if(answers_, [&](const auto& row) {
    return std::none_of(live.begin(), live.end(),
                        [&](const GossipItem& item) { return item.source == row.first; });
  });
  for (const GossipItem& item : live) {
    Answer& answer = answers_[item.source];
    if (item.source == self_)
      answer = {ownBuild_, now};
    else
      sends->push_back({self_, item.source, BuildRequest{}});
  }
}

void FleetBuilds::onRequest(const Address& from, std::vector<Envelope>* sends) const {
  sends->push_back({self_, from, BuildResponse{ownBuild_}});
}

void FleetBuilds::onResponse(const Address& from, const BuildResponse& response, Instant now) {
  const auto row = answers_.find(from);
  if (row == answers_.end()) return;  // not asked
  row->second = {response.build.substr(0, kBuildTextLimit), now};
}

std::optional<std::string> FleetBuilds::buildOf(const Address& daemon, Instant since) const {
  const auto row = answers_.find(daemon);
  if (row == answers_.end() || row->second.receivedAt < since) return std::nullopt;
  return row->second.build;
}

}  // namespace quayrill
