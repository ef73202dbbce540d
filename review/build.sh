#!/usr/bin/env bash
# Builds the programs of the cases into target/review. Needs g++ only. Usage: review/build.sh
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
flags=(-std=c++20 -O1 -Wall -Wextra -pthread -Ireview/rig)
g++ "${flags[@]}" -c review/rig/rig.cc -o target/review/rig.o
for source in review/[1-5]/case.cc; do
  [ -e "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  g++ "${flags[@]}" "$source" target/review/rig.o -o "target/review/case$number"
done
