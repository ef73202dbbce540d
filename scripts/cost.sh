#!/usr/bin/env bash
# Measures the resource use of a daemon with servers that reply immediately, at fan-out 20 and 53.
# Each run takes up to 90 s. Usage: cost.sh [BUILD_DIR]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
cmake --build "$build" --target redwingdockd daemon_cost >/dev/null
for fanout in 20 53; do
  directory=$(mktemp -d)
  "$build/bin/daemon_cost" serve "$fanout" "$directory" &
  servers=$!
  until [ -s "$directory/vm.yaml" ]; do read -rt 0.1 <> <(:) || true; done
  "$build/bin/redwingdockd" --settings "$directory/vm.yaml" &
  daemon=$!
  timeout 90 "$build/bin/daemon_cost" measure "$fanout" "$directory" "$daemon" || true
  kill -INT "$daemon" "$daemon" 2>/dev/null || true
  kill -KILL "$daemon" "$servers" 2>/dev/null || true
  wait "$daemon" "$servers" 2>/dev/null || true
  rm -r "$directory"
done
