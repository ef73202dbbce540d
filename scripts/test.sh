#!/usr/bin/env bash
# Installs the build dependencies, builds with GCC, checks format and lint, and runs all tests, then
# those of the core as built with Clang. Exits non-zero on any failure.
# Usage: test.sh [--sanitize=thread|address] [--no-lint]
set -euo pipefail
cd "$(dirname "$0")/.."
sanitize=
lint=yes
for argument in "$@"; do
  case $argument in
    --sanitize=thread | --sanitize=address) sanitize=${argument#--sanitize=} ;;
    --no-lint) lint=no ;;
    *)
      echo "usage: scripts/test.sh [--sanitize=thread|address] [--no-lint]" >&2
      exit 64
      ;;
  esac
done
scripts/install.sh
build=build${sanitize:+-$sanitize}
cmake -S . -B "$build" -G Ninja -DREDWINGDOCK_SANITIZE="$sanitize" >/dev/null
cmake --build "$build"
if [ "$lint" = yes ] && [ -z "$sanitize" ]; then
  scripts/lint.sh "$build"
fi

# Clang evaluates function arguments in another order than GCC does on some processors. Code that
# depends on the order then behaves differently, whatever processor runs the tests.
if [ -z "$sanitize" ]; then
  cmake -S . -B build-clang -G Ninja -DCMAKE_CXX_COMPILER=clang++ >/dev/null
  cmake --build build-clang --target core_tests
fi

# Tests in KNOWN-RED.txt ("test: SUITE.NAME") are known failures: they don't affect the exit status,
# and run separately with their failures printed.
red=
if [ -f KNOWN-RED.txt ]; then
  red=$(sed -n 's/^test: *//p' KNOWN-RED.txt | paste -sd: -)
fi
export GTEST_FILTER="*${red:+-$red}"
ctest --test-dir "$build" --output-on-failure -j "${REDWINGDOCK_TEST_JOBS:-8}"
if [ -z "$sanitize" ]; then
  echo "tests of the core, built with clang:"
  ctest --test-dir build-clang -L core --output-on-failure -j "${REDWINGDOCK_TEST_JOBS:-8}"
fi
if [ -n "$red" ]; then
  echo "known red tests (KNOWN-RED.txt):"
  GTEST_FILTER="$red" ctest --test-dir "$build" -j 4 -E 'process_|first_hour' --output-on-failure 2>&1 |
    grep -E 'FAILED  \]|violation|ms: |Timeout' | sort -u || true
fi
