#include "register/update_operation.h"

namespace quayrill {

using namespace std::chrono_literals;

namespace {
// Time kept in reserve: by a read for the update that follows it, and by an update for the read
// that settles it.
constexpr Duration kChangeReserve = 1500ms;
constexpr Duration kSettleReserve = 800ms;
}  // namespace

UpdateOperation::UpdateOperation(Update update, std::size_t bodyLimit, Instant deadline)
    : update_(std::move(update)), bodyLimit_(bodyLimit), deadline_(deadline) {}

void UpdateOperation::finish(UpdateResult result, std::string message) {
  done_ = UpdateOutcome{result, std::move(message)};
}

std::optional<ChangeRequest> UpdateOperation::next(Instant now) {
  if (done_) return std::nullopt;
  if (step_ == Step::Settling)
    return ChangeRequest{{}, kConfigurationKey, true, 0, {}, {}, deadline_};
  const Instant deadline = deadline_ - (step_ == Step::Reading ? kChangeReserve : kSettleReserve);
  // Any earlier proposal is ruled out at this point, by its own result or by a settled read.
  if (now >= deadline) {
    finish(UpdateResult::NotApplied, "no time is left to change the register");
    return std::nullopt;
  }
  if (step_ == Step::Reading)
    return ChangeRequest{{}, kConfigurationKey, true, 0, {}, {}, deadline};
  return ChangeRequest{{}, kConfigurationKey, false, proposed_.version, proposed_.body,
                       {}, deadline};
}

void UpdateOperation::onAnswer(const ChangeOutcome& answer) {
  const bool chosen = answer.result == ChangeResult::Chosen;
  if (step_ != Step::Proposing) {
    if (chosen)
      applyTo(answer.value);
    else if (step_ == Step::Settling)
      finish(UpdateResult::Unknown, "no majority of register replicas answered after the change");
    else
      finish(UpdateResult::NotApplied, "no majority of register replicas answered");
    return;
  }
  switch (answer.result) {
    case ChangeResult::Chosen:
      return finish(UpdateResult::Applied);
    case ChangeResult::Conflict:
      step_ = Step::Reading;
      return;
    case ChangeResult::NotTried:
      return finish(UpdateResult::NotApplied, "no majority of register replicas answered");
    case ChangeResult::Unknown:
      step_ = Step::Settling;
      return;
  }
}

void UpdateOperation::applyTo(const RegisterValue& current) {
  const auto body = update_(current.body);
  if (!body.ok()) {
    const std::string reason(body.status().message());
    switch (body.status().code()) {
      case absl::StatusCode::kInvalidArgument:
        return finish(UpdateResult::Rejected, reason);
      case absl::StatusCode::kFailedPrecondition:
        return finish(UpdateResult::Stale, reason);
      case absl::StatusCode::kResourceExhausted:
        return finish(UpdateResult::TooLarge, reason);
      case absl::StatusCode::kUnknown:
        return finish(UpdateResult::Unknown, reason);
      default:  // this daemon can't read the current body
        return finish(UpdateResult::NotApplied, reason);
    }
  }
  if (!*body) return finish(UpdateResult::AlreadyApplied);
  if ((*body)->size() > bodyLimit_)
    return finish(UpdateResult::TooLarge,
                  "the configuration would have " + std::to_string((*body)->size()) +
                      " bytes of at most " + std::to_string(bodyLimit_) + ": make it smaller");
  proposed_ = {current.version, {}, {}, **body};
  step_ = Step::Proposing;
}

std::string UpdateOperation::stateBytes() const {
  std::string bytes(1, static_cast<char>(step_));
  if (step_ == Step::Proposing) bytes += encodeValue(proposed_);
  if (done_) bytes += "done" + std::to_string(static_cast<int>(done_->result));
  return bytes;
}

}  // namespace quayrill
