#!/usr/bin/env bash
# Runs one experiment of this folder on a stand-in and five daemons. Fails when an outcome is wrong,
# or when a call is not answered completely in or after second FIRST_WHOLE_SECOND.
# Usage: process_test.sh NAME FIRST_WHOLE_SECOND
set -euo pipefail
cd "$(dirname "$0")/../.."
source scripts/cluster.sh
run=$(mktemp -d)
trap 'cluster_stop "$run"; rm -rf "$run"' EXIT
trap 'exit 130' INT TERM
cluster_start occidente "$run" '' 'start_warm: true'
cluster_wait_for_route "$run" case-search
cluster_wait_for_route "$run" visit-route
code=0
# shellcheck disable=SC2046
"$bin/redwingdock_load" run "tests/process/$1.yaml" $(cluster_options "$run" --daemon callers) \
  --deployment "$run" \
  --standin "$(cluster_setting "$run/standin.yaml" admin)" --pids "$run" --verbose >"$run/report.txt" 2>"$run/load.log" || code=$?
cat "$run/report.txt"
if [ $code != 0 ]; then
  tail -20 "$run/load.log"
  exit $code
fi
# Columns: second, N, calls, three latencies, in time, coverage, partial, not_run, other.
awk -v first="$2" '$1 == "second" && $2 >= first && $9 + $10 + $11 > 0 { bad = 1; print "not whole: " $0 }
  END { exit bad }' "$run/report.txt"
