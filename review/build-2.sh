#!/usr/bin/env bash
# Builds the stand-ins of the second review into target/review-2, from review/stand-2, with packages that
# deploy/system.toml lists. A case N has its own source, review/N/case.cpp.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
flags=(-std=c++20 -O1 -Wall -Wextra -pthread -Ireview/stand-2)
g++ "${flags[@]}" -c review/stand-2/stand.cpp -o target/review-2/stand.o
for source in review/{6,7,8,9,10}/case.cpp; do
  if [[ ! -e $source ]]; then continue; fi
  n=$(basename "$(dirname "$source")")
  g++ "${flags[@]}" "$source" target/review-2/stand.o -o "target/review-2/case-$n"
done
