#include "sim/losses.h"

#include <algorithm>

#include "sim/scenario.h"

namespace quayrill::sim {

using namespace std::chrono_literals;

namespace {
constexpr Duration kStep = 25ms;
constexpr Duration kSuccessorDelay = 1s;
constexpr Duration kIsolationSpan = 5500ms;
constexpr Duration kLeaveAfterJoin = 2s;  // in a planned replacement
// How long a leaving daemon continues to serve, as in production.
constexpr Duration kMinLeavingSpan = 3s;
constexpr Duration kMaxLeavingSpan = 6s;

WorldSettings worldSettingsOf(const LossesSettings& settings) {
  WorldSettings world;
  world.seed = settings.seed;
  world.bootstrap = true;
  world.diskMachines = settings.diskMachines;
  world.edgeMachines = 4;
  world.reserveMachines = settings.losses;
  world.losses = {settings.tolerate, 0, 0};
  world.replicasWanted = replicasWanted(world.losses, {});
  world.catchUpSpan = settings.catchUpSpan;
  return world;
}

// One run: injects the losses, performs the stages of each and measures the repair.
class LossRun {
 public:
  explicit LossRun(const LossesSettings& settings)
      : settings_(settings),
        world_(worldSettingsOf(settings)),
        nextReserve_(settings.diskMachines + 4) {}

  LossesResult run() {
    result_.founded = runUntilFounded(world_, 20s);
    if (!result_.founded) return result_;
    lastAcknowledgedAt_ = world_.elapsed();
    advance(2s);
    for (std::size_t i = 0; i < settings_.losses; ++i) {
      while (openLosses() >= settings_.tolerate) step();
      beginLoss();
    }
    while (openLosses() > 0) step();
    advance(10s);
    finish();
    return result_;
  }

 private:
  // The progress of one loss. All times are simulated time (World::elapsed).
  struct Loss {
    LossKind kind{};
    std::size_t machine = 0;
    Duration beganAt{};
    // When the stages that are still to come take place.
    std::optional<Duration> startAt, joinAt, leaveAt, healAt;
    std::optional<Duration> leavingSince;  // when the planned end was announced
    std::optional<Duration> closesAt;      // from then on it does not count towards `tolerate`
    std::size_t successor = 0;
    StoreId leavingStore;
    bool repaired = false;
    std::size_t outcomeIndex = 0;  // index in LossesResult::outcomes
    std::uint64_t epochBefore = 0;
  };

  std::size_t randomEdge() { return settings_.diskMachines + world_.random()() % 4; }
  const ReplicaSet& replicas() {
    return world_.core(settings_.diskMachines).freshness().replicas();
  }
  Duration randomSpan(int fromMs, int toMs) {
    return std::chrono::milliseconds(
        fromMs + static_cast<int>(world_.random()() % static_cast<unsigned>(toMs - fromMs)));
  }
  bool hasOpenLoss(std::size_t machine) const {
    return std::any_of(losses_.begin(), losses_.end(),
                       [&](const Loss& loss) { return loss.machine == machine && isOpen(loss); });
  }
  // Whether the loss counts towards `tolerate`.
  bool isOpen(const Loss& loss) const {
    return !loss.closesAt || world_.elapsed() < *loss.closesAt;
  }
  std::size_t openLosses() const {
    return static_cast<std::size_t>(std::count_if(losses_.begin(), losses_.end(),
                                                  [&](const Loss& loss) { return isOpen(loss); }));
  }
  bool isMember(std::size_t machine) {
    const StoreId store = world_.core(machine).store();
    return std::any_of(replicas().members.begin(), replicas().members.end(),
                       [&](const ReplicaMember& member) { return member.store == store; });
  }

  // The machine to lose next: of four draws one takes any machine, one the member of the replica
  // set whose disk is oldest, and two a random member.
  std::size_t chooseMachine() {
    std::vector<std::size_t> candidates, members;
    for (std::size_t i = 0; i < world_.size(); ++i) {
      if (!world_.hasDisk(i) || !world_.isUp(i) || hasOpenLoss(i)) continue;
      const bool isLeaving = std::any_of(losses_.begin(), losses_.end(), [&](const Loss& loss) {
        return loss.machine == i && loss.leavingSince;
      });
      if (isLeaving) continue;
      candidates.push_back(i);
      if (isMember(i)) members.push_back(i);
    }
    const auto draw = world_.random()() % 4;
    if (members.empty() || draw == 0) return candidates[world_.random()() % candidates.size()];
    if (draw == 1) return withOldestDisk(members);
    return members[world_.random()() % members.size()];
  }
  std::size_t withOldestDisk(const std::vector<std::size_t>& machines) {
    return *std::min_element(machines.begin(), machines.end(), [&](std::size_t a, std::size_t b) {
      return diskSince_[a] < diskSince_[b];
    });
  }

