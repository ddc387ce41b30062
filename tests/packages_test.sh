#!/usr/bin/env bash
# deploy/system.toml's packages bring all that its build uses, on a machine that holds no more than
# Debian's essential packages and installs no recommended ones.
#
# Asks apt which packages such a machine would install, and looks up the package of each program
# that the build runs, of each CMake file and header that it reads, and of each file that it links.
# Usage: packages_test.sh SOURCE BUILD SCRATCH [--without=PACKAGE]
#   SOURCE   the tree
#   BUILD    a finished build by Ninja, whose record of headers and whose objects are used
#   SCRATCH  a folder to write
#   --without=PACKAGE  judges the list without that package; so the check itself is tested
set -euo pipefail
export LC_ALL=C
source_dir=$(realpath "$1") build_dir=$(realpath "$2") scratch=$3
left_out=${4:-}
left_out=${left_out#--without=}
rm -rf "$scratch"
mkdir -p "$scratch"
scratch=$(realpath "$scratch")
deploy=$source_dir/deploy/system.toml

fail() {
  echo "packages: $1" >&2
  exit 1
}

# The packages that a machine gets from the list, one name a line.
closure() {
  local essential wanted
  essential=$(apt-cache dumpavail |
    awk '/^Package:/ {name = $2} /^Essential: yes/ {print name}' | sort -u)
  wanted=$(sed -n 's/^packages = \[\(.*\)\]/\1/p' "$deploy" | tr -d '" ' | tr ',' '\n')
  [[ -n $essential && -n $wanted ]] || fail "no packages known: run apt-get update"
  if [[ -n $left_out ]]; then
    grep -qxF -- "$left_out" <<<"$wanted" || fail "$left_out is not on the list"
    wanted=$(grep -vxF -- "$left_out" <<<"$wanted")
  fi
  # With no record of installed packages, apt plans for an empty machine.
  apt-get install --simulate --no-install-recommends -o Dir::State::status=/dev/null \
    $wanted $essential | awk '/^Inst / {print $2}' | sort -u
}

# The deploy file's own configure step, so also its default generator. CMake asks pkg-config for
# hints where there is one; the step must do without it.
configure() {
  local step
  step=$(sed -n 's/^build = "\(.*\)"$/\1/p' "$deploy" | sed 's/ && /\n/g' | grep -e ' -S \. ' || true)
  [[ $step == "cmake --fresh -S . -B target "* ]] || fail "build of $deploy is not understood: '$step'"
  (cd "$source_dir" && ${step/-B target/-B $scratch/target} \
    -DPKG_CONFIG_EXECUTABLE=/none >"$scratch/configure.log" 2>&1) ||
    { cat "$scratch/configure.log" >&2; fail "the configure step fails"; }
}

# Files named in the text on stdin.
paths() { sed 's/file:[^ ]*//g' | grep -oE '/(usr|bin|sbin|lib|lib64|etc)/[^ ";:()]*' || true; }

# Those that the makefiles' recipes name, and those that the compiler starts for them.
programs() {
  local target=$scratch/target compiler link
  echo /bin/sh
  sed -n 's/^CMAKE_\(MAKE_PROGRAM\|COMMAND\):[A-Z]*=//p' "$target/CMakeCache.txt"
  cat "$target"/CMakeFiles/*.dir/build.make | sed -n 's/^\t@\?\([^ ]*\).*/\1/p' |
    cat - "$target"/CMakeFiles/*.dir/link.txt | cut -d ' ' -f 1 |
    grep -vE '^(cd|:|true|\$\(CMAKE_COMMAND\))?$' | sort -u | xargs which
  link=$(tr -d '"' <"$target/CMakeFiles/quayrilld-platform.dir/link.txt")
  compiler=${link%% *}
  $compiler -c "$source_dir/platform/quayrilld_platform.cpp" -o "$scratch/none.o" '-###' 2>&1 | paths
  (cd "$build_dir" && $link '-###' 2>&1 | paths)
  { $compiler -print-prog-name=as; $compiler -print-prog-name=ld; } | xargs which
}

headers() {
  local objects
  objects=$(ninja -C "$build_dir" -t inputs quayrilld-platform | grep -E '\.(o|gch)$')
  [[ $(wc -l <<<"$objects") -gt 40 ]] || fail "no objects of quayrilld-platform: build it with Ninja first"
  ninja -C "$build_dir" -t deps $objects | grep -E '^    /' | tr -d ' ' | grep -v "^$source_dir/"
}

linked() {
  local link
  link=$(tr -d '"' <"$scratch/target/CMakeFiles/quayrilld-platform.dir/link.txt")
  (cd "$build_dir" && ${link/-o quayrilld-platform/-o $scratch/quayrilld-platform} -Wl,--trace) | paths
  "$scratch/quayrilld-platform" --version >/dev/null || fail "the deploy file's program does not start"
}

cmake_files() {
  sed -n 's/^ *"\(\/.*\)"$/\1/p' "$scratch/target/CMakeFiles/Makefile.cmake"
  sed -n 's/^[A-Za-z0-9_]*:FILEPATH=\(\/.*\)/\1/p' "$scratch/target/CMakeCache.txt"
}

# Each file that stdin names, and where it is a link also what it leads to. Links that
# update-alternatives makes belong to no package, what they lead to does.
steps() {
  local path next
  while IFS= read -r path; do
    while [[ -L $path ]]; do
      next=$(readlink "$path")
      [[ $next == /* ]] || next=$(realpath -s "${path%/*}/$next")
      [[ $next == /etc/alternatives/* || $path == /etc/alternatives/* ]] || echo "$path"
      path=$next
    done
    if [[ -f $path ]]; then echo "$path"; fi
  done
}

# Lines "package path" of the files on stdin; "- path" where no package has it. A package may list
# a file of /usr/lib under /lib, as before these were merged.
owners() {
  sort -u >"$scratch/files"
  {
    cat "$scratch/files"
    sed -n 's/^\/usr//p' "$scratch/files"
    sed 's/^/\/usr/' "$scratch/files"
  } | (xargs dpkg -S 2>/dev/null || true) |
    sed -nE 's/^([a-z0-9.+-]+)(:[a-z0-9]+)?: (\/usr)?(.*)$/\4 \1/p' | sort -u >"$scratch/owned"
  sed 's/^\/usr//' "$scratch/files" | sort -u | join -a 1 -e - -o 2.2,1.1 - "$scratch/owned"
}

closure >"$scratch/closure"
configure
for part in programs headers linked cmake_files; do
  $part | xargs realpath -s -q | grep -E '^/(usr|bin|sbin|lib|lib64|etc)/' | sort -u | steps \
    >"$scratch/$part"
  [[ -s $scratch/$part ]] || fail "found no $part"
done
cat "$scratch"/{programs,headers,linked,cmake_files} | owners >"$scratch/owners"
missing=$(awk 'NR == FNR {has[$1] = 1; next} !($1 in has)' "$scratch/closure" "$scratch/owners")
echo "packages: $(wc -l <"$scratch/closure") of an empty machine;" \
  "$(wc -l <"$scratch/programs") programs, $(wc -l <"$scratch/headers") headers," \
  "$(wc -l <"$scratch/linked") linked, $(wc -l <"$scratch/cmake_files") CMake files"
if [[ -n $missing ]]; then
  echo "packages: no package of the list in $deploy brings these (package, file):"
  echo "$missing"
  exit 1
fi
