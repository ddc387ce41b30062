#include "sim/operators.h"

#include <algorithm>
#include <map>
#include <sstream>

namespace quayrill::sim {

using namespace std::chrono_literals;

namespace {
constexpr Duration kOrderDue = 3500ms;  // as the daemons give an order
constexpr Duration kStep = 5ms;

bool isYes(UpdateResult result) {
  return result == UpdateResult::Applied || result == UpdateResult::AlreadyApplied;
}
bool isNo(UpdateResult result) {
  return result == UpdateResult::Rejected || result == UpdateResult::Stale ||
         result == UpdateResult::TooLarge;
}
}  // namespace

std::string writeChain(const ChainBody& body) {
  std::ostringstream text;
  text << body.number << ' ' << body.forgotten << ' ' << body.taken.size();
  for (const AppliedChange& change : body.taken)
    text << ' ' << change.version << ' ' << change.digest;
  text << '\n' << std::string(body.padding, static_cast<char>('a' + body.number % 26));
  return text.str();
}

ChainBody readChain(const std::string& text) {
  ChainBody body;
  std::istringstream read(text.substr(0, text.find('\n')));
  std::size_t count = 0;
  read >> body.number >> body.forgotten >> count;
  for (std::size_t i = 0; i < count; ++i) {
    AppliedChange change;
    read >> change.version >> change.digest;
    body.taken.push_back(std::move(change));
  }
  return body;
}

Update orderOnTop(const SubmittedChange& order, std::size_t padding, bool forgetting) {
  return [order, padding,
          forgetting](const std::string& standing) -> absl::StatusOr<std::optional<std::string>> {
    ChainBody body = readChain(standing);
    if (forgetting) body.taken.clear();
    switch (classifyChange(order, body.taken, body.forgotten, body.number)) {
      case ChangeStatus::Applied:
        return std::nullopt;
      case ChangeStatus::Stale:
        return absl::FailedPreconditionError("another version stands");
      case ChangeStatus::Forgotten:
        return absl::UnknownError("it may have been taken long ago");
      case ChangeStatus::New:
        break;
    }
    body.forgotten =
        std::max(body.forgotten, recordApplied(&body.taken, {order.version, order.digest}));
    body.number = order.version;
    body.padding = padding;
    return writeChain(body);
  };
}

std::size_t Operators::make(std::uint64_t basis, std::uint64_t number) {
  const std::string text = "order " + std::to_string(orders_.size());
  orders_.push_back({{number, basis, changeDigest("whole", basis, text)}});
  answers_.emplace_back();
  return orders_.size() - 1;
}

void Operators::send(std::size_t order, std::size_t machine, bool answerLost) {
  if (!world_.isUp(machine)) return;
  UpdateOperation updateOperation(orderOnTop(orders_.at(order).change, padding_, forgetting_),
                                  kRegisterBodyLimit, world_.localNow(machine) + kOrderDue);
  calls_.push_back(
      std::make_unique<Call>(Call{order, machine, answerLost, std::move(updateOperation)}));
}

void Operators::pump(Call& call) {
  if (call.pending) {
    const auto& done = world_.asked(*call.pending).done;
    if (!done) return;
    call.pending.reset();
    call.updateOperation.onAnswer(*done);
  }
  const auto asked = call.updateOperation.next(world_.localNow(call.machine));
  if (!asked) return answered(call);
  const std::uint64_t id = asked->isRead
                               ? world_.read(call.machine)
                               : world_.change(call.machine, asked->expectedVersion, asked->body);
  if (id != 0) call.pending = id;
}

void Operators::answered(const Call& call) {
  const UpdateResult result = call.updateOperation.done()->result;
  Order& order = orders_[call.order];
  order.confirmed = order.confirmed || isYes(result);
  order.refused = order.refused || isNo(result);
  order.heard = order.heard || (!call.answerLost && (isYes(result) || isNo(result)));
  answers_[call.order] = result;
  if (isYes(result)) newest_ = std::max(newest_, order.change.version);
}

bool Operators::isIdle() const { return calls_.empty(); }

void Operators::run(Duration span) {
  for (Duration past{}; past < span; past += kStep) {
    for (const auto& call : calls_) {
      // What was asked of a daemon that ended is never answered.
      if (world_.isUp(call->machine)) pump(*call);
    }
    std::erase_if(calls_, [&](const auto& call) {
      const bool isOver =
          world_.isUp(call->machine) &&
          world_.localNow(call->machine) > call->updateOperation.deadline() + kOrderDue;
      return call->updateOperation.done() || isOver || !world_.isUp(call->machine);
    });
    world_.run(kStep);
  }
}

std::vector<std::string> Operators::broken(const std::string& standing) const {
  std::vector<std::string> broken;
  std::map<std::uint64_t, std::size_t> confirmedOn;
  for (std::size_t i = 0; i < orders_.size(); ++i) {
    const Order& order = orders_[i];
    const std::string name = "order " + std::to_string(i);
    if (order.confirmed && order.refused) broken.push_back(name + " was confirmed and refused");
    if (!order.confirmed) continue;
    if (!confirmedOn.try_emplace(order.change.baseVersion, i).second)
      broken.push_back(name + " was confirmed on the basis of another one that was");
  }
  const ChainBody body = readChain(standing);
  if (body.number < newest_) broken.push_back("what stands is older than what was confirmed");
  for (const AppliedChange& taken : body.taken) {
    for (const Order& order : orders_) {
      if (order.change.digest == taken.digest && order.refused)
        broken.push_back("number " + std::to_string(taken.version) + " was refused and stands");
    }
  }
  return broken;
}

}  // namespace quayrill::sim
