#include "agent/core/membership.h"

#include <algorithm>

namespace quayrill {

using namespace std::chrono_literals;

namespace {
constexpr std::size_t kViewSize = 8;
constexpr std::size_t kShuffleSize = 4;
constexpr std::size_t kRelayLimit = 64;
}  // namespace

Membership::Membership(Address self, std::vector<Address> seeds, std::uint64_t seed)
    : self_(std::move(self)), seeds_(std::move(seeds)), random_(seed) {
  for (const Address& address : seeds_) learn(address, 0);
}

std::vector<Address> Membership::view() const {
  std::vector<Address> addresses;
  for (const ViewEntry& entry : view_) addresses.push_back(entry.address);
  return addresses;
}

void Membership::setSeeds(std::vector<Address> seeds) {
  seeds_ = std::move(seeds);
  for (const Address& address : seeds_) learn(address, 0);
  nextSeedShuffle_ = {};
}

void Membership::introduce(const Address& member) {
  if (view_.size() < kViewSize / 2) learn(member, 0);
}

Address Membership::randomNeighbour() {
  if (view_.empty()) return {};
  return view_[random_() % view_.size()].address;
}

void Membership::learn(const Address& address, std::uint32_t age) {
  if (address == self_ || address.value.empty()) return;
  for (ViewEntry& entry : view_) {
    if (entry.address == address) {
      entry.age = std::min(entry.age, age);
      return;
    }
  }
  if (view_.size() >= kViewSize) {
    auto oldest = std::max_element(view_.begin(), view_.end(),
                                   [](const auto& a, const auto& b) { return a.age < b.age; });
    if (oldest->age < age) return;
    view_.erase(oldest);
  }
  view_.push_back({address, age});
}

void Membership::drop(const Address& address) {
  std::erase_if(view_, [&](const ViewEntry& entry) { return entry.address == address; });
}

std::vector<ViewEntry> Membership::sample(std::size_t count) {
  std::vector<ViewEntry> chosen = view_;
  std::shuffle(chosen.begin(), chosen.end(), random_);
  if (chosen.size() > count) chosen.resize(count);
  return chosen;
}

void Membership::onTick(Instant now, std::vector<Envelope>* sends) {
  if (view_.empty()) {
    for (const Address& address : seeds_) learn(address, 0);
  }
  const auto shuffleWith = [&](const Address& neighbour) {
    std::vector<ViewEntry> entries = sample(kShuffleSize - 1);
    entries.push_back({self_, 0});
    sends->push_back({self_, neighbour, ShuffleRequest{entries}});
  };
  if (now >= nextShuffle_ && !view_.empty()) {
    nextShuffle_ = now + 1s;
    for (ViewEntry& entry : view_) ++entry.age;
    const auto oldest = std::max_element(
        view_.begin(), view_.end(), [](const auto& a, const auto& b) { return a.age < b.age; });
    shuffleWith(oldest->address);
  }
  // Two halves of the fleet that dropped each other during a long partition reconnect through the
  // seeds.
  if (now >= nextSeedShuffle_ && !seeds_.empty()) {
    nextSeedShuffle_ = now + 3s;
    const Address chosenSeed = seeds_[random_() % seeds_.size()];
    if (chosenSeed != self_) shuffleWith(chosenSeed);
  }
  if (now >= nextProbe_ && !view_.empty()) {
    nextProbe_ = now + 500ms;
    const Address subject = randomNeighbour();
    probes_[++sequence_] = {subject, now + 300ms, now + 900ms};
    sends->push_back({self_, subject, Probe{sequence_, subject}});
  }
  for (auto probe = probes_.begin(); probe != probes_.end();) {
    auto& [subject, indirectAt, deadline, indirectSent] = probe->second;
    if (now >= deadline) {
      drop(subject);
      probe = probes_.erase(probe);
      continue;
    }
    if (now >= indirectAt && !indirectSent) {
      indirectSent = true;
      for (const ViewEntry& helper : sample(2)) {
        if (helper.address != subject)
          sends->push_back({self_, helper.address, Probe{probe->first, subject}});
      }
    }
    ++probe;
  }
  std::erase_if(relays_, [&](const auto& relay) { return now >= relay.second.deadline; });
}

void Membership::onMessage(const Envelope& envelope, Instant now, std::vector<Envelope>* sends) {
  if (const auto* probe = std::get_if<Probe>(&envelope.body)) {
    if (probe->subject == self_) {
      sends->push_back({self_, envelope.from, ProbeResponse{probe->sequence, self_}});
    } else if (relays_.size() < kRelayLimit) {
      relays_[++sequence_] = {envelope.from, probe->sequence, now + 1s};
      sends->push_back({self_, probe->subject, Probe{sequence_, probe->subject}});
    }
    learn(envelope.from, 0);
  } else if (const auto* answer = std::get_if<ProbeResponse>(&envelope.body)) {
    if (const auto relay = relays_.find(answer->sequence); relay != relays_.end()) {
      sends->push_back({self_, relay->second.requester,
                        ProbeResponse{relay->second.requesterSequence, answer->subject}});
      relays_.erase(relay);
    } else if (probes_.erase(answer->sequence) > 0) {
      learn(answer->subject, 0);
    }
  } else if (const auto* ask = std::get_if<ShuffleRequest>(&envelope.body)) {
    sends->push_back({self_, envelope.from, ShuffleResponse{sample(kShuffleSize)}});
    for (const ViewEntry& entry : ask->entries) learn(entry.address, entry.age);
  } else if (const auto* shuffled = std::get_if<ShuffleResponse>(&envelope.body)) {
    learn(envelope.from, 0);
    for (const ViewEntry& entry : shuffled->entries) learn(entry.address, entry.age + 1);
  }
}

}  // namespace quayrill
