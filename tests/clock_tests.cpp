// Wall clocks jump, so no source may read one: a lease or deadline that is derived from a wall
// clock would expire early or late.
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <regex>
#include <sstream>

TEST_CASE("clock: no source reads a wall clock, and the boot clock is read in one place") {
  const std::regex wallClock(
      R"(system_clock|high_resolution_clock|gettimeofday|CLOCK_REALTIME|[^_a-z]time\((NULL|nullptr|0)\)|localtime|gmtime|async_wait_until)");
  const std::regex bootClock("CLOCK_BOOTTIME");
  std::size_t files = 0, bootClockFiles = 0;
  for (const auto& entry : std::filesystem::recursive_directory_iterator(QUAYRILL_SOURCE "/src")) {
    if (!entry.is_regular_file()) continue;
    std::ifstream in(entry.path());
    std::ostringstream text;
    text << in.rdbuf();
    ++files;
    INFO(entry.path());
    CHECK_FALSE(std::regex_search(text.str(), wallClock));
    bootClockFiles += std::regex_search(text.str(), bootClock) ? 1 : 0;
  }
  CHECK(files > 80);
  CHECK(bootClockFiles == 1);
}
