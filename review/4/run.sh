#!/usr/bin/env bash
# One invalid configuration ends every core process that it is sent to. About 46 s.
# Exit 1: the rule was broken; 0: it held; 2: the case couldn't run. TROUBLE=0 leaves the disruption out.
set -u
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
program="$root/target/review/case_crash"
[ -x "$program" ] || { echo "could not run: build the tree and review/build.sh first"; exit 2; }
exec "$program" "$root" "$here"
