#include "model/explorer.h"

#include <unordered_set>

#include "model/world.h"

namespace quayrill::model {

namespace {
// A hash that stands for a state. Two of n states have the same 128 bits with a probability of
// about n * n / 2^129: 1.5e-23 for 1e8 states.
struct Fingerprint {
  std::uint64_t low = 0, high = 0;
  bool operator==(const Fingerprint&) const = default;
};

struct FingerprintHash {
  std::size_t operator()(const Fingerprint& fingerprint) const { return fingerprint.low; }
};

// The finalizer of MurmurHash3, applied for each byte.
std::uint64_t mixBits(std::uint64_t bits) {
  bits = (bits ^ (bits >> 33)) * 0xff51afd7ed558ccdULL;
  bits = (bits ^ (bits >> 33)) * 0xc4ceb9fe1a85ec53ULL;
  return bits ^ (bits >> 33);
}

Fingerprint fingerprintOf(const std::string& bytes) {
  Fingerprint fingerprint{0x9e3779b97f4a7c15ULL, 0xc2b2ae3d27d4eb4fULL};
  for (const char byte : bytes) {
    const auto value = static_cast<unsigned char>(byte);
    fingerprint.low = mixBits(fingerprint.low + value + 1);
    fingerprint.high = mixBits(fingerprint.high ^ (value + 0x165667b19e3779f9ULL));
  }
  return fingerprint;
}

// How a state was first reached; the root is its own parent.
struct Node {
  std::uint32_t parent = 0;
  Event event;
};

// A state that is still to be expanded.
struct QueuedState {
  std::uint32_t node = 0;
  State state;
};

// One breadth-first search, level by level.
class Search {
 public:
  Search(const Configuration& configuration, const SearchBounds& bounds)
      : world_(configuration), searchBounds_(bounds) {}

  SearchReport run() {
    nodes_.push_back({});
    visit(world_.initial());
    std::vector<QueuedState> level{{0, world_.initial()}};
    while (!level.empty() && report_.violation.empty() && !isBoundReached_) {
      if (report_.depth >= searchBounds_.depth) break;
      level = expand(level);
      if (!level.empty() || !report_.violation.empty()) ++report_.depth;
    }
    report_.isExhausted = level.empty() && report_.violation.empty() && !isBoundReached_;
    report_.distinct = seen_.size();
    report_.parts = world_.partCount();
    report_.time = std::chrono::steady_clock::now() - startedAt_;
    return report_;
  }

 private:
  // Counts a state that was reached. Returns whether it is new.
  bool visit(const State& state) {
    ++report_.visited;
    const std::string bytes =
        searchBounds_.mergesSymmetricStates ? world_.signature(state) : state.bytes();
    return seen_.insert(fingerprintOf(bytes)).second;
  }

  bool reachesBound() const {
    return seen_.size() >= searchBounds_.states ||
           std::chrono::steady_clock::now() - startedAt_ >= searchBounds_.time;
  }

  // Tries all events of the states of one depth. Returns the new states of the next depth.
  std::vector<QueuedState> expand(const std::vector<QueuedState>& level) {
    std::vector<QueuedState> next;
    for (const QueuedState& queued : level) {
      if (reachesBound()) {
        isBoundReached_ = true;
        return next;
      }
      ++report_.expanded;
      for (Successor& successor : world_.successors(queued.state)) {
        if (!successor.violation.empty()) {
          report_.violation = successor.violation;
          recordSchedule(queued.node, successor.event);
          return next;
        }
        if (!visit(successor.state)) continue;
        nodes_.push_back({queued.node, successor.event});
        next.push_back({static_cast<std::uint32_t>(nodes_.size() - 1), std::move(successor.state)});
      }
    }
    return next;
  }

  // Replays the schedule that ends with `last`, to describe its events.
  void recordSchedule(std::uint32_t node, const Event& last) {
    std::vector<Event> events{last};
    for (; node != 0; node = nodes_[node].parent) events.push_back(nodes_[node].event);
    State state = world_.initial();
    for (auto event = events.rbegin(); event != events.rend(); ++event) {
      const auto next = world_.apply(state, *event);
      report_.schedule.push_back(world_.describe(state, *event, next->state));
      state = next->state;
    }
  }

  World world_;
  SearchBounds searchBounds_;
  SearchReport report_;
  std::vector<Node> nodes_;
  std::unordered_set<Fingerprint, FingerprintHash> seen_;
  std::chrono::steady_clock::time_point startedAt_ = std::chrono::steady_clock::now();
  bool isBoundReached_ = false;
};
}  // namespace

SearchReport explore(const Configuration& configuration, const SearchBounds& bounds) {
  return Search(configuration, bounds).run();
}

}  // namespace quayrill::model
