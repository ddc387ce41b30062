#pragma once
// Leases on leader roles. Each lease is a value in the register; another daemon takes it over only
// after it has observed the whole term pass without a renewal.
#include <map>
#include <optional>
#include <string>

#include "base/clock.h"
#include "register/proposer.h"

namespace quayrill {

// The content of a lease in the register.
struct LeaseBody {
  Address holder;
  std::uint64_t nonce = 0;  // identifies the holder's process
  FencingToken fence;
  bool released = false;
};
// JSON. A body that can't be decoded counts as a released lease without holder.
std::string encodeLease(const LeaseBody& lease);
LeaseBody decodeLease(const std::string& body);

// The leases that this daemon holds or tries to acquire. The caller runs the returned register
// operations and reports their outcomes to onDone.
class Leases {
 public:
  // A lease taken over from another process becomes valid only when `leaseSpan` has passed since
  // that process could last have acted.
  Leases(Address self, std::uint64_t nonce, Duration leaseSpan = {})
      : self_(std::move(self)), nonce_(nonce), leaseSpan_(leaseSpan) {}

  // The next register operation towards acquiring or renewing the lease, if there is one to start
  // now. A new fence is at least `floor`, so that fences increase even if the register was founded
  // again and its leases were lost.
  std::optional<ChangeRequest> tryAcquire(const RegisterKey& role, Instant now,
                                          FencingToken floor = {});
  // The register operation that releases the lease, if this process holds it.
  std::optional<ChangeRequest> release(const RegisterKey& role, Instant now);
  // Takes the outcome of an operation that was returned by tryAcquire or release.
  void onDone(const ChangeOutcome& done, Instant now);
  // The fence if the lease is certain to stay valid for another `needed`.
  std::optional<FencingToken> heldFence(const RegisterKey& role, Duration needed,
                                        Instant now) const;

 private:
  // What is known of the lease on one role. The holder counts the term from before it sent the
  // change, and a rival counts it from after it saw the change, so two terms never overlap.
  struct Row {
    bool known = false;  // `version` and `body` are the newest known to be chosen
    std::uint64_t version = 0;
    LeaseBody body;
    Instant seenAt;      // when this version was first seen here
    Instant validUntil;  // set only while this process holds the lease
    Instant validFrom;   // never decreases; leaseSpan after an earlier holder could last have acted
    bool hasOperation = false;
    bool releasing = false;
    Instant requestedAt;
    FencingToken requestedFence;
    Instant retryAt;
  };
  ChangeRequest startOperation(const RegisterKey& role, Row& row, Instant now, bool isRead,
                               const LeaseBody& body);
  Address self_;
  std::uint64_t nonce_;
  Duration leaseSpan_;
  std::map<RegisterKey, Row> rows_;
};

}  // namespace quayrill
