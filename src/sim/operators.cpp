#include "sim/operators.h"

#include <algorithm>
#include <map>
#include <sstream>

namespace quayrill::sim {

using namespace std::chrono_literals;

namespace {
constexpr Span kOrderDue = 3500ms;  // as the daemons give an order
constexpr Span kStep = 5ms;

bool isYes(UpdateResult result) {
  return result == UpdateResult::Taken || result == UpdateResult::AlreadyTaken;
}
bool isNo(UpdateResult result) {
  return result == UpdateResult::Refused || result == UpdateResult::Stale ||
         result == UpdateResult::TooLarge;
}
}  // namespace

std::string encodeSimulatedBody(const SimulatedBody& body) {
  std::ostringstream text;
  text << body.number << ' ' << body.forgotten << ' ' << body.taken.size();
  for (const TakenChange& change : body.taken) text << ' ' << change.number << ' ' << change.digest;
  text << '\n' << std::string(body.padding, static_cast<char>('a' + body.number % 26));
  return text.str();
}

SimulatedBody decodeSimulatedBody(const std::string& text) {
  SimulatedBody body;
  std::istringstream read(text.substr(0, text.find('\n')));
  std::size_t count = 0;
  read >> body.number >> body.forgotten >> count;
  for (std::size_t i = 0; i < count; ++i) {
    TakenChange change;
    read >> change.number >> change.digest;
    body.taken.push_back(std::move(change));
  }
  return body;
}

Update updateFor(const SentChange& order, std::size_t padding, bool forgetting) {
  return [order, padding,
          forgetting](const std::string& standing) -> absl::StatusOr<std::optional<std::string>> {
    SimulatedBody body = decodeSimulatedBody(standing);
    if (forgetting) body.taken.clear();
    switch (standingOf(order, body.taken, body.forgotten, body.number)) {
      case ChangeStanding::Taken:
        return std::nullopt;
      case ChangeStanding::Stale:
        return absl::FailedPreconditionError("another version stands");
      case ChangeStanding::Forgotten:
        return absl::UnknownError("it may have been taken long ago");
      case ChangeStanding::New:
        break;
    }
    body.forgotten = std::max(body.forgotten, addTaken(&body.taken, {order.number, order.digest}));
    body.number = order.number;
    body.padding = padding;
    return encodeSimulatedBody(body);
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
  UpdateOperation updateOperation(updateFor(orders_.at(order).change, padding_, forgetting_),
                                  kBodyLimit, world_.localNow(machine) + kOrderDue);
  calls_.push_back(
      std::make_unique<Call>(Call{order, machine, answerLost, std::move(updateOperation)}));
}

void Operators::pump(Call& call) {
  if (call.pending) {
    const auto& done = world_.operationById(*call.pending).done;
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
  if (isYes(result)) newest_ = std::max(newest_, order.change.number);
}

bool Operators::isIdle() const { return calls_.empty(); }

void Operators::run(Span span) {
  for (Span past{}; past < span; past += kStep) {
    for (const auto& call : calls_) {
      // What was asked of a daemon that ended is never answered.
      if (world_.isUp(call->machine)) pump(*call);
    }
    std::erase_if(calls_, [&](const auto& call) {
      const bool isOver = world_.isUp(call->machine) &&
                          world_.localNow(call->machine) > call->updateOperation.due() + kOrderDue;
      return call->updateOperation.done() || isOver || !world_.isUp(call->machine);
    });
    world_.run(kStep);
  }
}

std::vector<std::string> Operators::violations(const std::string& standing) const {
  std::vector<std::string> violations;
  std::map<std::uint64_t, std::size_t> confirmedOn;
  for (std::size_t i = 0; i < orders_.size(); ++i) {
    const Order& order = orders_[i];
    const std::string name = "order " + std::to_string(i);
    if (order.confirmed && order.refused) violations.push_back(name + " was confirmed and refused");
    if (!order.confirmed) continue;
    if (!confirmedOn.try_emplace(order.change.basis, i).second)
      violations.push_back(name + " was confirmed on the basis of another one that was");
  }
  const SimulatedBody body = decodeSimulatedBody(standing);
  if (body.number < newest_) violations.push_back("what stands is older than what was confirmed");
  for (const TakenChange& taken : body.taken) {
    for (const Order& order : orders_) {
      if (order.change.digest == taken.digest && order.refused)
        violations.push_back("number " + std::to_string(taken.number) + " was refused and stands");
    }
  }
  return violations;
}

}  // namespace quayrill::sim
