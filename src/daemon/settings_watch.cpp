#include "daemon/settings_watch.h"

#include <glog/logging.h>

#include <array>
#include <fstream>
#include <iterator>

namespace quayrill {

namespace {
// SIGHUP or not, a change is taken up within this and one look more.
constexpr std::chrono::milliseconds kPollInterval{1000};
// A writer that is in the midst of the file is given this to write on.
constexpr std::chrono::milliseconds kSettleInterval{200};
constexpr std::size_t kFileLimit = 1 << 20;  // bytes; settings files have some thousand

// The names are those of the own settings file where it has the setting.
struct StartSetting {
  const char* name;
  bool (*same)(const Settings&, const Settings&);
};

template <auto field>
bool same(const Settings& a, const Settings& b) {
  return a.*field == b.*field;
}

// Not here: what `withLiveSettings` takes up, and whether the platform calls this the first start
// of all, which only a start can be.
constexpr std::array kStartSettings = {
    StartSetting{"role", same<&Settings::role>},
    StartSetting{"node", same<&Settings::node>},
    StartSetting{"zone", same<&Settings::zone>},
    StartSetting{"cohort", same<&Settings::peer>},
    StartSetting{"operators", same<&Settings::operators>},
    StartSetting{"callers", same<&Settings::callers>},
    StartSetting{"ready", same<&Settings::ready>},
    StartSetting{"data_folder", same<&Settings::dataFolder>},
    StartSetting{"disk_drag", same<&Settings::diskDrag>},
    StartSetting{"store", same<&Settings::store>},
    StartSetting{"cohort_via", same<&Settings::peerVia>},
    StartSetting{"placement", same<&Settings::placement>},
    StartSetting{"fetch", same<&Settings::fetch>},
    StartSetting{"copies_wanted", same<&Settings::replicasWanted>},
    StartSetting{"block_tokens", same<&Settings::blockTokens>},
    StartSetting{"traffic_threads", same<&Settings::trafficThreads>},
    StartSetting{"fresh_limit_ms", same<&Settings::freshLimit>},
    StartSetting{"drain bound", same<&Settings::drainDue>},
    StartSetting{"lease bound", same<&Settings::leaseSpan>},
    StartSetting{"rollout bound", same<&Settings::rolloutDue>},
    StartSetting{"retry ratio", same<&Settings::extraShare>},
    StartSetting{"retry window", same<&Settings::extraWindow>},
    StartSetting{"retry slack", same<&Settings::extraSlack>}};

bool differsLive(const Settings& a, const Settings& b) {
  return a.seeds != b.seeds || a.platform != b.platform || a.listEvery != b.listEvery ||
         a.listCallsPerS != b.listCallsPerS || a.grace != b.grace;
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
  Settings taken = before;
  taken.seeds = after.seeds;
  taken.platform = after.platform;
  taken.listEvery = after.listEvery;
  taken.listCallsPerS = after.listCallsPerS;
  taken.grace = after.grace;
  return taken;
}

SettingsReloader::SettingsReloader(SettingsSource source, Settings inForce)
    : source_(std::move(source)),
      inForce_(std::move(inForce)),
      appliedText_(source_.text),
      seen_(source_.text),
      judged_(source_.text) {}

SettingsPollResult SettingsReloader::onPoll(const std::optional<std::string>& text, bool asked) {
  asked_ = asked_ || asked;
  const bool rests = text == seen_;
  seen_ = text;
  if (rests && text == judged_ && !asked_) return {};
  if (!rests) {
    SettingsPollResult look;
    look.pollSoon = true;
    return look;
  }
  const bool known = text == judged_;
  judged_ = text;
  asked_ = false;
  if (known && text == appliedText_) {
    SettingsPollResult look;
    look.notice = "settings file '" + source_.file + "' is unchanged";
    return look;
  }
  return judge(text);
}

SettingsPollResult SettingsReloader::judge(const std::optional<std::string>& text) {
  SettingsPollResult look;
  const std::string named = "settings file '" + source_.file + "' ";
  const std::string old = ": the settings read before stay in force";
  if (!text) {
    look.error = named + "can't be read: put it back" + old;
    return look;
  }
  const auto read = source_.read(*text);
  if (!read.ok()) {
    look.error = named + "is refused, " + std::string(read.status().message()) + old;
    return look;
  }
  appliedText_ = *text;
  const std::vector<std::string> waiting = settingsNeedingRestart(inForce_, *read);
  Settings taken = withLiveSettings(inForce_, *read);
  look.notice = named + "is read anew, seeds " + joined(taken.seeds);
  if (!waiting.empty())
    look.notice += "; not taken up before you restart this daemon: " + joined(waiting);
  if (differsLive(inForce_, taken)) look.changed = taken;
  inForce_ = std::move(taken);
  return look;
}

SettingsWatch::SettingsWatch(SettingsSource source, Settings inForce, ApplyCallback takeUp)
    : file_(source.file),
      judge_(std::move(source), std::move(inForce)),
      applyCallback_(std::move(takeUp)),
      thread_([this] { run(); }) {}

SettingsWatch::~SettingsWatch() { stop(); }

void SettingsWatch::requestReload() {
  const std::lock_guard lock(mutex_);
  hup_ = true;
  wake_.notify_all();
}

Settings SettingsWatch::stop() {
  {
    const std::lock_guard lock(mutex_);
    ended_ = true;
    wake_.notify_all();
  }
  if (thread_.joinable()) thread_.join();
  return judge_.inForce();
}

// False: the watch has ended. `*asked` tells of a SIGHUP since the last look.
bool SettingsWatch::waitForPoll(std::chrono::milliseconds span, bool* asked) {
  std::unique_lock lock(mutex_);
  wake_.wait_for(lock, span, [this] { return hup_ || ended_; });
  *asked = std::exchange(hup_, false);
  return !ended_;
}

void SettingsWatch::run() {
  std::chrono::milliseconds span = kPollInterval;
  for (bool asked = false; waitForPoll(span, &asked);) {
    if (file_.empty()) {
      if (asked) LOG(INFO) << "SIGHUP: started without a settings file, so nothing to read";
      continue;
    }
    const SettingsPollResult look = judge_.onPoll(readSettingsFile(file_), asked);
    if (!look.error.empty()) LOG(ERROR) << look.error;
    if (!look.notice.empty()) LOG(INFO) << look.notice;
    if (look.changed) applyCallback_(*look.changed);
    span = look.pollSoon ? kSettleInterval : kPollInterval;
  }
}

}  // namespace quayrill
