#include "agent/core/leases.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace quayrill {

using namespace std::chrono_literals;

namespace {
constexpr Span kTerm = 4s;
constexpr Span kMargin = 500ms;  // clock rates differ by far less than this in one term
constexpr Span kRenewBefore = 2500ms;
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
          Fence{json.value("fence", std::uint64_t{0})}, json.value("released", true)};
}

ChangeRequest Leases::change(const RegisterKey& role, Row& row, Instant now, bool isRead,
                             const LeaseBody& body) {
  row.busy = true;
  row.askedAt = now;
  row.askedFence = body.fence;
  row.releasing = body.released;
  return {{}, role, isRead, row.version, encodeLease(body), {}, now + 1500ms};
}

std::optional<ChangeRequest> Leases::tryAcquire(const RegisterKey& role, Instant now, Fence floor) {
  Row& row = rows_[role];
  if (row.busy || now < row.retryAt) return std::nullopt;
  const bool mine = row.body.holder == self_ && row.body.nonce == nonce_ && !row.body.released;
  if (mine && now < row.validUntil) {
    if (row.validUntil - now > kRenewBefore) return std::nullopt;
    return change(role, row, now, false, {self_, nonce_, row.body.fence, false});
  }
  if (!row.known) return change(role, row, now, true, {});
  const bool free = row.version == 0 || row.body.released || mine;
  if (!free && now - row.seenAt < kTerm + kMargin) {
    row.retryAt = now + 300ms;  // look again: a renewal starts the term anew
    return change(role, row, now, true, {});
  }
  // The other let go before its release was seen here, or its term ran out at the latest kTerm
  // after its last renewal was seen here.
  const bool taken = row.version > 0 && (row.body.holder != self_ || row.body.nonce != nonce_);
  if (taken) {
    const Instant lastAct = row.body.released ? row.seenAt : row.seenAt + kTerm;
    row.validFrom = std::max(row.validFrom, lastAct + leaseSpan_);
  }
  const Fence next = std::max(floor, Fence{row.body.fence.value + 1});
  return change(role, row, now, false, {self_, nonce_, next, false});
}

std::optional<ChangeRequest> Leases::release(const RegisterKey& role, Instant now) {
  Row& row = rows_[role];
  if (row.busy || row.body.released || row.body.holder != self_ || row.body.nonce != nonce_)
    return std::nullopt;
  row.validUntil = now;
  return change(role, row, now, false, {self_, nonce_, row.body.fence, true});
}

void Leases::onDone(const ChangeOutcome& done, Instant now) {
  Row& row = rows_[done.key];
  row.busy = false;
  if (done.result == ChangeResult::NotTried || done.result == ChangeResult::Unknown) {
    row.known = false;
    row.retryAt = now + 300ms;
    return;
  }
  if (!row.known || row.version != done.value.version) row.seenAt = now;
  row.known = true;
  row.version = done.value.version;
  row.body = decodeLease(done.value.body);
  const bool mine = row.body.holder == self_ && row.body.nonce == nonce_ && !row.body.released;
  if (done.result == ChangeResult::Chosen && mine && row.body.fence == row.askedFence &&
      !row.releasing)
    row.validUntil = row.askedAt + kTerm - kMargin;
}

std::optional<Fence> Leases::heldFence(const RegisterKey& role, Span needed, Instant now) const {
  const auto row = rows_.find(role);
  if (row == rows_.end()) return std::nullopt;
  const LeaseBody& body = row->second.body;
  if (body.holder != self_ || body.nonce != nonce_ || body.released || row->second.releasing)
    return std::nullopt;
  if (now < row->second.validFrom || now + needed >= row->second.validUntil) return std::nullopt;
  return body.fence;
}

}  // namespace quayrill
