#!/usr/bin/env bash
# Runs the commands of the section "First hour" of docs/OPERATIONS.md in order, in one shell, so that
# the page cannot name a command that fails. Usage: first_hour.sh [--print]
#
# --print shows the commands without running them. Exits 0 when every command succeeded.
set -euo pipefail
cd "$(dirname "$0")/.."
page=docs/OPERATIONS.md
source scripts/cluster.sh
# The second part of the address is above those of cluster.sh (20 to 219), so that this run meets no
# other script. Another run of this one is passed over when its stand-in answers already.
second=$((220 + $$ % 35))
admin=$(cluster_setting examples/occidente/standin.yaml admin)
while curl -s -m 1 -o /dev/null "http://127.$second.${admin#127.0.}/admin/state"; do
  second=$((220 + (second - 219) % 35))
done
export REDWINGDOCK_LOOPBACK=127.$second

# The text of the fenced "sh" blocks between the heading "## First hour" and the next one.
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
# The commands set $run. cluster_stop ends what they started, by the process ids in that folder.
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
# Not called from a condition, in which "set -e" would have no effect.
# shellcheck disable=SC1090
source <(printf 'set -v\n%s\nset +v\n' "$commands")
echo "first hour: all commands succeeded"
