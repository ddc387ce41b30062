#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start, into target/review.
# It needs packages of deploy/system.toml only: g++ and nlohmann-json3-dev.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
mkdir -p "$root/target/review"
pids=()
for source in "$root"/review/stand/case_*.cpp; do
  name=$(basename "$source" .cpp)
  g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "$root/target/review/$name" &
  pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
echo "built: $(ls "$root/target/review" | tr '\n' ' ')"
