#!/usr/bin/env bash
# Guards against: a build that names another state of the sources than the one it was made of.
# Runs cmake/build_identity.cmake on small trees: in a repository, changed, and without one.
set -euo pipefail
script=$(cd "$(dirname "$0")/.." && pwd)/cmake/build_identity.cmake
folder=$(mktemp -d)
trap 'rm -r "$folder"' EXIT
tree=$folder/tree
mkdir -p "$tree/src" "$tree/platform" "$tree/docs"
echo one >"$tree/src/a.cpp"
echo one >"$tree/CMakeLists.txt"
write() { cmake -DSOURCE="$1" -DOUTPUT="$folder/values.h" -P "$script"; }
value() { sed -n "s/^#define QUAYRILL_$1 \"\?\([^\"]*\)\"\?$/\1/p" "$folder/values.h"; }
check() {  # what, expected, seen
  if [[ $2 != "$3" ]]; then echo "$1: expected '$2', saw '$3'"; exit 1; fi
}
git() { command git -C "$tree" -c user.name=test -c user.email=test@example.org "$@"; }

write "$tree"
digest=$(value SOURCE_DIGEST)
check "digits of the digest" 16 ${#digest}
check "commit without a repository" "" "$(value COMMIT)"

git init -q && git add . && git commit -q -m one
write "$tree"
check "commit" "$(git rev-parse --short=12 HEAD)" "$(value COMMIT)"
check "clean tree" 0 "$(value MODIFIED)"
check "digest in a repository" "$digest" "$(value SOURCE_DIGEST)"

echo page >"$tree/docs/page.md"
write "$tree"
check "a page more" "0 $digest" "$(value MODIFIED) $(value SOURCE_DIGEST)"
touch -d 2001-01-01 "$folder/values.h"
write "$tree"
check "time of an unchanged header" 2001 "$(date -r "$folder/values.h" +%Y)"

echo two >"$tree/src/a.cpp"
write "$tree"
check "changed tree" 1 "$(value MODIFIED)"
[[ $(value SOURCE_DIGEST) != "$digest" ]] || { echo "the digest misses a change"; exit 1; }
echo one >"$tree/src/a.cpp"
echo new >"$tree/platform/b.cpp"
write "$tree"
check "new file" 1 "$(value MODIFIED)"
[[ $(value SOURCE_DIGEST) != "$digest" ]] || { echo "the digest misses a new file"; exit 1; }

# A copy inside another repository has no commit of its own.
mkdir -p "$tree/copy/src"
echo one >"$tree/copy/src/a.cpp"
echo one >"$tree/copy/CMakeLists.txt"
write "$tree/copy"
check "commit of a copy inside a repository" "" "$(value COMMIT)"
check "digest of a copy" "$digest" "$(value SOURCE_DIGEST)"
