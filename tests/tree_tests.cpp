// What the tree itself must hold: where the platform's names may stand, what the users' bench turns
// away, one list of packages.
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>

namespace {
namespace fs = std::filesystem;

const fs::path kTree = QUAYRILL_SOURCE;

std::string textOf(const fs::path& file) {
  std::ifstream in(file);
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

std::vector<std::string> linesOf(const fs::path& file) {
  std::ifstream in(file);
  std::vector<std::string> lines;
  for (std::string line; std::getline(in, line);) lines.push_back(line);
  return lines;
}

// The files of the tree apart from those under `passedOver`, build folders and the repository's
// own.
std::vector<fs::path> filesOutside(const std::set<std::string>& passedOver) {
  std::vector<fs::path> files;
  for (const auto& top : fs::directory_iterator(kTree)) {
    const std::string name = top.path().filename();
    if (name == ".git" || name == "target" || name.starts_with("build") ||
        passedOver.contains(name))
      continue;
    if (top.is_regular_file()) files.push_back(top.path());
    if (!top.is_directory()) continue;
    for (const auto& entry : fs::recursive_directory_iterator(top)) {
      if (entry.is_regular_file()) files.push_back(entry.path());
    }
  }
  return files;
}

bool wordPart(char letter) {
  return std::isalnum(static_cast<unsigned char>(letter)) != 0 || letter == '_' || letter == '-';
}

bool hasWord(const std::string& text, const std::string& word) {
  for (auto at = text.find(word); at != std::string::npos; at = text.find(word, at + 1)) {
    const auto end = at + word.size();
    if ((at == 0 || !wordPart(text[at - 1])) && (end == text.size() || !wordPart(text[end])))
      return true;
  }
  return false;
}
}  // namespace

TEST_CASE("tree: only platform, its pages and tests know the platform's names") {
  std::vector<std::string> names;
  for (const std::string& line : linesOf(kTree / "tests/platform_names.txt")) {
    if (!line.empty() && line[0] != '#') names.push_back(line);
  }
  REQUIRE(names.size() > 70);
  const auto files = filesOutside({"platform", "docs", "deploy", "tests", "journal"});
  CHECK(files.size() > 100);
  for (const fs::path& file : files) {
    const std::string text = textOf(file);
    for (const std::string& name : names) {
      INFO(file << " names " << name);
      CHECK_FALSE(hasWord(text, name));
    }
  }
  // The list is of names that the platform does have.
  std::size_t known = 0;
  std::string platform;
  for (const auto& entry : fs::directory_iterator(kTree / "platform"))
    platform += textOf(entry.path());
  for (const std::string& name : names) known += hasWord(platform, name) ? 1 : 0;
  CHECK(known > 15);
}

TEST_CASE("tree: no source loads libraries into others, traces them or shares memory") {
  std::size_t sources = 0;
  for (const fs::path& file : filesOutside({"docs", "tests", "journal"})) {
    const std::string text = textOf(file);
    ++sources;
    for (const char* word : {"LD_PRELOAD", "LD_AUDIT", "ptrace", "process_vm_", "shm_open",
                             "shmget", "shmat", "/dev/shm", "MAP_SHARED", "memfd_create"}) {
      INFO(file << " names " << word);
      CHECK(text.find(word) == std::string::npos);
    }
  }
  CHECK(sources > 100);
}

TEST_CASE("tree: nothing reaches outside of it") {
  const std::string above = std::string("../") + "given";
  for (const fs::path& file : filesOutside({"docs", "journal"})) {
    INFO(file);
    CHECK(textOf(file).find(above) == std::string::npos);
  }
}

TEST_CASE("tree: the deploy file asks for the packages that the build needs") {
  std::set<std::string> build, deploy;
  for (const std::string& line : linesOf(kTree / ".ci/packages")) {
    if (line.starts_with("# What the tests")) break;
    if (!line.empty() && line[0] != '#') build.insert(line);
  }
  REQUIRE(build.size() > 10);
  for (const std::string& line : linesOf(kTree / "deploy/system.toml")) {
    if (!line.starts_with("packages")) continue;
    std::istringstream parts(line.substr(line.find('[')));
    std::string part;
    std::getline(parts, part, '"');
    while (std::getline(parts, part, '"')) {
      deploy.insert(part);
      std::getline(parts, part, '"');
    }
  }
  CHECK(deploy == build);
}
