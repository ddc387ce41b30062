#pragma once
// Changes to the register's body that build on what stands there. A change is known again when it
// comes a second time, also through another daemon and behind later changes.
#include <absl/status/statusor.h>

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace quayrill {

// A change that the register took: the number it gave the configuration, and a digest of all that
// was asked.
struct AppliedChange {
  std::uint64_t version = 0;
  std::string digest;
  bool operator==(const AppliedChange&) const = default;
};

// Ours. A caller is answered clearly for as long as it may send a change again, at the rate at
// which changes may be taken all that time, with as many more as may be under way at once. Behind
// that many others a resend has no clear answer; it is never refused (see RegisterBody::forgotten).
inline constexpr std::size_t kChangesPerSecond = 4;
inline constexpr std::chrono::seconds kResendWindow{120};
inline constexpr std::size_t kMaxConcurrentChanges = 8;
inline constexpr std::size_t kMaxAppliedChanges =
    kChangesPerSecond * static_cast<std::size_t>(kResendWindow.count()) + kMaxConcurrentChanges;
// Newest first, at most kMaxAppliedChanges.
using AppliedChanges = std::deque<AppliedChange>;

// Bytes of a configuration, and of the register's body with what is remembered beside it, so that
// the one takes no room from the other. The peer's frames and the feed of a proxy carry a body
// whole: both allow several times this.
inline constexpr std::size_t kConfigurationLimit = 1 << 20;
inline constexpr std::size_t kAppliedChangeBytes =
    48;  // [number of 20 digits,"digest"] and a comma
inline constexpr std::size_t kRegisterBodyLimit =
    kConfigurationLimit + kMaxAppliedChanges * kAppliedChangeBytes;

// Two changes are the same one if what they build on and what they say are the same.
std::string changeDigest(std::string_view kind, std::uint64_t basis, std::string_view text);
// The number of the newest change that had to be forgotten for it; 0 where none had to be.
std::uint64_t recordApplied(AppliedChanges* taken, AppliedChange change);

// A change as it was sent: the number it gives the configuration, the one it builds on, and its
// digest.
struct SubmittedChange {
  std::uint64_t version = 0;
  std::uint64_t baseVersion = 0;
  std::string digest;
};
enum class ChangeStatus {
  New,        // it builds on what stands
  Applied,    // before
  Stale,      // another version stands; it was never taken
  Forgotten,  // another version stands; whether it was taken before is not remembered
};
// The numbers form a chain: what is remembered names how each one above `forgotten` was made. So
// only a change on top of one below it, with a number not above it, can be taken and forgotten.
ChangeStatus classifyChange(const SubmittedChange& sent, const AppliedChanges& taken,
                            std::uint64_t forgotten, std::uint64_t current);

// What a change makes of the body that stands ("" before the first): a new body, or nothing where
// it holds already. InvalidArgument: it is not allowed. FailedPrecondition: it builds on another
// version than stands, and was never taken. ResourceExhausted: too large. Unknown: it may have been
// taken so long ago that it is forgotten. It is asked anew of every body that is met, so it must
// say the same of the same body.
using Update =
    std::function<absl::StatusOr<std::optional<std::string>>(const std::string& standing)>;

enum class UpdateResult {
  Applied,         // in the register
  AlreadyApplied,  // was in the register before
  Rejected,        // not allowed; never takes effect
  Stale,           // a settled read showed that another version stands; never takes effect
  TooLarge,        // never takes effect
  NotApplied,      // the register did not answer; never takes effect
  Unknown,         // it may be taken or not
};

struct UpdateOutcome {
  UpdateResult result{};
  std::string message;  // why not, with the remedy; "" where it is taken or holds
};

}  // namespace quayrill
