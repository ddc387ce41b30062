#!/usr/bin/env bash
# Guards against: a build that fails on another kind of machine, because a static library lacks there
# what its shared one brings along; and a program that links so but does not start.
#
# Configures a small tree with cmake/static_libraries.cmake and a library of each kind, builds it, and
# compares what was linked statically. Every program must build and run, whichever way it is linked.
set -uo pipefail
module=$(cd "$(dirname "$0")/.." && pwd)/cmake/static_libraries.cmake
folder=$(mktemp -d)
trap 'rm -r "$folder"' EXIT
failed=0
unset CMAKE_GENERATOR CMAKE_BUILD_PARALLEL_LEVEL MAKEFLAGS

# A library with a shared and a static form, made of C++ sources on stdin for the static one.
library() {  # name
  cat >"$folder/static.cpp"
  echo "int $1() { return 0; }" >"$folder/shared.cpp"
  c++ -shared -fPIC -o "$folder/lib$1.so" "$folder/shared.cpp" &&
    c++ -fPIE -c -o "$folder/$1.o" "$folder/static.cpp" && ar cr "$folder/lib$1.a" "$folder/$1.o" ||
    { echo "the planted library $1 can't be made"; exit 1; }
  printf 'int %s();\nint main() { return %s(); }\n' "$1" "$1" >"$folder/$1.probe.cpp"
}
library whole <<<'int whole() { return 0; }'
library incomplete <<<'int elsewhere(); int incomplete() { return elsewhere(); }'
library ends <<<'#include <cstdlib>
struct Start { Start() { std::abort(); } } start; int ends() { return 0; }'
library wrong <<<'int wrong() { return 3; }'
library missing <<<'int missing() { return 0; }'
rm "$folder/libmissing.a"

names="whole incomplete ends wrong missing"
mkdir "$folder/tree"
{
  cat <<'TREE'
cmake_minimum_required(VERSION 3.25)
project(small LANGUAGES CXX)
TREE
  echo "include($module)"
  for name in $names; do
    # Half of the packages set the location of a configuration.
    property=IMPORTED_LOCATION
    if [[ $name == ends ]]; then property="IMPORTED_CONFIGURATIONS RELEASE IMPORTED_LOCATION_RELEASE"; fi
    cat <<TREE
add_library($name UNKNOWN IMPORTED)
set_target_properties($name PROPERTIES $property $folder/lib$name.so)
prefer_static_libraries($name TARGETS "^$name\$" PROBE $folder/$name.probe.cpp LIBRARIES $name)
add_executable(use_$name $folder/$name.probe.cpp)
target_link_libraries(use_$name PRIVATE $name)
TREE
  done
} >"$folder/tree/CMakeLists.txt"

configure() {
  cmake -S "$folder/tree" -B "$folder/build" -DCMAKE_BUILD_TYPE=Release >"$folder/log" 2>&1 ||
    { echo "$1: configuring fails:"; tail -20 "$folder/log"; exit 1; }
}
check() {  # what
  local name expected seen
  cmake --build "$folder/build" >"$folder/build.log" 2>&1 ||
    { echo "$1: the build fails:"; tail -20 "$folder/build.log"; failed=1; }
  for name in $names; do
    expected=shared
    if [[ $name == whole ]]; then expected=static; fi
    seen=$(sed -n "s/^-- $name: //p" "$folder/log")
    if [[ $seen != "$expected" ]]; then echo "$1: $name is '$seen', not $expected"; failed=1; fi
    if ! "$folder/build/use_$name"; then echo "$1: the program with $name does not run"; failed=1; fi
    seen=$(readelf -d "$folder/build/use_$name" | grep -c "lib$name.so")
    if [[ $seen != 0 && $expected == static || $seen == 0 && $expected == shared ]]; then
      echo "$1: the program with $name is not linked as was said"; failed=1
    fi
  done
}
configure "first time"
check "first time"
# What the first time has found is kept in the cache.
configure "again"
check "again"
exit $failed
