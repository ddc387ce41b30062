#pragma once
// Holds on duties: a register value each, taken over only after its term was watched out.
#include <map>
#include <optional>
#include <string>

#include "base/clock.h"
#include "register/proposer.h"

namespace quayrill {

struct LeaseBody {
  Address holder;
  std::uint64_t nonce = 0;  // the holder's life
  Fence fence;
  bool released = false;
};
std::string encodeLease(const LeaseBody& lease);
LeaseBody decodeLease(const std::string& body);

class Leases {
 public:
  // A lease taken from another life counts only once `leaseSpan` has passed since that one could
  // last have acted.
  Leases(Address self, std::uint64_t nonce, Span leaseSpan = {})
      : self_(std::move(self)), nonce_(nonce), leaseSpan_(leaseSpan) {}

  // The register change that brings this daemon nearer to holding the leader role, if one is due
  // now. A fence newly taken is at least `floor`, so that it rises even where the register was
  // founded again and the holds in it are lost.
  std::optional<ChangeRequest> tryAcquire(const RegisterKey& role, Instant now, Fence floor = {});
  std::optional<ChangeRequest> release(const RegisterKey& role, Instant now);
  void onDone(const ChangeOutcome& done, Instant now);
  // The fence, while the lease is sure to last for `needed` more.
  std::optional<Fence> heldFence(const RegisterKey& role, Span needed, Instant now) const;

 private:
  // validUntil counts from before the change was sent, and a rival counts the whole term from
  // after it saw the change: so two terms never overlap.
  struct Row {
    bool known = false;
    std::uint64_t version = 0;
    LeaseBody body;
    Instant seenAt;      // when this version was first seen here
    Instant validUntil;  // only when held by this life
    Instant validFrom;   // never falls; an earlier holder can't have acted in the lease before it
    bool busy = false;
    bool releasing = false;
    Instant askedAt;
    Fence askedFence;
    Instant retryAt;
  };
  ChangeRequest change(const RegisterKey& role, Row& row, Instant now, bool isRead,
                       const LeaseBody& body);
  Address self_;
  std::uint64_t nonce_;
  Span leaseSpan_;
  std::map<RegisterKey, Row> rows_;
};

}  // namespace quayrill