  // Starts the next loss.
  void beginLoss() {
    Loss loss;
    const std::size_t kinds = std::size(kAllLossKinds);
    loss.kind = settings_.kinds.empty()
                    ? kAllLossKinds[world_.random()() % kinds]
                    : settings_.kinds[world_.random()() % settings_.kinds.size()];
    loss.machine = chooseMachine();
    loss.beganAt = world_.elapsed();
    loss.outcomeIndex = result_.outcomes.size();
    loss.epochBefore = replicas().epoch.value;
    result_.outcomes.push_back({loss.kind, {}, {}, 0});
    const std::size_t machine = loss.machine;
    const Duration now = world_.elapsed();
    switch (loss.kind) {
      case LossKind::Killed:
        world_.crash(machine, true);
        loss.joinAt = now + kSuccessorDelay;
        break;
      case LossKind::Wiped:
        world_.crash(machine, true);
        world_.wipeDisk(machine);
        diskSince_[machine] = now;
        loss.startAt = now + randomSpan(200, 2000);
        break;
      case LossKind::PowerOff:
        world_.crash(machine, true);
        loss.startAt = now + randomSpan(3000, 4200);
        break;
      case LossKind::Restarted:
        world_.crash(machine, false);
        loss.startAt = now + randomSpan(500, 1000);
        break;
      case LossKind::CutOff:
        isolate(machine);
        loss.healAt = now + kIsolationSpan;
        break;
      case LossKind::Frozen: {
        const Duration span = randomSpan(3000, 6000);
        world_.freeze(machine, span);
        loss.healAt = now + span;
        break;
      }
      case LossKind::Replaced:
        loss.joinAt = now;
        loss.leaveAt = now + kLeaveAfterJoin;
        break;
    }
    losses_.push_back(loss);
  }

  // Isolates the machine in both directions, inbound only or outbound only.
  void isolate(std::size_t machine) {
    const auto direction = world_.random()() % 3;
    for (std::size_t other = 0; other < world_.size(); ++other) {
      if (other == machine) continue;
      if (direction != 1) world_.setLinkBlocked(machine, other, true);
      if (direction != 2) world_.setLinkBlocked(other, machine, true);
    }
  }

  // Carries out the stages of a loss whose time has come.
  void performDueStages(Loss& loss) {
    const Duration now = world_.elapsed();
    const auto isDue = [&](std::optional<Duration>& at) {
      if (!at || now < *at) return false;
      at.reset();
      return true;
    };
    if (isDue(loss.startAt)) {
      world_.start(loss.machine);
      loss.closesAt = now + settings_.catchUpSpan;
    }
    if (isDue(loss.healAt)) {
      if (loss.kind == LossKind::CutOff) world_.setPartitioned({loss.machine}, false);
      loss.closesAt = now + settings_.catchUpSpan;
    }
    if (isDue(loss.joinAt)) {
      loss.successor = nextReserve_++;
      world_.join(loss.successor);
      diskSince_[loss.successor] = now;
      loss.closesAt = now + settings_.catchUpSpan;
    }
    if (isDue(loss.leaveAt)) {
      loss.leavingStore = world_.core(loss.machine).store();
      world_.leave(loss.machine);
      loss.leavingSince = now;
    }
    if (loss.leavingSince && world_.isUp(loss.machine))
      endWhenHandedOver(loss, now - *loss.leavingSince);
  }

  // Ends a leaving daemon as production does: after the minimum once it has handed over its work,
  // or after the maximum.
  void endWhenHandedOver(const Loss& loss, Duration leavingFor) {
    const bool isHandingOver =
        world_.core(loss.machine).isHandingOver(world_.localNow(loss.machine));
    if (leavingFor >= kMaxLeavingSpan || (leavingFor >= kMinLeavingSpan && !isHandingOver))
      world_.crash(loss.machine, false);
  }

