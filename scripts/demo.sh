#!/usr/bin/env bash
# Builds the programs and runs both example deployments (a stand-in and five daemons each, all
# separate processes on loopback addresses). Sends calls to them while servers, zones, daemons and
# tables change, and compares every answer with a direct scan of the record files. --keep leaves the
# processes running. Exits 1 when a call was lost, ran twice, was interrupted or reported wrong
# coverage, otherwise 0.
# Usage: demo.sh [--keep]
set -euo pipefail
cd "$(dirname "$0")/.."
keep=
case ${1:-} in
  '') ;;
  --keep) keep=yes ;;
  *)
    echo "usage: scripts/demo.sh [--keep]" >&2
    exit 64
    ;;
esac
scripts/install.sh
cmake -S . -B build -G Ninja >/dev/null
cmake --build build --target redwingdockd redwingdock_standin redwingdock_load redwingdockctl \
  redwingdock_edge redwingdock_edge_standin -j 4 | tail -1
source scripts/cluster.sh

run=$(mktemp -d)
deployments=(occidente ro-nord)
stop_all() {
  local deployment
  for deployment in "${deployments[@]}"; do
    cluster_stop "$run/$deployment"
  done
  rm -rf "$run"
}
trap stop_all EXIT
trap 'exit 130' INT TERM

for deployment in "${deployments[@]}"; do
  echo "== $deployment: start of the stand-in and five daemons"
  cluster_start "$deployment" "$run/$deployment"
done
for route in case-search visit-route; do
  cluster_wait_for_route "$run/occidente" "$route"
done
for route in pattern-lookup price-quote; do
  cluster_wait_for_route "$run/ro-nord" "$route"
done

echo "== one query of each deployment"
query() { # DEPLOYMENT ROUTE FILTER
  local daemon
  daemon=$(cluster_setting "$run/$1/$(cluster_daemons "$run/$1" | sed -n 1p).yaml" callers)
  "$bin"/redwingdockctl query "$2" --daemon "$daemon" --filter "$3" | sed -n 1,8p
}
query occidente case-search status=granted
query ro-nord pattern-lookup stitch=fill

# Loads both deployments in parallel, so that the demo takes half a minute.
declare -A load
for deployment in "${deployments[@]}"; do
  folder=$run/$deployment
  # shellcheck disable=SC2046
  "$bin"/redwingdock_load run "examples/experiments/demo-$deployment.yaml" \
    $(cluster_options "$folder" --daemon callers) --deployment "$folder" \
    --standin "$(cluster_setting "$folder/standin.yaml" admin)" --pids "$folder" \
    --json "$folder/report.json" >"$folder/report.txt" 2>&1 &
  load[$deployment]=$!
done
failed=0
for deployment in "${deployments[@]}"; do
  wait "${load[$deployment]}" || failed=1
  echo "== $deployment: calls while a server is killed, a zone closed and reopened, a daemon stopped and a table changed"
  grep -v '^second ' "$run/$deployment/report.txt" || true
  echo "-- decisions in the log:"
  for prefix in query gate tables members entry safety; do
    cat "$run/$deployment"/vm-*.log | grep -m 2 "$prefix:" || true
  done
done

echo "== the programs of the users' platform"
deploy/demo.sh || failed=1

if [ -n "$keep" ]; then
  trap - EXIT
  echo "== left running; to stop: bash -c 'source scripts/cluster.sh; for d in ${deployments[*]}; do cluster_stop $run/\$d; done; rm -rf $run'"
fi
[ $failed = 0 ] && echo "demo: nothing lost, doubled, cut or wrongly covered"
exit $failed
