#!/usr/bin/env bash
# Guards against a stop of the cluster that ends its caller, which runs with "set -e", because a
# process ended between the two signals that it gets. Usage: cluster_stop_test.sh
set -euo pipefail
cd "$(dirname "$0")/../.."
source scripts/cluster.sh
kill() { [ "$1" = -CONT ]; } # the process is gone when the second signal is sent
run=$(mktemp -d)
trap 'rm -rf "$run"' EXIT
true &
echo $! >"$run/vm-1.pid"
cluster_stop "$run"
[ ! -e "$run/vm-1.pid" ]
