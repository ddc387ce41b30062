#include "sim/losses.h"

#include <algorithm>

#include "sim/scenario.h"

namespace quayrill::sim {

using namespace std::chrono_literals;

namespace {
constexpr Span kStep = 25ms;
constexpr Span kSuccessorAfter = 1s;
constexpr Span kCutFor = 5500ms;
constexpr Span kLeaveAfterJoin = 2s;  // of a planned replacement
constexpr Span kServesAtLeast = 3s;   // after it was told to end, as the daemon does
constexpr Span kServesAtMost = 6s;

WorldSettings worldOf(const LossesSettings& settings) {
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

class LossRun {
 public:
  explicit LossRun(const LossesSettings& settings)
      : settings_(settings), world_(worldOf(settings)), nextReserve_(settings.diskMachines + 4) {}

  LossesResult run() {
    result_.founded = runUntilFounded(world_, 20s);
    if (!result_.founded) return result_;
    lastAckAt_ = world_.elapsed();
    advance(2s);
    for (std::size_t i = 0; i < settings_.losses; ++i) {
      while (underWay() >= settings_.tolerate) step();
      begin();
    }
    while (underWay() > 0) step();
    advance(10s);
    finish();
    return result_;
  }

 private:
  // One machine's way through its loss; the later steps are due at the instants named.
  struct Loss {
    LossKind kind{};
    std::size_t machine = 0;
    Span beganAt{};
    std::optional<Span> startAt, joinAt, leaveAt, healAt;
    std::optional<Span> leftAt;  // told to end then, and still serving
    std::optional<Span> endsAt;  // it counts no longer
    std::size_t successor = 0;
    StoreId leaver;  // the store that was told to end
    bool repaired = false;
    std::size_t row = 0;
    std::uint64_t epochBefore = 0;
  };

  std::size_t edge() { return settings_.diskMachines + world_.random()() % 4; }
  const ReplicaSet& replicas() {
    return world_.core(settings_.diskMachines).freshness().replicas();
  }
  Span within(int fromMs, int toMs) {
    return std::chrono::milliseconds(
        fromMs + static_cast<int>(world_.random()() % static_cast<unsigned>(toMs - fromMs)));
  }
  bool isHurt(std::size_t machine) const {
    return std::any_of(losses_.begin(), losses_.end(),
                       [&](const Loss& loss) { return loss.machine == machine && isOpen(loss); });
  }
  // A planned replacement counts from the moment the old machine is told to end.
  bool isOpen(const Loss& loss) const { return !loss.endsAt || world_.elapsed() < *loss.endsAt; }
  std::size_t underWay() const {
    return static_cast<std::size_t>(std::count_if(losses_.begin(), losses_.end(),
                                                  [&](const Loss& loss) { return isOpen(loss); }));
  }
  bool isMember(std::size_t machine) {
    const StoreId store = world_.core(machine).store();
    return std::any_of(replicas().members.begin(), replicas().members.end(),
                       [&](const ReplicaMember& member) { return member.store == store; });
  }

  // Mostly members; by one draw in four the one whose disk is oldest.
  std::size_t victim() {
    std::vector<std::size_t> able, members;
    for (std::size_t i = 0; i < world_.size(); ++i) {
      if (!world_.hasDisk(i) || !world_.isUp(i) || isHurt(i)) continue;
      const bool leaves = std::any_of(losses_.begin(), losses_.end(), [&](const Loss& loss) {
        return loss.machine == i && loss.leftAt;
      });
      if (leaves) continue;
      able.push_back(i);
      if (isMember(i)) members.push_back(i);
    }
    const auto draw = world_.random()() % 4;
    if (members.empty() || draw == 0) return able[world_.random()() % able.size()];
    if (draw == 1) return oldest(members);
    return members[world_.random()() % members.size()];
  }
  std::size_t oldest(const std::vector<std::size_t>& machines) {
    return *std::min_element(machines.begin(), machines.end(), [&](std::size_t a, std::size_t b) {
      return diskSince_[a] < diskSince_[b];
    });
  }

  void begin() {
    Loss loss;
    const std::size_t kinds = std::size(kAllLossKinds);
    loss.kind = settings_.kinds.empty()
                    ? kAllLossKinds[world_.random()() % kinds]
                    : settings_.kinds[world_.random()() % settings_.kinds.size()];
    loss.machine = victim();
    loss.beganAt = world_.elapsed();
    loss.row = result_.seen.size();
    loss.epochBefore = replicas().epoch.value;
    result_.seen.push_back({loss.kind, {}, {}, 0});
    const std::size_t m = loss.machine;
    const Span now = world_.elapsed();
    switch (loss.kind) {
      case LossKind::Killed:
        world_.crash(m, true);
        loss.joinAt = now + kSuccessorAfter;
        break;
      case LossKind::Wiped:
        world_.crash(m, true);
        world_.wipeDisk(m);
        diskSince_[m] = now;
        loss.startAt = now + within(200, 2000);
        break;
      case LossKind::PowerOff:
        world_.crash(m, true);
        loss.startAt = now + within(3000, 4200);
        break;
      case LossKind::Restarted:
        world_.crash(m, false);
        loss.startAt = now + within(500, 1000);
        break;
      case LossKind::CutOff:
        cutOff(m);
        loss.healAt = now + kCutFor;
        break;
      case LossKind::Frozen: {
        const Span span = within(3000, 6000);
        world_.freeze(m, span);
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

  void cutOff(std::size_t machine) {
    const auto way = world_.random()() % 3;
    for (std::size_t other = 0; other < world_.size(); ++other) {
      if (other == machine) continue;
      if (way != 1) world_.setLinkBlocked(machine, other, true);
      if (way != 2) world_.setLinkBlocked(other, machine, true);
    }
  }

  void follow(Loss& loss) {
    const Span now = world_.elapsed();
    const auto due = [&](std::optional<Span>& at) {
      if (!at || now < *at) return false;
      at.reset();
      return true;
    };
    if (due(loss.startAt)) {
      world_.start(loss.machine);
      loss.endsAt = now + settings_.catchUpSpan;
    }
    if (due(loss.healAt)) {
      if (loss.kind == LossKind::CutOff) world_.setPartitioned({loss.machine}, false);
      loss.endsAt = now + settings_.catchUpSpan;
    }
    if (due(loss.joinAt)) {
      loss.successor = nextReserve_++;
      world_.join(loss.successor);
      diskSince_[loss.successor] = now;
      loss.endsAt = now + settings_.catchUpSpan;
    }
    if (due(loss.leaveAt)) {
      loss.leaver = world_.core(loss.machine).store();
      world_.leave(loss.machine);
      loss.leftAt = now;
    }
    if (loss.leftAt && world_.isUp(loss.machine)) endWhenHandedOver(loss, now - *loss.leftAt);
  }

  void endWhenHandedOver(const Loss& loss, Span served) {
    const bool needed = world_.core(loss.machine).isHandingOver(world_.localNow(loss.machine));
    if (served >= kServesAtMost || (served >= kServesAtLeast && !needed))
      world_.crash(loss.machine, false);
  }

  bool isWhole(const ReplicaSet& set) const {
    return set.settled && set.members.size() >= world_.replicasWanted();
  }
  // The next loss may strike as soon as the vote has passed on, and is judged by itself.
  bool isHandedOver(const Loss& loss) {
    const ReplicaSet& set = replicas();
    return isWhole(set) &&
           std::none_of(set.members.begin(), set.members.end(),
                        [&](const ReplicaMember& member) { return member.store == loss.leaver; });
  }
  bool isRepaired() {
    const ReplicaSet& set = replicas();
    if (!isWhole(set)) return false;
    return std::all_of(set.members.begin(), set.members.end(), [&](const ReplicaMember& member) {
      for (std::size_t i = 0; i < world_.size(); ++i) {
        if (world_.isUp(i) && world_.core(i).store() == member.store) return !isAway(i);
      }
      return false;
    });
  }
  // Cut off or frozen now, or told to end.
  bool isAway(std::size_t machine) const {
    return std::any_of(losses_.begin(), losses_.end(), [&](const Loss& loss) {
      const bool away = loss.healAt || loss.leftAt || loss.leaveAt;
      return loss.machine == machine && away;
    });
  }

  void step() {
    askChange();
    world_.run(kStep);
    for (Loss& loss : losses_) follow(loss);
    const bool repaired = isRepaired();
    for (Loss& loss : losses_) {
      LossOutcome& seen = result_.seen[loss.row];
      if (isOpen(loss)) seen.epochs = replicas().epoch.value - loss.epochBefore;
      if (loss.endsAt)
        seen.nextLossAllowedAfter = *loss.endsAt - loss.leftAt.value_or(loss.beganAt);
      const bool isDone = loss.leftAt ? isHandedOver(loss) : repaired;
      if (!isDone || loss.repaired || loss.leaveAt) continue;
      loss.repaired = true;
      if (isOpen(loss) || loss.kind == LossKind::Replaced)
        seen.repairedAfter = world_.elapsed() - loss.leftAt.value_or(loss.beganAt);
    }
  }
  void advance(Span span) {
    const Span until = world_.elapsed() + span;
    while (world_.elapsed() < until) step();
  }

  // One operator who asks an edge for the next change as soon as the last one was answered.
  void askChange() {
    if (asked_ != 0 && !world_.operationById(asked_).done) return;
    if (asked_ != 0 && world_.operationById(asked_).done->result == ChangeResult::Chosen) {
      const Span at = world_.operationById(asked_).completedAt->time_since_epoch();
      result_.longestGap = std::max(result_.longestGap, at - lastAckAt_);
      lastAckAt_ = at;
      ++result_.acknowledged;
      newest_ = world_.operationById(asked_).done->value.version;
    }
    const std::size_t machine = edge();
    const auto known = world_.core(machine).freshness().configuration().value.version;
    asked_ = world_.change(machine, std::max(known, newest_), "body");
  }

  void finish() {
    result_.longestGap = std::max(result_.longestGap, world_.elapsed() - lastAckAt_);
    const std::uint64_t read = world_.read(settings_.diskMachines);
    world_.run(4s);
    const auto& done = world_.operationById(read).done;
    result_.majorityAtEnd = done && done->result == ChangeResult::Chosen;
    result_.newestChangeKept = result_.majorityAtEnd && done->value.version >= newest_;
    world_.checkHistory();
    result_.violations = world_.violations();
  }

  LossesSettings settings_;
  World world_;
  LossesResult result_;
  std::vector<Loss> losses_;
  std::map<std::size_t, Span> diskSince_;  // of disks emptied or new since the founding
  std::size_t nextReserve_;
  std::uint64_t asked_ = 0, newest_ = 0;
  Span lastAckAt_{};
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
