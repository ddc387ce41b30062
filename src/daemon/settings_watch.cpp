#include "daemon/settings_watch.h"

#include <glog/logging.h>

#include <array>
#include <fstream>
#include <iterator>

namespace quayrill {

namespace {
// SIGHUP or not, a change is taken up within this and one look more.
constexpr std::chrono::milliseconds kLookEvery{1000};
// A writer that is in the midst of the file is given this to write on.
constexpr std::chrono::milliseconds kRestSpan{200};
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

// Not here: what `takenLive` takes up, and whether the platform calls this the first start of all,
// which only a start can be.
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
    StartSetting{"drain bound", same<&Settings::drainTimeout>},
    StartSetting{"lease bound", same<&Settings::leaseSpan>},
    StartSetting{"rollout bound", same<&Settings::rolloutTimeLimit>},
    StartSetting{"retry ratio", same<&Settings::retryShare>},
    StartSetting{"retry window", same<&Settings::retryWindow>},
    StartSetting{"retry slack", same<&Settings::retryHeadroom>}};

bool differsLive(const Settings& a, const Settings& b) {
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

std::vector<std::string> restartNeeded(const Settings& before, const Settings& after) {
  std::vector<std::string> names;
  for (const StartSetting& setting : kStartSettings) {
    if (!setting.same(before, after)) names.emplace_back(setting.name);
  }
  return names;
}

Settings takenLive(const Settings& before, const Settings& after) {
  Settings taken = before;
  taken.seeds = after.seeds;
  taken.platformAddress = after.platformAddress;
  taken.listInterval = after.listInterval;
  taken.listCallsPerSecond = after.listCallsPerSecond;
  taken.shutdownGrace = after.shutdownGrace;
  return taken;
}

SettingsJudge::SettingsJudge(SettingsSource source, Settings inForce)
    : source_(std::move(source)),
      inForce_(std::move(inForce)),
      takenText_(source_.text),
      seen_(source_.text),
      judged_(source_.text) {}

SettingsLook SettingsJudge::onLook(const std::optional<std::string>& text, bool asked) {
  asked_ = asked_ || asked;
  const bool rests = text == seen_;
  seen_ = text;
  if (rests && text == judged_ && !asked_) return {};
  if (!rests) {
    SettingsLook look;
    look.lookSoon = true;
    return look;
  }
  const bool known = text == judged_;
  judged_ = text;
  asked_ = false;
  if (known && text == takenText_) {
    SettingsLook look;
    look.told = "settings file '" + source_.file + "' is unchanged";
    return look;
  }
  return judge(text);
}

SettingsLook SettingsJudge::judge(const std::optional<std::string>& text) {
  SettingsLook look;
  const std::string named = "settings file '" + source_.file + "' ";
  const std::string old = ": the settings read before stay in force";
  if (!text) {
    look.refused = named + "can't be read: put it back" + old;
    return look;
  }
  const auto read = source_.read(*text);
  if (!read.ok()) {
    look.refused = named + "is refused, " + std::string(read.status().message()) + old;
    return look;
  }
  takenText_ = *text;
  const std::vector<std::string> waiting = restartNeeded(inForce_, *read);
  Settings taken = takenLive(inForce_, *read);
  look.told = named + "is read anew, seeds " + joined(taken.seeds);
  if (!waiting.empty())
    look.told += "; not taken up before you restart this daemon: " + joined(waiting);
  if (differsLive(inForce_, taken)) look.changed = taken;
  inForce_ = std::move(taken);
  return look;
}

SettingsWatch::SettingsWatch(SettingsSource source, Settings inForce, TakeUp takeUp)
    : file_(source.file),
      judge_(std::move(source), std::move(inForce)),
      takeUp_(std::move(takeUp)),
      thread_([this] { run(); }) {}

SettingsWatch::~SettingsWatch() { stop(); }

void SettingsWatch::onHup() {
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
bool SettingsWatch::waitForLook(std::chrono::milliseconds span, bool* asked) {
  std::unique_lock lock(mutex_);
  wake_.wait_for(lock, span, [this] { return hup_ || ended_; });
  *asked = std::exchange(hup_, false);
  return !ended_;
}

void SettingsWatch::run() {
  std::chrono::milliseconds span = kLookEvery;
  for (bool asked = false; waitForLook(span, &asked);) {
    if (file_.empty()) {
      if (asked) LOG(INFO) << "SIGHUP: started without a settings file, so nothing to read";
      continue;
    }
    const SettingsLook look = judge_.onLook(readSettingsFile(file_), asked);
    if (!look.refused.empty()) LOG(ERROR) << look.refused;
    if (!look.told.empty()) LOG(INFO) << look.told;
    if (look.changed) takeUp_(*look.changed);
    span = look.lookSoon ? kRestSpan : kLookEvery;
  }
}

}  // namespace quayrill
