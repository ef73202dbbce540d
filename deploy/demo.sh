#!/usr/bin/env bash
# Runs three daemons, as the users' platform runs them, on loopback addresses with a stand-in for
# the platform's store and replicas. Sends requests to the addresses that a daemon resolves while
# one daemon is stopped and started again. Exits 0 when every request got the complete answer. Takes
# the programs from a build folder (REDWINGDOCK_BIN, default build/bin). Usage: demo.sh
set -euo pipefail
cd "$(dirname "$0")/.."
bin=${REDWINGDOCK_BIN:-build/bin}
run=$(mktemp -d)
# Address prefix of this run, from the process id so that concurrent runs seldom share it.
net=127.1.$((1 + $$ % 250))
daemons=(a-1 a-2 b-1)
pids=()
stop_all() {
  local pid
  for pid in "${pids[@]}"; do
    kill -KILL "$pid" 2>/dev/null || true
    wait "$pid" 2>/dev/null || true
  done
  rm -rf "$run"
}
trap stop_all EXIT
trap 'exit 130' INT TERM

address_of() { # DAEMON
  local i
  for i in "${!daemons[@]}"; do
    if [ "${daemons[$i]}" = "$1" ]; then echo "$net.$((10 + i))"; fi
  done
}

start_daemon() { # DAEMON
  local ip
  ip=$(address_of "$1")
  cat >"$run/$1.yaml" <<EOF
vm: front-$1
zone: zone-${1%-*}
listen: {callers: "$ip:8104", readiness: "$ip:8108", addresses: "$ip:8100", peers: "$ip:7380", metrics: "$ip:9464"}
store: "$net.2:8102"
seeds: ["$(address_of a-1):8106"]
EOF
  "$bin/redwingdock_edge" --settings "$run/$1.yaml" >>"$run/$1.log" 2>&1 &
  pids+=($!)
  echo $! >"$run/$1.pid"
}

wait_ready() { # DAEMON
  local until=$((SECONDS + 15))
  until curl -sf -m 1 -o /dev/null "http://$(address_of "$1"):8108/readiness"; do
    if [ $SECONDS -ge $until ]; then
      echo "daemon $1 is not ready:" >&2
      tail -5 "$run/$1.log" >&2
      exit 1
    fi
    read -rt 0.1 <> <(:) || true
  done
}

"$bin/redwingdock_edge_standin" --store "$net.2:8102" --services 20 >"$run/standin.log" 2>&1 &
pids+=($!)
for daemon in "${daemons[@]}"; do start_daemon "$daemon"; done
for daemon in "${daemons[@]}"; do wait_ready "$daemon"; done

# The top three records of 20 services.
expected=record-000000019record-000000018record-000000017
answered=0
failed=0
ask() { # NUMBER
  local addresses address body
  addresses=$(curl -sf -m 1 "http://$(address_of b-1):8100/resolution?name=demo.example&zone=zone-b" |
    grep -o '[0-9.]*:8104')
  # A caller that can't connect to one address tries the next.
  for address in $(shuf -e $addresses); do
    body=$(curl -s -m 2 -H "Host: demo.example" -H "X-Attempt-Id: demo-$1" \
      -H "X-Deadline-Remaining: 1200" "http://$address/search/$1") && break
  done
  if [ "$body" = "$expected" ]; then
    answered=$((answered + 1))
  else
    failed=$((failed + 1))
    echo "request demo-$1 got \"$body\"" >&2
  fi
}

echo "== requests while daemon a-2 stops and starts again"
for i in $(seq 1 200); do
  if [ "$i" = 50 ]; then kill -TERM "$(cat "$run/a-2.pid")"; fi
  if [ "$i" = 150 ]; then
    wait "$(cat "$run/a-2.pid")"
    start_daemon a-2
    wait_ready a-2
  fi
  ask "$i"
done
echo "answered whole: $answered, failed: $failed"
echo "== one request, from its id to its cause"
"$bin/redwingdockctl" trace demo-120 --log "$run"/a-1.log --log "$run"/a-2.log --log "$run"/b-1.log
echo "== metrics of a-1"
curl -sf -m 2 "http://$(address_of a-1):9464/metrics" | grep 'redwingdock_decisions_total{name="forward.a'
[ "$failed" = 0 ] && [ "$answered" = 200 ]
