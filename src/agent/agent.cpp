#include "agent/agent.h"

#include <glog/logging.h>

#include <random>

namespace quayrill {

using namespace std::chrono_literals;

namespace {
constexpr Span kTick = 50ms;
constexpr Span kFeedEvery = 100ms;
constexpr Span kPollEvery = 400ms;
constexpr Span kListDue = 800ms;
constexpr Span kSoundSpan = 1500ms;
constexpr Span kNamedLongAgo = 24h;
constexpr char kDiskClosed[] =
    "the data folder can't be written now: no register copy votes here; make room, it is tried "
    "again each second";
AgentBoot coreBoot(const Boot& boot) {
  std::random_device entropy;
  const std::uint64_t nonce = (static_cast<std::uint64_t>(entropy()) << 32) | entropy();
  AgentBoot core{boot.cohort,       boot.zone,     boot.seeds,        boot.callers.value, nonce | 1,
                 boot.copiesWanted, boot.mayFound, boot.foundingWait, boot.leaseSpan};
  core.listEvery = boot.listEvery;
  core.listCallsPerS = boot.listCallsPerS;
  core.losses = boot.losses;
  core.topology = boot.topology;
  core.catchUpSpan = boot.catchUp;
  return core;
}
}  // namespace

Agent::Agent(Boot boot, Dialect dialect) : boot_(std::move(boot)), dialect_(std::move(dialect)) {}

absl::Status Agent::start() {
  std::optional<std::map<std::string, std::string>> kept;
  if (!boot_.dataFolder.empty()) {
    disk_ = std::make_unique<Disk>(DiskBoot{boot_.dataFolder, boot_.diskDrag},
                                   [this](Disk::Rows rows) { takeDisk(std::move(rows)); });
    auto opened = disk_->open();
    if (!opened.ok()) return opened.status();
    kept = std::move(*opened);
    if (!kept) LOG(ERROR) << kDiskClosed;
  }
  core_.emplace(coreBoot(boot_), kept);
  link_ = std::make_unique<CohortLink>(io_, boot_.cohort, boot_.cohortVia, [this](Envelope e) {
    AgentEffects effects;
    core_->onMessage(e, BootClock::now(), &effects);
    apply(std::move(effects));
  });
  if (auto status = link_->start(); !status.ok()) return status;
  HttpServerBoot serverBoot;
  serverBoot.listen = boot_.operators;
  serverBoot.bodyLimit = 4 << 20;
  operators_ = std::make_unique<HttpServer>(
      io_, serverBoot, [this](Circuit&, HttpRequest& request) { return handle(request); });
  if (auto status = operators_->start(); !status.ok()) return status;
  AgentEffects effects;
  effects.copyWork = core_->start();
  apply(std::move(effects));
  asio::co_spawn(io_, tickLoop(), asio::detached);
  return absl::OkStatus();
}

void Agent::run() { io_.run(); }
void Agent::stop() { io_.stop(); }
void Agent::beginLeaving() {
  asio::post(io_, [this] { core_->setLeaving(true); });
}

void Agent::takeSettings(const Boot& changed) {
  asio::post(io_, [this, changed] {
    boot_.platform = changed.platform;
    core_->setListLimits(changed.listEvery, changed.listCallsPerS);
    if (core_->boot().seeds != changed.seeds) core_->setSeeds(changed.seeds);
  });
}

// Called on the disk's thread.
void Agent::takeDisk(Disk::Rows rows) {
  asio::post(io_, [this, rows = std::move(rows)] {
    AgentEffects effects;
    if (!core_->onDiskReadAnew(rows, &effects)) {
      LOG(ERROR) << "the data folder is not understood: start with an empty one";
      return;
    }
    LOG(INFO) << "data folder read anew: register copy may vote again";
    disk_->resume();
    apply(std::move(effects));
  });
}

void Agent::apply(AgentEffects effects) {
  for (const Envelope& envelope : effects.sends) link_->send(envelope);
  for (CopyWork& work : effects.copyWork) {
    auto answer = std::make_shared<std::optional<Envelope>>(std::move(work.answer));
    disk_->write(std::move(work.writes), [this, answer](absl::Status status) {
      asio::post(io_, [this, answer, status] {
        core_->onCopyWorkDone();
        if (!status.ok()) {
          ++counters_.diskDefects;
          if (core_->isWritable())
            LOG(ERROR) << "register copy stops voting: "
                       << message({DefectKind::DiskDefect, status.ToString()});
          core_->onDiskDefect();
        } else if (*answer) {
          link_->send(**answer);
        }
      });
    });
  }
  for (const ChangeDone& done : effects.done) {
    const auto waiter = waiters_.find(done.operation);
    if (waiter == waiters_.end()) continue;
    const Waiter wake = std::move(waiter->second);
    waiters_.erase(waiter);
    wake(done);
  }
  takeSpec();
}

void Agent::takeSpec() {
  const RegisterValue& value = core_->freshness().spec().value;
  if (value.version == specVersion_) {
    confirmedThen_ = core_->freshness().confirmedAt();
    return;
  }
  auto parsed = dialect_.readSpec(value.body);
  if (!parsed.ok()) {
    // Checked before it was proposed, so only a newer build's spec can get here.
    LOG_EVERY_N(ERROR, 1000) << "spec " << value.version
                             << " is not understood: " << parsed.status().message()
                             << ": upgrade this daemon";
    return;
  }
  core_->nameWeights(parsed->weights, specVersion_ > 0 ? confirmedThen_ : std::nullopt);
  spec_ = std::move(*parsed);
  specVersion_ = value.version;
  ++counters_.specChanges;
  LOG(INFO) << "spec " << specVersion_ << " in force";
}

void Agent::feed(Instant now) {
  if (!feed_ || (now < nextFeed_ && fedSpec_ == specVersion_)) return;
  nextFeed_ = now + kFeedEvery;
  feed_(snapshot(fedSpec_, now), now);
  fedSpec_ = specVersion_;
}

awaitable<void> Agent::tickLoop() {
  asio::steady_timer timer(io_);
  for (;;) {
    const Instant now = BootClock::now();
    AgentEffects effects;
    core_->onTick(now, &effects);
    handingOver_ = core_->isHandingOver(now);
    if (effects.readList) asio::co_spawn(io_, readList(), asio::detached);
    apply(std::move(effects));
    takeList();
    tickOrders(now);
    feed(now);
    timer.expires_after(kTick);
    ErrorCode code;
    co_await timer.async_wait(into(code));
  }
}

awaitable<void> Agent::readList() {
  const Instant askedAt = BootClock::now();
  std::size_t calls = 0;
  auto listed = co_await dialect_.readList(boot_.platform, boot_.cohort, kListDue, &calls);
  AgentEffects effects;
  counters_.listCalls += calls;
  if (listed.ok()) {
    core_->takeList(std::move(*listed), askedAt, calls, BootClock::now(), &effects);
  } else {
    const bool overRate = absl::IsResourceExhausted(listed.status());
    core_->onListFailed(calls, overRate, BootClock::now());
  }
  apply(std::move(effects));
  takeList();
}

// The list may have come from the platform or from another daemon.
void Agent::takeList() {
  if (core_->list().readAt() == takenList_) return;
  takenList_ = core_->list().readAt();
  std::set<ServerName> names;
  for (const ListRow& server : core_->list().rows()) {
    names.insert(server.name);
    const auto [row, fresh] = servers_.try_emplace(server.name);
    if (!fresh && !row->second.listed.leaving && server.leaving)
      LOG(INFO) << "server " << server.name.value << " is leaving";
    row->second.listed = server;
    if (server.told) takeTold(row->second, *takenList_);
    if (!fresh) continue;
    row->second.life = ++pollLife_;
    LOG(INFO) << "server " << server.name.value << " listed";
    if (!dialect_.readServer) continue;
    asio::co_spawn(io_, pollLoop(server.name, pollLife_), asio::detached);
  }
  std::erase_if(servers_, [&](const auto& row) { return !names.contains(row.first); });
}

// What the list itself tells of a server stands in for its own word.
void Agent::takeTold(Polled& row, Instant readAt) const {
  const ListRow& listed = row.listed;
  ServerState state;
  state.name = listed.name;
  state.service = listed.service;
  state.identity = listed.identity;
  state.model = listed.model;
  state.weights = listed.weights;
  state.slots = listed.slots;
  state.sound = true;
  state.polledAt = readAt;
  row.state = std::move(state);
  row.soundAt = readAt;
}

awaitable<void> Agent::pollLoop(ServerName server, std::uint64_t life) {
  const Address address{server.value};
  for (;;) {
    const auto state = co_await dialect_.readServer(address, 700ms);
    const auto row = servers_.find(server);
    if (row == servers_.end() || row->second.life != life) co_return;
    if (state.ok()) {
      row->second.state = *state;
      row->second.soundAt = state->polledAt;
    }
    co_await pauseFor(kPollEvery);
  }
}

// A server's state with all that is known of it: its own word, the list's, and those of whoever
// orders weights.
ServerState Agent::stateOf(const Polled& row, Instant now) const {
  ServerState state = *row.state;
  state.zone = row.listed.zone;
  state.leaving = row.listed.leaving;
  // How old a told row may be is for the reader of listedAgoMicros to say.
  state.sound = state.sound && (row.listed.told || now - row.soundAt < kSoundSpan);
  const ServerKnown known = core_->notes().over(state.name, state.identity, state.weights, now);
  state.weights = known.weights;
  state.switching = known.switching;
  if (row.listed.told && spec_) {
    const auto service = spec_->services.find(state.service);
    if (service != spec_->services.end()) state.cacheTokens = service->second.cacheTokens;
  }
  return state;
}

Snapshot Agent::snapshot(std::uint64_t knownSpec, Instant now) const {
  const auto ago = [&](const std::optional<Instant>& at) -> std::int64_t {
    if (!at) return -1;
    return std::chrono::duration_cast<std::chrono::microseconds>(now - *at).count();
  };
  Snapshot snapshot;
  snapshot.specVersion = specVersion_;
  if (knownSpec != specVersion_) snapshot.specBody = core_->freshness().spec().value.body;
  // A spec that this build can't read is not in force here, however fresh it is.
  const bool inForce = specVersion_ == core_->freshness().spec().value.version && specVersion_ > 0;
  snapshot.confirmedAgoMicros = inForce ? ago(core_->freshness().confirmedAt()) : -1;
  snapshot.listedAgoMicros = ago(takenList_);
  for (const NewsItem& item : core_->live(now))
    snapshot.proxies += item.proxyAddress.empty() ? 0 : 1;
  for (const auto& [name, row] : servers_) {
    if (row.state) snapshot.servers.push_back(toSnapshot(stateOf(row, now), now));
  }
  if (!spec_) return snapshot;
  for (const auto& [model, weights] : spec_->weights) {
    const auto named = core_->weightsNamed().ago(model, now).value_or(kNamedLongAgo);
    snapshot.weightsNamedAgoMicros.emplace_back(
        model, std::chrono::duration_cast<std::chrono::microseconds>(named).count());
  }
  return snapshot;
}

}  // namespace quayrill
