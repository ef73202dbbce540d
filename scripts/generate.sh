#!/usr/bin/env bash
# Generates the committed protobuf code from its sources. With --check, generates it to a temporary
# folder and fails when the committed code differs. Usage: generate.sh [--check]
set -euo pipefail
cd "$(dirname "$0")/.."
committed=src/codec/generated
case ${1:-} in
  --check)
    output=$(mktemp -d)
    trap 'rm -rf "$output"' EXIT
    ;;
  "") output=$committed ;;
  *)
    echo "usage: scripts/generate.sh [--check]" >&2
    exit 64
    ;;
esac
mkdir -p "$output"
protoc --proto_path=src --cpp_out="$output" src/codec/peer.proto
if [ "$output" != "$committed" ]; then
  diff -r "$output" "$committed"
fi
