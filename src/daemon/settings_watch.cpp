#include "daemon/settings_watch.h"

#include <array>
#include <fstream>
#include <iterator>

#include "net/log.h"
#include "net/spawn.h"
#include "net/start_thread.h"

namespace quayrill {

namespace {
// Even without SIGHUP, a change is applied within this interval plus one more poll.
constexpr std::chrono::milliseconds kPollInterval{1000};
// Time between the two reads that must agree, so that a writer can finish the file.
constexpr std::chrono::milliseconds kSettleInterval{200};
// How long the end of a poll is waited for when the watch ends.
constexpr std::chrono::milliseconds kStopWait{200};
constexpr std::size_t kFileLimit = 1 << 20;  // bytes; settings files have a few thousand

// A setting that only a restart can change. The name is the one in quayrill's settings file, if the
// file has the setting.
struct StartSetting {
  const char* name;
  bool (*same)(const Settings&, const Settings&);
};

template <auto field>
bool same(const Settings& a, const Settings& b) {
  return a.*field == b.*field;
}

// Leaves out the settings that withLiveSettings applies, and the platform's flag for the fleet's
// first start, which is meaningless to a daemon that runs already.
constexpr std::array kStartSettings = {
    StartSetting{"role", same<&Settings::role>},
    StartSetting{"node", same<&Settings::nodeName>},
    StartSetting{"zone", same<&Settings::zone>},
    StartSetting{"cohort", same<&Settings::peerAddress>},
    StartSetting{"operators", same<&Settings::operatorAddress>},
    StartSetting{"callers", same<&Settings::callerAddress>},
    StartSetting{"ready", same<&Settings::readinessAddress>},
    StartSetting{"data_folder", same<&Settings::dataFolder>},
    StartSetting{"disk_drag", same<&Settings::syncDelayFile>},
    StartSetting{"store", same<&Settings::storeAddress>},
    StartSetting{"cohort_via", same<&Settings::peerRelay>},
    StartSetting{"placement", same<&Settings::placement>},
    StartSetting{"fetch", same<&Settings::fetch>},
    StartSetting{"copies_wanted", same<&Settings::replicasWanted>},
    StartSetting{"block_tokens", same<&Settings::blockTokens>},
    StartSetting{"traffic_threads", same<&Settings::trafficThreads>},
    StartSetting{"fresh_limit_ms", same<&Settings::stalenessLimit>},
    StartSetting{"apply bound", same<&Settings::applyLimit>},
    StartSetting{"drain bound", same<&Settings::drainTimeout>},
    StartSetting{"lease bound", same<&Settings::leaseSpan>},
    StartSetting{"rollout bound", same<&Settings::rolloutTimeLimit>},
    StartSetting{"retry ratio", same<&Settings::retryShare>},
    StartSetting{"retry window", same<&Settings::retryWindow>},
    StartSetting{"retry slack", same<&Settings::retryHeadroom>}};

bool liveSettingsDiffer(const Settings& a, const Settings& b) {
  return a.seeds != b.seeds || a.platformAddress != b.platformAddress ||
         a.listInterval != b.listInterval || a.listCallsPerSecond != b.listCallsPerSecond ||
         a.shutdownGrace != b.shutdownGrace;
}

std::string joined(const std::vector<std::string>& names) {
  std::string list;
  for (const std::string& name : names) list += (list.empty() ? "" : ", ") + name;
  return list;
}

std::string joined(const std::vector<Address>& addresses) {
  std::vector<std::string> texts;
  texts.reserve(addresses.size());
  for (const Address& address : addresses) texts.push_back(address.value);
  return joined(texts);
}
}  // namespace

std::optional<std::string> readSettingsFile(const std::string& file) {
  std::ifstream in(file, std::ios::binary);
  if (!in) return std::nullopt;
  std::string text;
  std::array<char, 4096> part{};
  while (in.read(part.data(), part.size()) || in.gcount() > 0) {
    text.append(part.data(), static_cast<std::size_t>(in.gcount()));
    if (text.size() > kFileLimit) return std::nullopt;
  }
  if (in.bad()) return std::nullopt;
  return text;
}

absl::StatusOr<Settings> loadSettings(SettingsSource* source) {
  if (!source->file.empty()) {
    auto text = readSettingsFile(source->file);
    if (!text)
      return absl::NotFoundError("settings file '" + source->file +
                                 "' can't be read: name one that this user may read");
    source->text = std::move(*text);
  }
  return source->read(source->text);
}

std::vector<std::string> settingsNeedingRestart(const Settings& before, const Settings& after) {
  std::vector<std::string> names;
  for (const StartSetting& setting : kStartSettings) {
    if (!setting.same(before, after)) names.emplace_back(setting.name);
  }
  return names;
}

Settings withLiveSettings(const Settings& before, const Settings& after) {
  Settings applied = before;
  applied.seeds = after.seeds;
  applied.platformAddress = after.platformAddress;
  applied.listInterval = after.listInterval;
  applied.listCallsPerSecond = after.listCallsPerSecond;
  applied.shutdownGrace = after.shutdownGrace;
  return applied;
}

SettingsReloader::SettingsReloader(SettingsSource source, Settings inForce)
    : source_(std::move(source)),
      inForce_(std::move(inForce)),
      appliedText_(source_.text),
      polledText_(source_.text),
      evaluatedText_(source_.text) {}

SettingsPollResult SettingsReloader::onPoll(const std::optional<std::string>& text,
                                            bool reloadRequested) {
  reloadRequested_ = reloadRequested_ || reloadRequested;
  const bool isStable = text == polledText_;
  polledText_ = text;
  if (isStable && text == evaluatedText_ && !reloadRequested_) return {};
  if (!isStable) {
    SettingsPollResult result;
    result.pollSoon = true;
    return result;
  }
  const bool isEvaluated = text == evaluatedText_;
  evaluatedText_ = text;
  reloadRequested_ = false;
  if (isEvaluated && text == appliedText_) {
    SettingsPollResult result;
    result.notice = "settings file '" + source_.file + "' is unchanged";
    return result;
  }
  return evaluate(text);
}

SettingsPollResult SettingsReloader::evaluate(const std::optional<std::string>& text) {
  SettingsPollResult result;
  const std::string subject = "settings file '" + source_.file + "' ";
  const std::string consequence = ": the previous settings stay in force";
  if (!text) {
    result.error = subject + "can't be read: restore it" + consequence;
    return result;
  }
  const auto parsed = source_.read(*text);
  if (!parsed.ok()) {
    result.error = subject + "is refused, " + std::string(parsed.status().message()) + consequence;
    return result;
  }
  appliedText_ = *text;
  const std::vector<std::string> needRestart = settingsNeedingRestart(inForce_, *parsed);
  Settings applied = withLiveSettings(inForce_, *parsed);
  result.notice = subject + "is read anew, seeds " + joined(applied.seeds);
  if (!needRestart.empty())
    result.notice += "; restart this daemon to apply: " + joined(needRestart);
  if (liveSettingsDiffer(inForce_, applied)) result.changed = applied;
  inForce_ = std::move(applied);
  return result;
}

SettingsWatch::SettingsWatch(SettingsSource source, Settings inForce, ApplyCallback applyCallback)
    : file_(source.file),
      reloader_(std::move(source), inForce),
      applyCallback_(std::move(applyCallback)),
      inForce_(std::move(inForce)),
      thread_(startThread("the settings file", [this] { run(); })) {}

SettingsWatch::~SettingsWatch() {
  stop();
  thread_.join();
}

void SettingsWatch::requestReload() {
  const std::lock_guard lock(mutex_);
  reloadRequested_ = true;
  wake_.notify_all();
}

Settings SettingsWatch::stop() {
  std::unique_lock lock(mutex_);
  stopping_ = true;
  wake_.notify_all();
  if (!wake_.wait_for(lock, kStopWait, [this] { return hasEnded_; }))
    LOG_LINE(kWarning) << "settings file '" << file_ << "' is still being read: left as it is";
  return inForce_;
}

// Returns false once the watch is stopped. Sets `*reloadRequested` if SIGHUP came since the last
// poll.
bool SettingsWatch::waitForPoll(std::chrono::milliseconds interval, bool* reloadRequested) {
  std::unique_lock lock(mutex_);
  wake_.wait_for(lock, interval, [this] { return reloadRequested_ || stopping_; });
  *reloadRequested = std::exchange(reloadRequested_, false);
  return !stopping_;
}

void SettingsWatch::run() {
  std::chrono::milliseconds interval = kPollInterval;
  for (bool reloadRequested = false; waitForPoll(interval, &reloadRequested);) {
    if (file_.empty()) {
      if (reloadRequested) LOG_LINE(kInfo) << "SIGHUP ignored: started without a settings file";
      continue;
    }
    try {
      interval = poll(reloadRequested);
    } catch (...) {
      logException("reading the settings", std::current_exception());
    }
  }
  const std::lock_guard lock(mutex_);
  hasEnded_ = true;
  wake_.notify_all();
}

std::chrono::milliseconds SettingsWatch::poll(bool reloadRequested) {
  const SettingsPollResult result = reloader_.onPoll(readSettingsFile(file_), reloadRequested);
  if (!result.error.empty()) LOG_LINE(kError) << result.error;
  if (!result.notice.empty()) LOG_LINE(kInfo) << result.notice;
  if (result.changed) {
    const std::lock_guard lock(mutex_);
    if (stopping_) return kPollInterval;
    inForce_ = *result.changed;
  }
  if (result.changed) applyCallback_(*result.changed);
  return result.pollSoon ? kSettleInterval : kPollInterval;
}

}  // namespace quayrill
