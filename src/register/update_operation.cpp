#include "register/update_operation.h"

namespace quayrill {

using namespace std::chrono_literals;

namespace {
// Ours: what a read leaves for the change behind it, and a change for the read that settles it.
constexpr Span kChangeShare = 1500ms;
constexpr Span kSettleShare = 800ms;
}  // namespace

UpdateOperation::UpdateOperation(Update change, std::size_t bodyLimit, Instant deadline)
    : change_(std::move(change)), bodyLimit_(bodyLimit), deadline_(deadline) {}

void UpdateOperation::finish(UpdateResult result, std::string message) {
  done_ = UpdateDone{result, std::move(message)};
}

std::optional<ChangeRequest> UpdateOperation::next(Instant now) {
  if (done_) return std::nullopt;
  if (step_ == Step::Settling)
    return ChangeRequest{{}, kConfigurationKey, true, 0, {}, {}, deadline_};
  const Instant deadline = deadline_ - (step_ == Step::Reading ? kChangeShare : kSettleShare);
  // Whatever was proposed before is ruled out here: by its own result, or by a settled read.
  if (now >= deadline) {
    finish(UpdateResult::NotTaken, "no time is left to change the register");
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
      judge(answer.value);
    else if (step_ == Step::Settling)
      finish(UpdateResult::Unknown, "no majority of register replicas answered after the change");
    else
      finish(UpdateResult::NotTaken, "no majority of register replicas answered");
    return;
  }
  switch (answer.result) {
    case ChangeResult::Chosen:
      return finish(UpdateResult::Taken);
    case ChangeResult::Conflict:
      step_ = Step::Reading;
      return;
    case ChangeResult::NotTried:
      return finish(UpdateResult::NotTaken, "no majority of register replicas answered");
    case ChangeResult::Unknown:
      step_ = Step::Settling;
      return;
  }
}

void UpdateOperation::judge(const RegisterValue& standing) {
  const auto body = change_(standing.body);
  if (!body.ok()) {
    const std::string why(body.status().message());
    switch (body.status().code()) {
      case absl::StatusCode::kInvalidArgument:
        return finish(UpdateResult::Refused, why);
      case absl::StatusCode::kFailedPrecondition:
        return finish(UpdateResult::Stale, why);
      case absl::StatusCode::kResourceExhausted:
        return finish(UpdateResult::TooLarge, why);
      case absl::StatusCode::kUnknown:
        return finish(UpdateResult::Unknown, why);
      default:  // what stands can't be read here
        return finish(UpdateResult::NotTaken, why);
    }
  }
  if (!*body) return finish(UpdateResult::AlreadyTaken);
  if ((*body)->size() > bodyLimit_)
    return finish(UpdateResult::TooLarge,
                  "the configuration would have " + std::to_string((*body)->size()) +
                      " bytes of at most " + std::to_string(bodyLimit_) + ": make it smaller");
  proposed_ = {standing.version, {}, {}, **body};
  step_ = Step::Proposing;
}

std::string UpdateOperation::stateBytes() const {
  std::string bytes(1, static_cast<char>(step_));
  if (step_ == Step::Proposing) bytes += encodeValue(proposed_);
  if (done_) bytes += "done" + std::to_string(static_cast<int>(done_->result));
  return bytes;
}

}  // namespace quayrill
