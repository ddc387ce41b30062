#pragma once
// Changes to the register's body that build on what stands there. A change is known again when it
// comes a second time, also through another daemon and behind later changes.
#include <absl/status/statusor.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace quayrill {

// A change that the register took: the number it gave the spec, and a digest of all that was asked.
struct TakenChange {
  std::uint64_t number = 0;
  std::string digest;
  bool operator==(const TakenChange&) const = default;
};

// Newest first, at most kTakenKept. A change that comes again behind that many others is judged
// as a new one.
inline constexpr std::size_t kTakenKept = 64;
using TakenChanges = std::deque<TakenChange>;

// Two changes are the same one if what they build on and what they say are the same.
std::string changeDigest(std::string_view kind, std::uint64_t basis, std::string_view text);
bool hasTaken(const TakenChanges& taken, const std::string& digest);
void addTaken(TakenChanges* taken, TakenChange change);

// What a change makes of the body that stands ("" before the first): a new body, or nothing where
// it holds already. InvalidArgument: it is not allowed. FailedPrecondition: it builds on another
// version than stands. It is asked anew of every body that is met, so it must say the same of the
// same body.
using Amendment =
    std::function<absl::StatusOr<std::optional<std::string>>(const std::string& standing)>;

enum class AmendResult {
  Taken,     // in the register
  Holds,     // was in the register before
  Refused,   // not allowed; never takes effect
  Stale,     // a settled read showed that another version stands; never takes effect
  TooLarge,  // never takes effect
  NotTaken,  // the register did not answer; never takes effect
  Unknown,   // it may be taken or not
};

struct AmendDone {
  AmendResult result{};
  std::string message;  // why not, with the remedy; "" where it is taken or holds
};

}  // namespace quayrill
