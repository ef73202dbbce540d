#!/usr/bin/env bash
# Builds the programs of the cases of the second review into target/review-2. Run it after the build
# of deploy/system.toml. They use the C and C++ libraries only.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
for source in review/*/case.cc; do
  case=$(basename "$(dirname "$source")")
  [ "$case" -ge 6 ] || continue
  g++ -std=c++20 -O1 -Wall -Wextra -o "$out/case-$case" "$source" review/rig-2/rig.cc -pthread
done
