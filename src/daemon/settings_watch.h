#pragma once
// Reloads the settings file while the daemon runs, with or without a SIGHUP. The file is read about
// once a second, and its text is evaluated once two consecutive reads agree. Settings that a
// running daemon can change are applied, others are reported as needing a restart, and a file that
// can't be parsed is rejected as a whole.
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

// Parses the text of a settings file. An error names the field and the remedy.
using SettingsParser = std::function<absl::StatusOr<Settings>(const std::string& text)>;

// Where a program's settings come from, and how they are parsed.
struct SettingsSource {
  std::string file;  // path; empty: there is no file, and `text` is used instead
  std::string text;  // the text that the daemon started with
  SettingsParser read;
};

// Returns the file's text, or nullopt if it can't be read or is too long for a settings file.
std::optional<std::string> readSettingsFile(const std::string& file);

// Reads the settings to start with. Stores the text they were parsed from in `source`.
absl::StatusOr<Settings> loadSettings(SettingsSource* source);

// Names of the settings that differ and that a running daemon can't change: its addresses, data
// folder, role and the limits that its components were constructed with.
std::vector<std::string> settingsNeedingRestart(const Settings& before, const Settings& after);

// Returns `before` with the settings that a running daemon can change taken from `after`: the
// seeds, the platform's address, the interval and rate limit for reading the server list, and the
// grace period after SIGTERM.
Settings withLiveSettings(const Settings& before, const Settings& after);

// Result of one poll of the file.
struct SettingsPollResult {
  std::optional<Settings> changed;  // settings to apply
  std::string error;                // one line for the error log; empty if there is none
  std::string notice;               // one line for the info log; empty if there is none
  bool pollSoon = false;            // the text has just changed and may be half written
};

// Decides what to do with each text that was read. Uses no clock, file or thread.
class SettingsReloader {
 public:
  SettingsReloader(SettingsSource source, Settings inForce);

  // `text` is the file's current text, or nullopt if it can't be read. `reloadRequested` is true if
  // SIGHUP came since the last poll. A text is evaluated once, when two consecutive polls returned
  // it, and again at each SIGHUP.
  SettingsPollResult onPoll(const std::optional<std::string>& text, bool reloadRequested);
  // The settings that the daemon runs with, including all changes that were returned by onPoll().
  const Settings& inForce() const { return inForce_; }

 private:
  SettingsPollResult evaluate(const std::optional<std::string>& text);

  SettingsSource source_;
  Settings inForce_;
  std::string appliedText_;
  std::optional<std::string> polledText_;     // of the last poll
  std::optional<std::string> evaluatedText_;  // last text that was applied or rejected
  bool reloadRequested_ = false;              // by SIGHUP, and not evaluated since
};

// Polls the file on its own thread.
class SettingsWatch {
 public:
  // Called on the watch's thread, once per change.
  using ApplyCallback = std::function<void(const Settings&)>;

  // Starts the thread. `inForce` are the settings that were read from `source` at the start.
  SettingsWatch(SettingsSource source, Settings inForce, ApplyCallback applyCallback);
  ~SettingsWatch();
  SettingsWatch(const SettingsWatch&) = delete;
  SettingsWatch& operator=(const SettingsWatch&) = delete;

  // Reads the file now instead of at the next poll.
  void requestReload();
  // Ends the watch and returns the settings in force. Doesn't wait for a file that is being read
  // and doesn't come to its end.
  Settings stop();

 private:
  void run();
  bool waitForPoll(std::chrono::milliseconds interval, bool* reloadRequested);
  // Reads and judges the file, and applies what has changed. Returns when to look next.
  std::chrono::milliseconds poll(bool reloadRequested);

  const std::string file_;
  SettingsReloader reloader_;  // used by thread_ only
  ApplyCallback applyCallback_;
  std::mutex mutex_;
  std::condition_variable wake_;
  bool reloadRequested_ = false;
  bool stopping_ = false;
  bool hasEnded_ = false;  // the thread takes no more settings into force
  Settings inForce_;
  std::thread thread_;
};

}  // namespace quayrill
