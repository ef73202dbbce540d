#!/usr/bin/env bash
# Checks the format of all sources and lints them. Caches passed lint checks by the hash of the
# preprocessed source, because a file that includes Boost.Beast takes 45 s. --fix formats the
# sources first. Usage: lint.sh [BUILD_DIR] [--fix]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
mapfile -t sources < <(git ls-files -co --exclude-standard 'src/*.cc' 'src/*.h' 'tests/*.cc' 'tests/*.h' | grep -v '\.pb\.' | sort -u)
if [ "${2:-}" = --fix ]; then
  clang-format -i "${sources[@]}"
fi
clang-format --dry-run -Werror "${sources[@]}"
cache=${REDWINGDOCK_LINT_CACHE:-${XDG_CACHE_HOME:-$HOME/.cache}/redwingdock-lint}
mkdir -p "$cache"
lint_one() {
  key=$({ cat .clang-tidy "$1"; g++ -std=c++20 -Isrc -isystem src/codec/generated -E -P "$1" 2>/dev/null; } | sha256sum | cut -c1-32)
  [ -e "$cache/$key" ] && return 0
  if output=$(clang-tidy --quiet -p "$2" "$1" 2>/dev/null); then
    : >"$cache/$key"
  else
    printf '%s\n' "$output"
    return 1
  fi
}
export -f lint_one
export cache
printf '%s\n' "${sources[@]}" | grep '\.cc$' |
  xargs -P "$(nproc)" -I{} bash -c 'lint_one "$1" "$2"' _ {} "$build"
echo "format and lint: ${#sources[@]} files clean"
