#pragma once
// The settings file while the daemon runs. Whoever changes it may say so by SIGHUP or not say it;
// either way its text is read about once a second and judged once it has come to rest. What can
// change in a running daemon is taken up, the rest is named as waiting for a restart, and a file
// that is not understood is refused whole.
#include <absl/status/statusor.h>

#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

#include "settings/settings.h"

namespace quayrill {

// From the text of a settings file to settings; an error names the field and the remedy.
using SettingsParser = std::function<absl::StatusOr<Settings>(const std::string& text)>;

// Where a program's settings come from, and how it reads them.
struct SettingsSource {
  std::string file;  // "": there is none, and `text` stands for it
  std::string text;  // as it was read at the start
  SettingsParser read;
};

// The file's text, or nothing where it can't be read or is longer than any settings file.
std::optional<std::string> readSettingsFile(const std::string& file);

// The settings to start by. Keeps the text they were made of in `source`.
absl::StatusOr<Settings> loadSettings(SettingsSource* source);

// Names of the settings that differ and that a running daemon can't change: its addresses, data
// folder, role and the bounds that its parts were built with.
std::vector<std::string> settingsNeedingRestart(const Settings& before, const Settings& after);

// `before`, with what a running daemon can change as it is in `after`: the seeds, the platform's
// address, how often its list is read, and the grace of SIGTERM.
Settings withLiveSettings(const Settings& before, const Settings& after);

// What came of one look at the file.
struct SettingsPollResult {
  std::optional<Settings> changed;  // take these up
  std::string error;                // one line for the log; "" where nothing is refused
  std::string notice;               // the same, of what is no error
  bool pollSoon = false;            // the text has just changed: it may be half written
};

// Judges the texts that were seen. No clock, file or thread of its own.
class SettingsReloader {
 public:
  SettingsReloader(SettingsSource source, Settings inForce);

  // `text` is what the file holds now, or nothing where it can't be read; `asked` is true where
  // SIGHUP came since the last look. A text is judged once, when two looks have shown the same, and
  // again at each SIGHUP.
  SettingsPollResult onPoll(const std::optional<std::string>& text, bool asked);
  const Settings& inForce() const { return inForce_; }

 private:
  SettingsPollResult judge(const std::optional<std::string>& text);

  SettingsSource source_;
  Settings inForce_;
  std::string appliedText_;
  std::optional<std::string> seen_;    // at the last look
  std::optional<std::string> judged_;  // taken or refused
  bool asked_ = false;                 // by SIGHUP, and not judged since
};

// Looks at the file on a thread of its own.
class SettingsWatch {
 public:
  // Called on the watch's thread, once for each change.
  using ApplyCallback = std::function<void(const Settings&)>;

  SettingsWatch(SettingsSource source, Settings inForce, ApplyCallback takeUp);
  ~SettingsWatch();
  SettingsWatch(const SettingsWatch&) = delete;
  SettingsWatch& operator=(const SettingsWatch&) = delete;

  void requestReload();
  // Ends the watch; the settings in force then.
  Settings stop();

 private:
  void run();
  bool waitForPoll(std::chrono::milliseconds span, bool* asked);

  const std::string file_;
  SettingsReloader judge_;  // the thread's own until it has ended
  ApplyCallback applyCallback_;
  std::mutex mutex_;
  std::condition_variable wake_;
  bool hup_ = false;
  bool ended_ = false;
  std::thread thread_;
};

}  // namespace quayrill
