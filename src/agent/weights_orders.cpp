// Rollout of weights: runs the rollout logic of each model and sends its orders to the servers.
#include "agent/agent.h"
#include "net/spawn.h"

namespace quayrill {

using namespace std::chrono_literals;

namespace {
constexpr Duration kOrderTimeout = 1500ms;  // counted from the decision, not from the send
// Delay between announcing a server's switch to all daemons and ordering it. Prompts queued at the
// server can start meanwhile; the server rejects those that have not started when the order comes.
constexpr Duration kNoticeInterval = 400ms;
constexpr Duration kLeaseMargin = 300ms;  // minimum by which the lease outlasts an order
constexpr Duration kReportTimeout = 700ms;

std::string rolloutRole(const ModelName& model) { return "orders/" + model.value; }
}  // namespace

RegisterKey rolloutLeaseKey(const ModelName& model) {
  return RegisterKey{"hold/" + rolloutRole(model)};
}

// The nonce makes the owner unique among all runs of all daemons.
std::string Agent::fenceOwner() const {
  const std::string name =
      settings_.nodeName.empty() ? settings_.peerAddress.value : settings_.nodeName;
  return name + "/" + std::to_string(core_->settings().nonce);
}

RolloutView Agent::rolloutView(const ModelName& model, Instant now) const {
  RolloutView view;
  if (const WeightsHistory* history = core_->weights().of(model)) view.weights = *history;
  for (const auto& [name, row] : servers_) {
    if (!row.state || row.state->model != model) continue;
    const ServerState state = stateOf(row, now);
    view.servers.push_back(
        {name, state.identity, state.weights, state.healthy && !state.leaving, state.switching});
  }
  const auto confirmedAt = core_->freshness().confirmedAt();
  if (confirmedAt && now - *confirmedAt < settings_.stalenessLimit)
    view.fence = core_->heldFence(rolloutLeaseKey(model), kOrderTimeout + kLeaseMargin, now);
  return view;
}

void Agent::tickRollouts(Instant now) {
  core_->forgetWeightsBefore(now - settings_.rolloutTimeLimit);
  if (!configuration_) return;
  std::erase_if(rollouts_,
                [&](const auto& row) { return !configuration_->weights.contains(row.first); });
  for (const auto& [model, newest] : configuration_->weights) {
    // No extra wait: a new lease takes effect only after the previous one must have expired.
    const RolloutSettings rolloutSettings{settings_.rolloutTimeLimit, Duration{}};
    Rollout& rollout = rollouts_.try_emplace(model, model, rolloutSettings).first->second;
    const RolloutView view = rolloutView(model, now);
    const RegisterKey key = rolloutLeaseKey(model);
    AgentEffects effects;
    const auto held = core_->heldFence(key, Duration{}, now);
    if (held && rollout.isFencedOff(*held)) {
      // The next holder counts its waiting time from the release, so none of this daemon's orders
      // may still be in flight.
      if (!rollout.hasOpenOrder()) core_->releaseLease(key, now, &effects);
    } else if (rollout.wantsLease(view)) {
      Instant& outdatedSince = outdatedSince_.try_emplace(model, now).first->second;
      // The rollout is not overdue as long as some daemon reports on its orders.
      const Instant lastActivity =
          std::max(outdatedSince, core_->notes().lastActivity(model).value_or(outdatedSince));
      if (held || core_->mayTakeOverRole(rolloutRole(model), now - lastActivity, now))
        core_->tryAcquireLease(key, now, &effects);
    } else {
      outdatedSince_.erase(model);
      if (held && rollout.isIdle()) core_->releaseLease(key, now, &effects);
    }
    apply(std::move(effects));
    RolloutEffects rolloutEffects;
    rollout.onTick(view, now, &rolloutEffects);
    applyRollout(model, rolloutEffects, now);
  }
}

void Agent::applyRollout(const ModelName& model, const RolloutEffects& rolloutEffects,
                         Instant now) {
  AgentEffects effects;
  for (const ServerNote& note : rolloutEffects.notes) core_->broadcastNote(note, now, &effects);
  apply(std::move(effects));
  for (const WeightsOrder& order : rolloutEffects.orders)
    spawnTask(io_, "a weights order", sendWeightsOrder(model, order, now));
  for (const ReportRequest& request : rolloutEffects.reportRequests)
    spawnTask(io_, "a report of weights", requestWeightsReport(model, request));
}

awaitable<void> Agent::sendWeightsOrder(ModelName model, WeightsOrder order, Instant decidedAt) {
  // Local variables, because GCC 12 destroys aggregate temporaries in a co_await expression twice.
  const Address address{order.server.value};
  const std::string owner = fenceOwner();
  co_await pauseFor(kNoticeInterval);
  // If the process was suspended since the decision, the order has less time left or is not sent.
  const Duration timeout = kOrderTimeout - (BootClock::now() - decidedAt);
  OrderAnswer answer = OrderAnswer::Unclear;
  if (timeout > Duration{}) {
    ++counters_.weightOrders;
    answer = co_await dialect_.orderWeights(address, settings_.peerAddress, order.identity, model,
                                            order.weights, owner, order.fence, timeout);
  }
  decisions_.add(order.server.value, nlohmann::json{{"decision", "weights"},
                                                    {"server", order.server.value},
                                                    {"weights", order.weights.value},
                                                    {"fence", order.fence.value},
                                                    {"daemon", settings_.peerAddress.value},
                                                    {"result", orderAnswerName(answer)}}
                                         .dump());
  const auto rollout = rollouts_.find(model);
  if (rollout == rollouts_.end()) co_return;
  const Instant now = BootClock::now();
  RolloutEffects rolloutEffects;
  rollout->second.onOrderAnswer(order, answer, now, &rolloutEffects);
  applyRollout(model, rolloutEffects, now);
}

awaitable<void> Agent::requestWeightsReport(ModelName model, ReportRequest request) {
  const Instant requestedAt = BootClock::now();
  const Address address{request.server.value};
  const auto report =
      co_await dialect_.readWeights(address, settings_.peerAddress, model, kReportTimeout);
  const auto rollout = rollouts_.find(model);
  if (rollout == rollouts_.end()) co_return;
  const Instant now = BootClock::now();
  RolloutEffects rolloutEffects;
  rollout->second.onReport(request,
                           report.ok() ? std::optional<WeightsReport>(*report) : std::nullopt,
                           requestedAt, now, &rolloutEffects);
  applyRollout(model, rolloutEffects, now);
}

}  // namespace quayrill
