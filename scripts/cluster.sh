#!/usr/bin/env bash
# Functions to run a stand-in and the daemons of an example deployment on loopback addresses.
# Sourced by demo.sh, experiments.sh and the process tests:
#
#   source scripts/cluster.sh
#   cluster_start occidente "$run_dir" 'queries: {hedge_budget: 0}'
#   trap 'cluster_stop "$run_dir"' EXIT
#
# The run folder holds NAME.pid and NAME.log of each process, and the settings in use. Creating a
# file NAME.restart there starts that daemon again after it has ended.
bin=${REDWINGDOCK_BIN:-build/bin}
# In seconds. A start takes under 1 s; the limit allows for a machine that is busy with builds.
cluster_start_limit=30
# First two octets of the loopback addresses, instead of the examples' 127.0, so that concurrent
# runs use different addresses.
cluster_loopback=${REDWINGDOCK_LOOPBACK:-127.$((20 + $$ % 200))}

# Prints the value of the first "key: text" line of a YAML file, without quotes.
cluster_setting() { # FILE KEY
  sed -n "s/^ *$2: *\"\{0,1\}\([^\"]*\)\"\{0,1\} *\$/\1/p" "$1" | sed -n 1p
}

# Polls a URL of a process until it answers with success. Fails when the process ends or the start
# limit passes first.
cluster_wait_for() { # RUN_DIR NAME URL
  local until=$((SECONDS + cluster_start_limit))
  until curl -sf -m 1 -o /dev/null "$3"; do
    if [ $SECONDS -ge $until ] || ! kill -0 "$(cat "$1/$2.pid")" 2>/dev/null; then
      echo "$2 has ended or does not answer at $3; its log ends with:" >&2
      tail -5 "$1/$2.log" >&2
      return 1
    fi
    sleep 0.1
  done
}

cluster_start_daemon() { # RUN_DIR NAME
  "$bin/redwingdockd" --settings "$1/$2.yaml" >>"$1/$2.log" 2>&1 &
  echo $! >"$1/$2.pid"
}

# Restarts daemons whose NAME.restart file appears, until the folder has a file "stopped".
cluster_restarter() { # RUN_DIR
  while [ ! -e "$1/stopped" ]; do
    for file in "$1"/*.restart; do
      [ -e "$file" ] || continue
      rm -f "$file"
      cluster_start_daemon "$1" "$(basename "$file" .restart)"
    done
    sleep 0.2
  done
}

# Appends the text to YAML files in place of the top-level keys that it sets.
cluster_override() { # TEXT FILE...
  local text=$1 file key
  shift
  [ -n "$text" ] || return 0
  for file in "$@"; do
    for key in $(sed -n 's/^\([a-z_]*\):.*/\1/p' <<<"$text"); do
      awk -v key="$key:" '/^[^ #]/ { drop = index($0, key) == 1 } !drop' "$file" >"$file.new"
      mv "$file.new" "$file"
    done
    printf '%s\n' "$text" >>"$file"
  done
}

cluster_start() { # DEPLOYMENT RUN_DIR [EXTRA_SETTINGS] [EXTRA_STANDIN_CONFIGURATION]
  local example=examples/$1 run=$2 name
  mkdir -p "$run"
  rm -f "$run"/*.pid "$run"/*.log "$run"/stopped "$run"/*.restart
  cp "$example"/*.yaml "$example"/*.jsonl "$run"/
  sed -i "s/127\.0\./$cluster_loopback./g" "$run"/*.yaml
  cluster_override "${3:-}" "$run"/vm-*.yaml
  cluster_override "${4:-}" "$run/standin.yaml"
  "$bin/redwingdock_standin" serve "$run/standin.yaml" >"$run/standin.log" 2>&1 &
  echo $! >"$run/standin.pid"
  cluster_wait_for "$run" standin "http://$(cluster_setting "$run/standin.yaml" admin)/admin/state" || return 1
  for name in $(cluster_daemons "$run"); do
    cluster_start_daemon "$run" "$name"
  done
  for name in $(cluster_daemons "$run"); do
    cluster_wait_for "$run" "$name" \
      "http://$(cluster_setting "$run/$name.yaml" callers)/v1/entry?caller=start" || return 1
  done
  cluster_restarter "$run" &
  echo $! >"$run/restarter.pid"
}

# Prints the names of the daemons that have settings in the run folder.
cluster_daemons() { # RUN_DIR
  local file
  for file in "$1"/vm-*.yaml; do
    basename "$file" .yaml
  done
}

# Prints the caller or operator addresses of all daemons, each preceded by the option.
cluster_options() { # RUN_DIR OPTION callers|operators
  local name
  for name in $(cluster_daemons "$1"); do
    printf -- '%s %s ' "$2" "$(cluster_setting "$1/$name.yaml" "$3")"
  done
}

# Waits until a search of the route is complete, which means that servers of every shard were found
# and answered.
cluster_wait_for_route() { # RUN_DIR ROUTE [SECONDS]
  local until=$((SECONDS + ${3:-$cluster_start_limit})) name address reply=
  name=$(cluster_daemons "$1" | sed -n 1p)
  address=$(cluster_setting "$1/$name.yaml" callers)
  while [ $SECONDS -lt $until ]; do
    reply=$(curl -s -m 6 -d "{\"route\": \"$2\", \"caller\": \"start\", \"filter\": {\"id\": \"none\"}}" \
      "http://$address/v1/query" || true)
    case $reply in
      *'"complete"'*) return 0 ;;
    esac
    sleep 0.2
  done
  echo "no complete answer of route $2 within ${3:-$cluster_start_limit} s; last: $reply" >&2
  return 1
}

# Kills the processes of the run folder by their process ids.
cluster_stop() { # RUN_DIR
  local file pid
  [ -d "$1" ] || return 0
  touch "$1/stopped"
  for file in "$1"/*.pid; do
    [ -e "$file" ] || continue
    pid=$(cat "$file")
    # Resumes a paused process, since it handles signals only after SIGCONT. The process may end
    # before the second signal; that must not end a caller that runs with "set -e".
    { kill -CONT "$pid" && kill -KILL "$pid"; } 2>/dev/null || true
    wait "$pid" 2>/dev/null || true
    rm -f "$file"
  done
}
