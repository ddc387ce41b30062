#include "sim/operators.h"

#include <algorithm>
#include <map>
#include <sstream>

namespace quayrill::sim {

using namespace std::chrono_literals;

namespace {
constexpr Duration kUpdateTimeout = 3500ms;  // the same as in the daemons
constexpr Duration kStep = 5ms;

bool isAcknowledged(UpdateResult result) {
  return result == UpdateResult::Applied || result == UpdateResult::AlreadyApplied;
}
bool isRefused(UpdateResult result) {
  return result == UpdateResult::Rejected || result == UpdateResult::Stale ||
         result == UpdateResult::TooLarge;
}
}  // namespace

std::string encodeSimulatedBody(const SimulatedBody& body) {
  std::ostringstream text;
  text << body.number << ' ' << body.forgotten << ' ' << body.taken.size();
  for (const AppliedChange& change : body.taken)
    text << ' ' << change.version << ' ' << change.digest;
  text << '\n' << std::string(body.padding, static_cast<char>('a' + body.number % 26));
  return text.str();
}

SimulatedBody decodeSimulatedBody(const std::string& text) {
  SimulatedBody body;
  std::istringstream input(text.substr(0, text.find('\n')));
  std::size_t count = 0;
  input >> body.number >> body.forgotten >> count;
  for (std::size_t i = 0; i < count; ++i) {
    AppliedChange change;
    input >> change.version >> change.digest;
    body.taken.push_back(std::move(change));
  }
  return body;
}

Update updateFor(const SubmittedChange& change, std::size_t padding, bool forgetsTaken) {
  return [change, padding, forgetsTaken](
             const std::string& presentBody) -> absl::StatusOr<std::optional<std::string>> {
    SimulatedBody body = decodeSimulatedBody(presentBody);
    if (forgetsTaken) body.taken.clear();
    switch (classifyChange(change, body.taken, body.forgotten, body.number)) {
      case ChangeStatus::Applied:
        return std::nullopt;
      case ChangeStatus::Stale:
        return absl::FailedPreconditionError("the register holds another version");
      case ChangeStatus::Forgotten:
        return absl::UnknownError("the change may have been applied before its record was dropped");
      case ChangeStatus::New:
        break;
    }
    body.forgotten =
        std::max(body.forgotten, recordApplied(&body.taken, {change.version, change.digest}));
    body.number = change.version;
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
      updateFor(submissions_.at(submission).change, padding_, forgetsTaken_), kRegisterBodyLimit,
      world_.localNow(machine) + kUpdateTimeout);
  calls_.push_back(
      std::make_unique<Call>(Call{submission, machine, answerLost, std::move(updateOperation)}));
}

void Operators::advance(Call& call) {
  if (call.pending) {
    const auto& result = world_.operationById(*call.pending).done;
    if (!result) return;
    call.pending.reset();
    call.updateOperation.onAnswer(*result);
  }
  const auto request = call.updateOperation.next(world_.localNow(call.machine));
  if (!request) return recordAnswer(call);
  const std::uint64_t id =
      request->isRead ? world_.read(call.machine)
                      : world_.change(call.machine, request->expectedVersion, request->body);
  if (id != 0) call.pending = id;
}

void Operators::recordAnswer(const Call& call) {
  const UpdateResult result = call.updateOperation.done()->result;
  Submission& submission = submissions_[call.submission];
  submission.confirmed = submission.confirmed || isAcknowledged(result);
  submission.refused = submission.refused || isRefused(result);
  submission.isAnswered =
      submission.isAnswered || (!call.answerLost && (isAcknowledged(result) || isRefused(result)));
  lastAnswers_[call.submission] = result;
  if (isAcknowledged(result))
    newestConfirmed_ = std::max(newestConfirmed_, submission.change.version);
}

bool Operators::isIdle() const { return calls_.empty(); }

void Operators::run(Duration span) {
  for (Duration elapsed{}; elapsed < span; elapsed += kStep) {
    for (const auto& call : calls_) {
      // A call to a daemon that is down is never answered.
      if (world_.isUp(call->machine)) advance(*call);
    }
    std::erase_if(calls_, [&](const auto& call) {
      const bool isOverdue =
          world_.isUp(call->machine) &&
          world_.localNow(call->machine) > call->updateOperation.deadline() + kUpdateTimeout;
      return call->updateOperation.done() || isOverdue || !world_.isUp(call->machine);
    });
    world_.run(kStep);
  }
}

std::vector<std::string> Operators::violations(const std::string& presentBody) const {
  std::vector<std::string> violations;
  std::map<std::uint64_t, std::size_t> confirmedByBasis;
  for (std::size_t i = 0; i < submissions_.size(); ++i) {
    const Submission& submission = submissions_[i];
    const std::string name = "order " + std::to_string(i);
    if (submission.confirmed && submission.refused)
      violations.push_back(name + " was confirmed and refused");
    if (!submission.confirmed) continue;
    if (!confirmedByBasis.try_emplace(submission.change.baseVersion, i).second)
      violations.push_back(name + " was confirmed on the basis of another one that was");
  }
  const SimulatedBody body = decodeSimulatedBody(presentBody);
  if (body.number < newestConfirmed_)
    violations.push_back("what stands is older than what was confirmed");
  for (const AppliedChange& applied : body.taken) {
    for (const Submission& submission : submissions_) {
      if (submission.change.digest == applied.digest && submission.refused)
        violations.push_back("number " + std::to_string(applied.version) +
                             " was refused and stands");
    }
  }
  return violations;
}

}  // namespace quayrill::sim
