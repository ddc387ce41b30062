#include "sim/operators.h"

#include <algorithm>
#include <map>
#include <sstream>

namespace quayrill::sim {

using namespace std::chrono_literals;

namespace {
constexpr Span kUpdateTimeout = 3500ms;  // as the daemons give an order
constexpr Span kStep = 5ms;

bool isAcknowledged(UpdateResult result) {
  return result == UpdateResult::Taken || result == UpdateResult::AlreadyTaken;
}
bool isRejected(UpdateResult result) {
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

Update updateFor(const SentChange& submission, std::size_t padding, bool forgetsTaken) {
  return [submission, padding,
          forgetsTaken](const std::string& standing) -> absl::StatusOr<std::optional<std::string>> {
    SimulatedBody body = decodeSimulatedBody(standing);
    if (forgetsTaken) body.taken.clear();
    switch (standingOf(submission, body.taken, body.forgotten, body.number)) {
      case ChangeStanding::Taken:
        return std::nullopt;
      case ChangeStanding::Stale:
        return absl::FailedPreconditionError("another version stands");
      case ChangeStanding::Forgotten:
        return absl::UnknownError("it may have been taken long ago");
      case ChangeStanding::New:
        break;
    }
    body.forgotten =
        std::max(body.forgotten, addTaken(&body.taken, {submission.number, submission.digest}));
    body.number = submission.number;
    body.padding = padding;
    return encodeSimulatedBody(body);
  };
}

std::size_t Operators::create(std::uint64_t basis, std::uint64_t number) {
  const std::string text = "order " + std::to_string(submissions_.size());
  submissions_.push_back({{number, basis, changeDigest("whole", basis, text)}});
  lastAnswers_.emplace_back();
  return submissions_.size() - 1;
}

void Operators::send(std::size_t submission, std::size_t machine, bool answerLost) {
  if (!world_.isUp(machine)) return;
  UpdateOperation updateOperation(
      updateFor(submissions_.at(submission).change, padding_, forgetsTaken_), kBodyLimit,
      world_.localNow(machine) + kUpdateTimeout);
  calls_.push_back(
      std::make_unique<Call>(Call{submission, machine, answerLost, std::move(updateOperation)}));
}

void Operators::advance(Call& call) {
  if (call.pending) {
    const auto& done = world_.operationById(*call.pending).done;
    if (!done) return;
    call.pending.reset();
    call.updateOperation.onAnswer(*done);
  }
  const auto asked = call.updateOperation.next(world_.localNow(call.machine));
  if (!asked) return recordAnswer(call);
  const std::uint64_t id = asked->isRead
                               ? world_.read(call.machine)
                               : world_.change(call.machine, asked->expectedVersion, asked->body);
  if (id != 0) call.pending = id;
}

void Operators::recordAnswer(const Call& call) {
  const UpdateResult result = call.updateOperation.done()->result;
  Submission& submission = submissions_[call.submission];
  submission.confirmed = submission.confirmed || isAcknowledged(result);
  submission.refused = submission.refused || isRejected(result);
  submission.isAnswered =
      submission.isAnswered || (!call.answerLost && (isAcknowledged(result) || isRejected(result)));
  lastAnswers_[call.submission] = result;
  if (isAcknowledged(result))
    newestConfirmed_ = std::max(newestConfirmed_, submission.change.number);
}

bool Operators::isIdle() const { return calls_.empty(); }

void Operators::run(Span span) {
  for (Span past{}; past < span; past += kStep) {
    for (const auto& call : calls_) {
      // What was asked of a daemon that ended is never answered.
      if (world_.isUp(call->machine)) advance(*call);
    }
    std::erase_if(calls_, [&](const auto& call) {
      const bool isOver =
          world_.isUp(call->machine) &&
          world_.localNow(call->machine) > call->updateOperation.due() + kUpdateTimeout;
      return call->updateOperation.done() || isOver || !world_.isUp(call->machine);
    });
    world_.run(kStep);
  }
}

std::vector<std::string> Operators::violations(const std::string& standing) const {
  std::vector<std::string> violations;
  std::map<std::uint64_t, std::size_t> confirmedOn;
  for (std::size_t i = 0; i < submissions_.size(); ++i) {
    const Submission& submission = submissions_[i];
    const std::string name = "order " + std::to_string(i);
    if (submission.confirmed && submission.refused)
      violations.push_back(name + " was confirmed and refused");
    if (!submission.confirmed) continue;
    if (!confirmedOn.try_emplace(submission.change.basis, i).second)
      violations.push_back(name + " was confirmed on the basis of another one that was");
  }
  const SimulatedBody body = decodeSimulatedBody(standing);
  if (body.number < newestConfirmed_)
    violations.push_back("what stands is older than what was confirmed");
  for (const TakenChange& taken : body.taken) {
    for (const Submission& submission : submissions_) {
      if (submission.change.digest == taken.digest && submission.refused)
        violations.push_back("number " + std::to_string(taken.number) + " was refused and stands");
    }
  }
  return violations;
}

}  // namespace quayrill::sim
