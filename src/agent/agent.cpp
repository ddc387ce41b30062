#include "agent/agent.h"

#include <algorithm>
#include <filesystem>
#include <random>

#include "base/build_identity.h"
#include "net/log.h"
#include "net/spawn.h"

namespace quayrill {

using namespace std::chrono_literals;

namespace {
// Whether a tenant is isolated by `after` and not by `before`.
bool isolatesMore(const Configuration& before, const Configuration& after) {
  return std::any_of(after.tenants.begin(), after.tenants.end(), [&](const auto& row) {
    return row.second.isolated && !isIsolated(before, row.first);
  });
}

constexpr Duration kTickInterval = 50ms;
constexpr Duration kLateTurn = 500ms;  // reported; peers take a second of silence for a failure
constexpr Duration kSnapshotInterval = 100ms;
constexpr Duration kEventSourceInterval = 400ms;
constexpr Duration kServerPollInterval = 400ms;
constexpr Duration kListTimeout = 800ms;
constexpr Duration kServerStateMaxAge = 1500ms;
constexpr std::size_t kOperatorBodyLimit = 4 << 20;  // bytes
// Of the memory, for the bodies of operators' calls. A parsed body takes up to 25 times its size.
constexpr std::size_t kOperatorBodyFraction = 64;
constexpr char kDataFolderNotWritable[] =
    "data folder is not writable: the register replica on this machine does not vote; free disk "
    "space, writing is retried every second";
AgentSettings coreSettings(const Settings& settings) {
  std::random_device entropy;
  const std::uint64_t nonce = (static_cast<std::uint64_t>(entropy()) << 32) | entropy();
  AgentSettings core{settings.peerAddress,
                     settings.zone,
                     settings.seeds,
                     settings.callerAddress.value,
                     nonce | 1,
                     settings.replicasWanted,
                     settings.mayFound,
                     settings.foundingWait,
                     settings.leaseSpan};
  core.listInterval = settings.listInterval;
  core.listCallsPerSecond = settings.listCallsPerSecond;
  core.losses = settings.losses;
  core.topology = settings.topology;
  core.catchUpSpan = settings.catchUp;
  core.build = buildIdentity();
  return core;
}
}  // namespace

Agent::Agent(Settings settings, Dialect dialect)
    : settings_(std::move(settings)), dialect_(std::move(dialect)) {}

absl::StatusOr<std::optional<Disk::Rows>> Agent::openDisk() {
  disk_ = std::make_unique<Disk>(DiskSettings{settings_.dataFolder, settings_.syncDelayFile},
                                 [this](Disk::Rows rows) { onDiskReopened(std::move(rows)); });
  return disk_->open();
}

// Opens the data folder. A damaged replica gives no vote: it is set aside, and this machine joins
// as after the loss of its disk.
absl::StatusOr<std::optional<Disk::Rows>> Agent::openDataFolder() {
  auto opened = openDisk();
  if (absl::IsDataLoss(opened.status())) {
    LOG_LINE(kError) << "data folder is damaged: " << opened.status().message()
                     << ": it is kept as '" << damagedReplicaOf(settings_.dataFolder) << "'";
    disk_.reset();
    if (auto status = setDamagedReplicaAside(settings_.dataFolder); !status.ok()) return status;
    ++counters_.dataFoldersSetAside;
    opened = openDisk();
  }
  // The fleet that the damaged replica belonged to may hold acknowledged changes.
  if (settings_.mayFound && std::filesystem::exists(damagedReplicaOf(settings_.dataFolder))) {
    LOG_LINE(kWarning) << "this machine founds no fleet while '"
                       << damagedReplicaOf(settings_.dataFolder)
                       << "' exists: remove it to allow that";
    settings_.mayFound = false;
  }
  return opened;
}

absl::Status Agent::start() {
  std::optional<std::map<std::string, std::string>> diskRows;
  if (!settings_.dataFolder.empty()) {
    auto opened = openDataFolder();
    if (!opened.ok()) return opened.status();
    diskRows = std::move(*opened);
    if (!diskRows) LOG_LINE(kError) << kDataFolderNotWritable;
  }
  core_.emplace(coreSettings(settings_), diskRows);
  link_ = std::make_unique<PeerLink>(io_, settings_.peerAddress, settings_.peerRelay,
                                     [this](Envelope envelope) {
                                       AgentEffects effects;
                                       const Instant now = BootClock::now();
                                       core_->onMessage(envelope, now, &effects);
                                       apply(std::move(effects));
                                       publishPlaneDigests(now);
                                     });
  if (auto status = link_->start(); !status.ok()) return status;
  HttpServerSettings serverSettings;
  serverSettings.listen = settings_.operatorAddress;
  serverSettings.bodyLimit = kOperatorBodyLimit;
  serverSettings.bodyBudget =
      std::max(kOperatorBodyLimit, memoryLimitOf(settings_) / kOperatorBodyFraction);
  operatorServer_ = std::make_unique<HttpServer>(
      io_, serverSettings, [this](Connection&, HttpRequest& request) { return handle(request); });
  if (auto status = operatorServer_->start(); !status.ok()) return status;
  AgentEffects effects;
  effects.replicaWork = core_->start();
  apply(std::move(effects));
  spawnEssential(io_, "the control loop", tickLoop());
  return absl::OkStatus();
}

void Agent::run() {
  try {
    io_.run();
  } catch (...) {
    // What the control logic holds may be half changed: the disk has the last whole state.
    endAfterException("the control thread", std::current_exception());
  }
}
void Agent::stop() { io_.stop(); }
void Agent::beginLeaving() {
  asio::post(io_, [this] { core_->setLeaving(true); });
}

void Agent::applySettings(const Settings& changed) {
  asio::post(io_, [this, changed] {
    settings_.platformAddress = changed.platformAddress;
    core_->setListLimits(changed.listInterval, changed.listCallsPerSecond);
    if (core_->settings().seeds != changed.seeds) core_->setSeeds(changed.seeds);
  });
}

// Called on the disk thread.
void Agent::onDiskReopened(Disk::Rows rows) {
  asio::post(io_, [this, rows = std::move(rows)] {
    AgentEffects effects;
    if (!core_->onDiskReloaded(rows, &effects)) {
      LOG_LINE(kError)
          << "data folder contents are not readable by this build: restart with an empty "
             "data folder";
      return;
    }
    LOG_LINE(kInfo) << "data folder reopened: the register replica may vote again";
    disk_->resume();
    apply(std::move(effects));
  });
}

void Agent::apply(AgentEffects effects) {
  for (const Envelope& envelope : effects.sends) link_->send(envelope);
  for (ReplicaWork& work : effects.replicaWork) {
    auto answer = std::make_shared<std::optional<Envelope>>(std::move(work.answer));
    disk_->write(std::move(work.writes), [this, answer](absl::Status status) {
      asio::post(io_, [this, answer, status] {
        core_->onReplicaWorkDone();
        if (!status.ok()) {
          ++counters_.diskErrors;
          if (core_->isWritable())
            LOG_LINE(kError) << "register replica stopped voting: "
                             << errorMessage({ErrorKind::DiskError, status.ToString()});
          core_->onDiskError();
        } else if (*answer) {
          link_->send(**answer);
        }
      });
    });
  }
  for (const ChangeOutcome& done : effects.done) {
    const auto waiter = waiters_.find(done.operation);
    if (waiter == waiters_.end()) continue;
    const Waiter wake = std::move(waiter->second);
    waiters_.erase(waiter);
    wake(done);
  }
  applyConfiguration();
}

void Agent::applyConfiguration() {
  const RegisterValue& value = core_->freshness().configuration().value;
  if (value.version == configurationVersion_) {
    configurationConfirmedAt_ = core_->freshness().confirmedAt();
    return;
  }
  auto parsed = dialect_.readConfiguration(value.body);
  if (!parsed.ok()) {
    // Configurations are validated before they are proposed, so this one was written by a newer
    // build.
    if (value.version != unreadableVersion_)
      LOG_LINE(kError) << "configuration " << value.version
                       << " can't be parsed: " << parsed.status().message()
                       << ": upgrade this daemon";
    unreadableVersion_ = value.version;
    return;
  }
  core_->onWeightsConfigured(parsed->weights,
                             configurationVersion_ > 0 ? configurationConfirmedAt_ : std::nullopt);
  if (configuration_ && isolatesMore(*configuration_, *parsed)) isolatedAt_ = BootClock::now();
  configuration_ = std::make_shared<const Configuration>(std::move(*parsed));
  configurationVersion_ = value.version;
  ++counters_.configurationChanges;
  LOG_LINE(kInfo) << "configuration " << configurationVersion_ << " is in force";
}

void Agent::publishSnapshot(Instant now) {
  if (!snapshotListener_ ||
      (now < nextSnapshotAt_ && publishedConfigurationVersion_ == configurationVersion_))
    return;
  nextSnapshotAt_ = now + kSnapshotInterval;
  // The listener gets the parsed configuration, so the snapshot needs no body.
  snapshotListener_(snapshot(configurationVersion_, now), now, configuration_);
  publishedConfigurationVersion_ = configurationVersion_;
}

void Agent::publishPlaneDigests(Instant now) {
  for (DataPlaneDigest& digest : core_->takePlaneDigests()) {
    if (planeDigestListener_) planeDigestListener_(std::move(digest), now);
  }
}

void Agent::takePlaneReport(DataPlaneReport report) {
  asio::post(io_, [this, report = std::move(report)]() mutable {
    core_->takePlaneReport(std::move(report));
  });
}

// Chooses the servers, and possibly the store, whose cache events this daemon reads for the fleet.
void Agent::updateEventSources(Instant now) {
  if (now < nextEventSourcesAt_) return;
  nextEventSourcesAt_ = now + kEventSourceInterval;
  std::vector<EventSource> sources;
  for (const auto& [name, row] : servers_) {
    if (row.state && !row.state->model.value.empty()) sources.push_back({name, row.listed.zone});
  }
  if (configuration_ && !configuration_->stores.empty()) {
    const PartStore& store = configuration_->stores.begin()->second;
    sources.push_back({ServerName{store.address.value}, store.zone});
  }
  const bool isShared = settings_.mechanisms.isEnabled(Mechanism::SharedEvents);
  eventSources_ = isShared ? core_->eventSources(sources, now) : namesOf(sources);
}

// Reports a control thread that something held up: a long piece of work, the machine or a freeze.
void Agent::noteLateness(Duration lateness) {
  if (lateness < kLateTurn) return;
  ++counters_.lateControlTurns;
  LOG_LINE(kWarning) << "the control thread was held up for " << lateness / 1ms << " ms";
}

awaitable<void> Agent::tickLoop() {
  asio::steady_timer timer(io_);
  Instant dueAt = BootClock::now();
  for (;;) {
    const Instant now = BootClock::now();
    noteLateness(now - dueAt);
    AgentEffects effects;
    core_->onTick(now, &effects);
    handingOver_ = core_->isHandingOver(now);
    if (effects.readList) spawnTask(io_, "reading the server list", readList());
    apply(std::move(effects));
    takeList();
    tickRollouts(now);
    updateEventSources(now);
    publishSnapshot(now);
    publishPlaneDigests(now);
    timer.expires_after(kTickInterval);
    dueAt = BootClock::now() + kTickInterval;
    ErrorCode code;
    co_await timer.async_wait(into(code));
  }
}

awaitable<void> Agent::readList() {
  const Instant requestedAt = BootClock::now();
  std::size_t calls = 0;
  auto listed = co_await dialect_.readList(settings_.platformAddress, settings_.peerAddress,
                                           kListTimeout, &calls);
  AgentEffects effects;
  counters_.listCalls += calls;
  if (listed.ok()) {
    core_->onListRead(std::move(*listed), requestedAt, calls, BootClock::now(), &effects);
  } else {
    const bool overRate = absl::IsResourceExhausted(listed.status());
    core_->onListFailed(calls, overRate, BootClock::now());
  }
  apply(std::move(effects));
  takeList();
}

void Agent::takeList() {
  if (core_->list().readAt() == appliedListReadAt_) return;
  appliedListReadAt_ = core_->list().readAt();
  std::set<ServerName> names;
  for (const ListedServer& server : core_->list().rows()) {
    names.insert(server.name);
    const auto [row, isNew] = servers_.try_emplace(server.name);
    if (!isNew && !row->second.listed.leaving && server.leaving)
      LOG_LINE(kInfo) << "server " << server.name.value << " is leaving";
    row->second.listed = server;
    if (server.hasState) applyListedState(row->second, *appliedListReadAt_);
    if (!isNew) continue;
    row->second.generation = ++lastPollGeneration_;
    LOG_LINE(kInfo) << "server " << server.name.value << " listed";
    if (!dialect_.readServer) continue;
    spawnTask(io_, "polling a server", pollLoop(server.name, lastPollGeneration_));
  }
  std::erase_if(servers_, [&](const auto& row) { return !names.contains(row.first); });
}

// Applies the state that came with the list. Used in place of polling the server.
void Agent::applyListedState(PolledServer& row, Instant readAt) const {
  const ListedServer& listed = row.listed;
  ServerState state;
  state.name = listed.name;
  state.service = listed.service;
  state.identity = listed.identity;
  state.model = listed.model;
  state.weights = listed.weights;
  state.slots = listed.slots;
  state.healthy = true;
  state.polledAt = readAt;
  row.state = std::move(state);
  row.healthyAt = readAt;
}

awaitable<void> Agent::pollLoop(ServerName server, std::uint64_t generation) {
  const Address address{server.value};
  for (;;) {
    const auto state = co_await dialect_.readServer(address, 700ms);
    const auto row = servers_.find(server);
    if (row == servers_.end() || row->second.generation != generation) co_return;
    if (state.ok()) {
      row->second.state = *state;
      row->second.healthyAt = state->polledAt;
    }
    co_await pauseFor(kServerPollInterval);
  }
}

// Combines the state that the server reported, the platform's list, and the notes of the daemon
// that orders its weights.
ServerState Agent::stateOf(const PolledServer& row, Instant now) const {
  ServerState state = *row.state;
  state.zone = row.listed.zone;
  state.leaving = row.listed.leaving;
  // A state that came with the list is not aged here: readers check Snapshot::listedAgoMicros.
  state.healthy =
      state.healthy && (row.listed.hasState || now - row.healthyAt < kServerStateMaxAge);
  const ServerWeightsState known =
      core_->notes().overlay(state.name, state.identity, state.weights, now);
  state.weights = known.weights;
  state.switching = known.switching;
  if (row.listed.hasState && configuration_) {
    const auto service = configuration_->services.find(state.service);
    if (service != configuration_->services.end()) state.cacheTokens = service->second.cacheTokens;
  }
  return state;
}

Snapshot Agent::snapshot(std::uint64_t knownConfiguration, Instant now) const {
  const auto ageMicros = [&](const std::optional<Instant>& at) -> std::int64_t {
    if (!at) return -1;
    return std::chrono::duration_cast<std::chrono::microseconds>(now - *at).count();
  };
  Snapshot snapshot;
  snapshot.configurationVersion = configurationVersion_;
  if (knownConfiguration != configurationVersion_)
    snapshot.configurationBody = core_->freshness().configuration().value.body;
  // A configuration that this build can't parse is not in force here, even if it is confirmed.
  const bool inForce = configurationVersion_ == core_->freshness().configuration().value.version &&
                       configurationVersion_ > 0;
  snapshot.confirmedAgoMicros = inForce ? ageMicros(core_->freshness().confirmedAt()) : -1;
  snapshot.listedAgoMicros = ageMicros(appliedListReadAt_);
  for (const GossipItem& item : core_->live(now))
    snapshot.proxies += item.proxyAddress.empty() ? 0 : 1;
  for (const auto& [name, row] : servers_) {
    if (row.state) snapshot.servers.push_back(toSnapshot(stateOf(row, now), now));
  }
  snapshot.registerSilent = core_->freshness().isRegisterSilent(now);
  snapshot.eventSources = eventSources_;
  snapshot.superseded = core_->weights().report(now);
  return snapshot;
}

}  // namespace quayrill
