#!/usr/bin/env bash
# Guards against: the build of deploy/system.toml reports success and leaves the program of other
# sources, because target/ was carried over from another commit, machine or place.
#
# Runs the deploy file's own command in small trees: one library and one program that prints what its
# sources say, under the name that the deploy file builds.
# Usage: carried_over_target_test.sh [COMMAND]   COMMAND: in place of the deploy file's build
set -uo pipefail
deploy=$(dirname "$0")/../deploy/system.toml
command=${1:-$(sed -n 's/^build = "\(.*\)"$/\1/p' "$deploy")}
folder=$(mktemp -d)
trap 'rm -r "$folder"' EXIT
failed=0
unset CMAKE_GENERATOR CMAKE_BUILD_PARALLEL_LEVEL MAKEFLAGS

# A tree whose program prints the given text.
tree() {  # folder, text
  mkdir -p "$1"
  cat >"$1/CMakeLists.txt" <<'TREE'
cmake_minimum_required(VERSION 3.25)
project(small LANGUAGES CXX)
add_library(text STATIC text.cpp)
add_executable(quayrilld-platform main.cpp)
target_link_libraries(quayrilld-platform PRIVATE text)
TREE
  echo "const char* text() { return \"$2\"; }" >"$1/text.cpp"
  printf '#include <cstdio>\nconst char* text();\nint main() { std::puts(text()); }\n' >"$1/main.cpp"
}
build() { (cd "$1" && sh -c "$command") >"$folder/log" 2>&1; }
expect() {  # what, tree
  local seen
  if ! build "$2"; then
    echo "$1: the build fails:"; tail -5 "$folder/log"; failed=1; return
  fi
  seen=$("$2/target/quayrilld-platform" 2>&1)
  if [[ $seen != new ]]; then echo "$1: expected 'new', saw '$seen'"; failed=1; fi
}

# The sources are older than what was built of others before, as in an archive with fixed times.
tree "$folder/commit" old
build "$folder/commit" || { echo "the first build fails:"; tail -5 "$folder/log"; exit 1; }
tree "$folder/commit" new
find "$folder/commit" -maxdepth 1 -type f -exec touch -d 2001-01-01 {} +
expect "objects of another commit" "$folder/commit"

# The same, where all that was built bears times to come.
tree "$folder/future" old
build "$folder/future"
tree "$folder/future" new
find "$folder/future/target" -type f -exec touch -d '1 day' {} +
expect "objects with times to come" "$folder/future"

# Objects, library and program of another processor. Their bytes are none that this machine links or
# runs: only the machine field of the ELF header is changed, to that of an IBM S/390.
tree "$folder/processor" new
build "$folder/processor"
find "$folder/processor/target" -name '*.o' -o -name quayrilld-platform | while read -r file; do
  printf '\x16\x00' | dd of="$file" bs=1 seek=18 conv=notrunc status=none
done
(cd "$folder/processor/target" && rm libtext.a && ar cr libtext.a CMakeFiles/text.dir/text.cpp.o)
find "$folder/processor/target" -type f -exec touch -d '1 minute' {} +
expect "objects of another processor" "$folder/processor"

# The cache names the place where the folder was made.
tree "$folder/elsewhere" old
build "$folder/elsewhere"
cp -r "$folder/elsewhere" "$folder/moved"
rm -r "$folder/elsewhere"
tree "$folder/moved" new
expect "a folder from another path" "$folder/moved"

# A build that was ended halfway: an object of which a part is written, and no program.
tree "$folder/half" new
build "$folder/half"
rm "$folder/half/target/quayrilld-platform" "$folder/half/target/libtext.a"
find "$folder/half/target" -name 'text.cpp.o' -exec truncate -s 100 {} +
expect "a half-finished build" "$folder/half"

# A build that fails leaves no program of other sources behind, whichever step fails.
for broken in CMakeLists.txt text.cpp; do
  tree "$folder/fails" old
  build "$folder/fails"
  echo 'no sources' >"$folder/fails/$broken"
  if build "$folder/fails"; then echo "a broken $broken: the build reports success"; failed=1; fi
  if [[ -e $folder/fails/target/quayrilld-platform ]]; then
    echo "a broken $broken: the build leaves the program of before"; failed=1
  fi
done
exit $failed
