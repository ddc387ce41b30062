#pragma once
// Updates of the configuration in the register that are conditional on its current version. An
// update that is sent again is recognized and not applied twice, also if it arrives through another
// daemon and after later updates.
#include <absl/status/statusor.h>

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace quayrill {

// A change that was applied to the register: the version that it gave the configuration, and a
// digest of the whole request.
struct AppliedChange {
  std::uint64_t version = 0;
  std::string digest;
  bool operator==(const AppliedChange&) const = default;
};

// How many applied changes are remembered: those of kResendWindow, during which a client may resend
// a change, at the highest supported rate, and those in flight at once. A change that is resent
// after more than that many others gets the answer "unknown"; it is never rejected (see
// RegisterBody::forgottenUpTo).
inline constexpr std::size_t kChangesPerSecond = 4;
inline constexpr std::chrono::seconds kResendWindow{120};
inline constexpr std::size_t kMaxConcurrentChanges = 8;
inline constexpr std::size_t kMaxAppliedChanges =
    kChangesPerSecond * static_cast<std::size_t>(kResendWindow.count()) + kMaxConcurrentChanges;
// Newest first; at most kMaxAppliedChanges.
using AppliedChanges = std::deque<AppliedChange>;

// The largest configuration, and the largest body of the register, which also has room for all
// remembered changes. Frames between daemons and the feed of a proxy carry a whole body; both allow
// several times this size.
inline constexpr std::size_t kConfigurationLimit = 1 << 20;
// One remembered change in the body: [version of 20 digits,"digest"] and a comma.
inline constexpr std::size_t kAppliedChangeBytes = 48;
inline constexpr std::size_t kRegisterBodyLimit =
    kConfigurationLimit + kMaxAppliedChanges * kAppliedChangeBytes;

// Identifies a change by its kind, the version that it builds on, and its text. Equal changes are
// taken for resends of each other.
std::string changeDigest(std::string_view kind, std::uint64_t baseVersion, std::string_view text);
// Adds the newest change and drops the oldest beyond kMaxAppliedChanges. Returns the version of the
// newest dropped one, or 0.
std::uint64_t recordApplied(AppliedChanges* applied, AppliedChange change);

// A change as a client submits it: the version that it gives the configuration, the version that it
// builds on, and its digest.
struct SubmittedChange {
  std::uint64_t version = 0;
  std::uint64_t baseVersion = 0;
  std::string digest;
};
// How a submitted change relates to the current version.
enum class ChangeStatus {
  New,        // it builds on the current version
  Applied,    // it was applied before
  Stale,      // it builds on another version and was never applied
  Forgotten,  // it builds on another version; whether it was applied is no longer remembered
};
// `forgottenUpTo` is the highest version whose change is no longer remembered. Versions form a
// chain, and the remembered changes account for each version above `forgottenUpTo`. So a change can
// only have been applied and forgotten if it builds on a version below that one and does not lead
// above it.
ChangeStatus classifyChange(const SubmittedChange& submitted, const AppliedChanges& applied,
                            std::uint64_t forgottenUpTo, std::uint64_t current);

// Computes the new body of the register from the current one ("" if it was never written). nullopt:
// the change is in effect already. Errors: InvalidArgument, the change is not allowed;
// FailedPrecondition, it builds on another version than the current one and was never applied;
// ResourceExhausted, the result is too large; Unknown, it may have been applied so long ago that it
// is forgotten. It is called again for each body that is read, so it must be a pure function.
using Update =
    std::function<absl::StatusOr<std::optional<std::string>>(const std::string& current)>;

// How an update ended. After any result but Applied, AlreadyApplied and Unknown it is certain that
// the update never takes effect.
enum class UpdateResult {
  Applied,         // it is in the register
  AlreadyApplied,  // it was in the register before
  Rejected,        // it is not allowed
  Stale,           // it builds on another version than the current one, as a settled read showed
  TooLarge,        // the body would exceed the limit
  NotApplied,      // the register did not answer
  Unknown,         // it may have been applied or not
};

// The result of an update, as it is reported to the client.
struct UpdateOutcome {
  UpdateResult result{};
  std::string message;  // why it is not in effect, with the remedy; "" if it is
};

}  // namespace quayrill
