// Rules for the source tree: names of the platform are used only in its adapter, constructs that
// the users' test bench rejects don't occur, and both lists of packages agree.
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

// The files of the tree, except for build folders, the repository's own files, and those under
// `excluded`.
std::vector<fs::path> filesOutside(const std::set<std::string>& excluded) {
  std::vector<fs::path> files;
  for (const auto& top : fs::directory_iterator(kTree)) {
    const std::string name = top.path().filename();
    if (name == ".git" || name == "target" || name.starts_with("build") || excluded.contains(name))
      continue;
    if (top.is_regular_file()) files.push_back(top.path());
    if (!top.is_directory()) continue;
    for (const auto& entry : fs::recursive_directory_iterator(top)) {
      if (entry.is_regular_file()) files.push_back(entry.path());
    }
  }
  return files;
}

// Whether a character belongs to a word; names may contain hyphens.
bool isWordCharacter(char character) {
  return std::isalnum(static_cast<unsigned char>(character)) != 0 || character == '_' ||
         character == '-';
}

// Whether `word` occurs in `text` as a whole word.
bool hasWord(const std::string& text, const std::string& word) {
  for (auto begin = text.find(word); begin != std::string::npos;
       begin = text.find(word, begin + 1)) {
    const auto end = begin + word.size();
    if ((begin == 0 || !isWordCharacter(text[begin - 1])) &&
        (end == text.size() || !isWordCharacter(text[end])))
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
  // The review quotes the users' pages and speaks their words in its stand-ins.
  const auto files = filesOutside({"platform", "docs", "deploy", "tests", "journal", "review"});
  CHECK(files.size() > 100);
  for (const fs::path& file : files) {
    const std::string text = textOf(file);
    for (const std::string& name : names) {
      INFO(file << " names " << name);
      CHECK_FALSE(hasWord(text, name));
    }
  }
  // The list must consist of names that the platform has; part of them occur in its adapter.
  std::size_t knownNames = 0;
  std::string platform;
  for (const auto& entry : fs::directory_iterator(kTree / "platform"))
    platform += textOf(entry.path());
  for (const std::string& name : names) knownNames += hasWord(platform, name) ? 1 : 0;
  CHECK(knownNames > 15);
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
  const std::string outsidePath = std::string("../") + "given";
  for (const fs::path& file : filesOutside({"docs", "journal"})) {
    INFO(file);
    CHECK(textOf(file).find(outsidePath) == std::string::npos);
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
    std::istringstream list(line.substr(line.find('[')));
    std::string package;
    std::getline(list, package, '"');
    while (std::getline(list, package, '"')) {
      deploy.insert(package);
      std::getline(list, package, '"');
    }
  }
  CHECK(deploy == build);
}
