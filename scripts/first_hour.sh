#!/usr/bin/env bash
# Runs the commands of the section "First hour" of docs/OPERATIONS.md in order, in one shell, to
# detect documented commands that fail. Usage: first_hour.sh [--print]
#
# --print shows the commands without running them. Exits 0 when every command succeeded.
set -euo pipefail
cd "$(dirname "$0")/.."
page=docs/OPERATIONS.md
source scripts/cluster.sh
# Takes the second octet of the address from above the range of cluster.sh (20 to 219), so that this
# run shares no address with other scripts. Skips an octet at which the stand-in of another run of
# this script answers.
second=$((220 + $$ % 35))
admin=$(cluster_setting examples/occidente/standin.yaml admin)
while curl -s -m 1 -o /dev/null "http://127.$second.${admin#127.0.}/admin/state"; do
  second=$((220 + (second - 219) % 35))
done
export REDWINGDOCK_LOOPBACK=127.$second

# Extracts the fenced "sh" blocks between the heading "## First hour" and the next one.
commands=$(awk '/^## / { section = $0 == "## First hour" }
  /^```/ { block = section && $0 == "```sh"; next }
  block' "$page")
if [ -z "$commands" ]; then
  echo "$page has no commands under the heading \"## First hour\"" >&2
  exit 1
fi
case ${1:-} in
  '') ;;
  --print)
    printf '%s\n' "$commands"
    exit 0
    ;;
  *)
    echo "usage: scripts/first_hour.sh [--print]" >&2
    exit 64
    ;;
esac

run=
# The commands set $run, the folder with the ids of the processes that cluster_stop kills.
finish() { # EXIT_CODE
  set +v
  if [ -n "$run" ]; then
    cluster_stop "$run"
    rm -rf "$run"
  fi
  if [ "$1" != 0 ]; then
    echo "first hour: the last command shown failed with exit code $1" >&2
  fi
}
trap 'finish $?' EXIT
trap 'exit 130' INT TERM
# Must not run inside a condition, where "set -e" has no effect.
# shellcheck disable=SC1090
source <(printf 'set -v\n%s\nset +v\n' "$commands")
echo "first hour: all commands succeeded"