  bool isComplete(const ReplicaSet& set) const {
    return set.settled && set.members.size() >= world_.replicasWanted();
  }
  // Repair of a planned replacement: a complete set exists without the old machine. Members that
  // another loss makes unreachable do not matter here; that loss is measured by itself.
  bool isHandedOver(const Loss& loss) {
    const ReplicaSet& set = replicas();
    return isComplete(set) &&
           std::none_of(set.members.begin(), set.members.end(), [&](const ReplicaMember& member) {
             return member.store == loss.leavingStore;
           });
  }
  // Repair of any other loss: the set is complete and all its members are reachable.
  bool isRepaired() {
    const ReplicaSet& set = replicas();
    if (!isComplete(set)) return false;
    return std::all_of(set.members.begin(), set.members.end(), [&](const ReplicaMember& member) {
      for (std::size_t i = 0; i < world_.size(); ++i) {
        if (world_.isUp(i) && world_.core(i).store() == member.store) return !isUnavailable(i);
      }
      return false;
    });
  }
  // Isolated, frozen, or about to leave.
  bool isUnavailable(std::size_t machine) const {
    return std::any_of(losses_.begin(), losses_.end(), [&](const Loss& loss) {
      const bool unavailable = loss.healAt || loss.leavingSince || loss.leaveAt;
      return loss.machine == machine && unavailable;
    });
  }

  void step() {
    submitChange();
    world_.run(kStep);
    for (Loss& loss : losses_) performDueStages(loss);
    const bool repaired = isRepaired();
    for (Loss& loss : losses_) {
      LossOutcome& outcome = result_.outcomes[loss.outcomeIndex];
      if (isOpen(loss)) outcome.epochs = replicas().epoch.value - loss.epochBefore;
      if (loss.closesAt)
        outcome.nextLossAllowedAfter = *loss.closesAt - loss.leavingSince.value_or(loss.beganAt);
      const bool isDone = loss.leavingSince ? isHandedOver(loss) : repaired;
      if (!isDone || loss.repaired || loss.leaveAt) continue;
      loss.repaired = true;
      if (isOpen(loss) || loss.kind == LossKind::Replaced)
        outcome.repairedAfter = world_.elapsed() - loss.leavingSince.value_or(loss.beganAt);
    }
  }
  void advance(Duration span) {
    const Duration until = world_.elapsed() + span;
    while (world_.elapsed() < until) step();
  }

  // One operator, who sends the next change to an edge machine as soon as the last one completed.
  void submitChange() {
    if (pendingOperation_ != 0 && !world_.operationById(pendingOperation_).done) return;
    if (pendingOperation_ != 0 &&
        world_.operationById(pendingOperation_).done->result == ChangeResult::Chosen) {
      const Duration at = world_.operationById(pendingOperation_).completedAt->time_since_epoch();
      result_.longestGap = std::max(result_.longestGap, at - lastAcknowledgedAt_);
      lastAcknowledgedAt_ = at;
      ++result_.acknowledged;
      newestVersion_ = world_.operationById(pendingOperation_).done->value.version;
    }
    const std::size_t machine = randomEdge();
    const auto known = world_.core(machine).freshness().configuration().value.version;
    pendingOperation_ = world_.change(machine, std::max(known, newestVersion_), "body");
  }

  void finish() {
    result_.longestGap = std::max(result_.longestGap, world_.elapsed() - lastAcknowledgedAt_);
    const std::uint64_t read = world_.read(settings_.diskMachines);
    world_.run(4s);
    const auto& done = world_.operationById(read).done;
    result_.majorityAtEnd = done && done->result == ChangeResult::Chosen;
    result_.newestChangeKept = result_.majorityAtEnd && done->value.version >= newestVersion_;
    world_.checkHistory();
    result_.violations = world_.violations();
  }

  LossesSettings settings_;
  World world_;
  LossesResult result_;
  std::vector<Loss> losses_;
  std::map<std::size_t, Duration>
      diskSince_;  // by machine, of disks wiped or added since the founding
  std::size_t nextReserve_;
  std::uint64_t pendingOperation_ = 0, newestVersion_ = 0;
  Duration lastAcknowledgedAt_{};
};
}  // namespace

const char* nameOf(LossKind kind) {
  switch (kind) {
    case LossKind::Killed:
      return "killed for good";
    case LossKind::Wiped:
      return "disk wiped";
    case LossKind::PowerOff:
      return "power off";
    case LossKind::Restarted:
      return "restarted";
    case LossKind::CutOff:
      return "cut off";
    case LossKind::Frozen:
      return "frozen";
    case LossKind::Replaced:
      return "replaced as planned";
  }
  return "";
}

LossesResult runLosses(const LossesSettings& settings) { return LossRun(settings).run(); }

}  // namespace quayrill::sim
