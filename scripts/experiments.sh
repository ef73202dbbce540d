#!/usr/bin/env bash
# Runs the experiments of examples/experiments/, each with and without (as the baseline) the
# mechanism under test, and writes reports (text, JSON, SVG) to docs/reports/. Takes under 5
# minutes. Exits 1 when an experiment with the mechanism had a wrong outcome.
# Usage: experiments.sh [NAME...]
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh
cmake -S . -B build -G Ninja >/dev/null
cmake --build build --target redwingdockd redwingdock_standin redwingdock_load -j 4 | tail -1
source scripts/cluster.sh

reports=docs/reports
run=$(mktemp -d)
mkdir -p "$reports"
trap 'for folder in "$run"/*; do cluster_stop "$folder"; done; rm -rf "$run"' EXIT
trap 'exit 130' INT TERM

# Starts a deployment, runs one experiment file on it and stops it.
run_one() { # DEPLOYMENT EXPERIMENT REPORT_NAME EXTRA_SETTINGS [OPTION...]
  local deployment=$1 experiment=$2 name=$3 settings=$4 folder=$run/$3 code=0
  shift 4
  cluster_start "$deployment" "$folder" "$settings" "start_warm: true"
  for route in $(sed -n 's/^  - name: *//p' "$folder/routes.yaml" | sed -n 1,2p); do
    cluster_wait_for_route "$folder" "$route"
  done
  # shellcheck disable=SC2046
  "$bin"/redwingdock_load run "examples/experiments/$experiment.yaml" --name "$name" \
    $(cluster_options "$folder" --daemon callers) --deployment "$folder" \
    --standin "$(cluster_setting "$folder/standin.yaml" admin)" --pids "$folder" \
    --json "$reports/$name.json" --svg "$reports/$name.svg" "$@" \
    >"$reports/$name.txt" 2>"$folder/load.log" || code=$?
  cat "$folder/load.log" >&2
  cluster_stop "$folder"
  return $code
}

failed=0
# NAME DEPLOYMENT BASELINE_EXPERIMENT SETTINGS_OF_THE_BASELINE
pair() {
  local name=$1 code=0
  [ ${#wanted[@]} -eq 0 ] || [[ " ${wanted[*]} " == *" $name "* ]] || return 0
  run_one "$2" "$3" "$name-baseline" "$4" || echo "$name-baseline: exit code $?"
  run_one "$2" "$name" "$name" "" --baseline "$reports/$name-baseline.json" || code=$?
  [ $code = 0 ] || failed=1
  echo "== $name (exit code $code)"
  sed -n '/^against baseline/,$p;/^checked/p' "$reports/$name.txt"
}

wanted=("$@")
pair steady ro-nord steady 'queries: {hedge_budget: 0}'
pair straggler occidente straggler 'queries: {hedge_budget: 0}'
pair zone-out occidente zone-out-baseline ''
pair cold-zone occidente cold-zone 'gates: {ramp_replies: 1, ramp_interval_ms: 1}'
pair config-down ro-nord config-down 'seeds: []'
pair crashing-request occidente crashing-request 'safety: {quarantine_ms: 1000, suspect_ms: 1000}'
exit $failed
