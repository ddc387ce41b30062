#include "agent/core/leases.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace quayrill {

using namespace std::chrono_literals;

namespace {
constexpr Duration kLeaseTerm = 4s;
constexpr Duration kClockDriftMargin =
    500ms;  // far more than the drift between two clocks in one term
constexpr Duration kRenewBefore = 2500ms;
}  // namespace

std::string encodeLease(const LeaseBody& lease) {
  return nlohmann::json{{"holder", lease.holder.value},
                        {"nonce", lease.nonce},
                        {"fence", lease.fence.value},
                        {"released", lease.released}}
      .dump();
}

LeaseBody decodeLease(const std::string& body) {
  const auto json = nlohmann::json::parse(body, nullptr, false);
  if (!json.is_object()) return {{}, 0, {}, true};
  return {Address{json.value("holder", "")}, json.value("nonce", std::uint64_t{0}),
          FencingToken{json.value("fence", std::uint64_t{0})}, json.value("released", true)};
}

ChangeRequest Leases::startOperation(const RegisterKey& role, Row& row, Instant now, bool isRead,
                                     const LeaseBody& body) {
  row.hasOperation = true;
  row.requestedAt = now;
  row.requestedFence = body.fence;
  row.releasing = body.released;
  return {{}, role, isRead, row.version, encodeLease(body), {}, now + 1500ms};
}

std::optional<ChangeRequest> Leases::tryAcquire(const RegisterKey& role, Instant now,
                                                FencingToken floor) {
  Row& row = rows_[role];
  if (row.hasOperation || now < row.retryAt) return std::nullopt;
  const bool isOurs = row.body.holder == self_ && row.body.nonce == nonce_ && !row.body.released;
  if (isOurs && now < row.validUntil) {
    if (row.validUntil - now > kRenewBefore) return std::nullopt;
    return startOperation(role, row, now, false, {self_, nonce_, row.body.fence, false});
  }
  if (!row.known) return startOperation(role, row, now, true, {});
  const bool isAvailable = row.version == 0 || row.body.released || isOurs;
  if (!isAvailable && now - row.seenAt < kLeaseTerm + kClockDriftMargin) {
    row.retryAt = now + 300ms;  // read again: a renewal restarts the term
    return startOperation(role, row, now, true, {});
  }
  // The other process stopped acting before its release was seen here, or at the latest kLeaseTerm
  // after its last renewal was seen here.
  const bool isTakeover = row.version > 0 && (row.body.holder != self_ || row.body.nonce != nonce_);
  if (isTakeover) {
    const Instant stoppedAt = row.body.released ? row.seenAt : row.seenAt + kLeaseTerm;
    row.validFrom = std::max(row.validFrom, stoppedAt + leaseSpan_);
  }
  const FencingToken next = std::max(floor, FencingToken{row.body.fence.value + 1});
  return startOperation(role, row, now, false, {self_, nonce_, next, false});
}

std::optional<ChangeRequest> Leases::release(const RegisterKey& role, Instant now) {
  Row& row = rows_[role];
  if (row.hasOperation || row.body.released || row.body.holder != self_ || row.body.nonce != nonce_)
    return std::nullopt;
  row.validUntil = now;
  return startOperation(role, row, now, false, {self_, nonce_, row.body.fence, true});
}

void Leases::onDone(const ChangeOutcome& done, Instant now) {
  Row& row = rows_[done.key];
  row.hasOperation = false;
  if (done.result == ChangeResult::NotTried || done.result == ChangeResult::Unknown) {
    row.known = false;
    row.retryAt = now + 300ms;
    return;
  }
  if (!row.known || row.version != done.value.version) row.seenAt = now;
  row.known = true;
  row.version = done.value.version;
  row.body = decodeLease(done.value.body);
  const bool isOurs = row.body.holder == self_ && row.body.nonce == nonce_ && !row.body.released;
  if (done.result == ChangeResult::Chosen && isOurs && row.body.fence == row.requestedFence &&
      !row.releasing)
    row.validUntil = row.requestedAt + kLeaseTerm - kClockDriftMargin;
}

std::optional<FencingToken> Leases::heldFence(const RegisterKey& role, Duration needed,
                                              Instant now) const {
  const auto row = rows_.find(role);
  if (row == rows_.end()) return std::nullopt;
  const LeaseBody& body = row->second.body;
  if (body.holder != self_ || body.nonce != nonce_ || body.released || row->second.releasing)
    return std::nullopt;
  if (now < row->second.validFrom || now + needed >= row->second.validUntil) return std::nullopt;
  return body.fence;
}

}  // namespace quayrill
