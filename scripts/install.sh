#!/usr/bin/env bash
# Installs the compilers and libraries for the build from Debian packages, unless all are present.
set -euo pipefail
packages=(
  ccache clang clang-format clang-tidy cmake curl g++ git libbenchmark-dev libboost1.81-dev
  libboost-json1.81-dev libdocopt-dev libgmock-dev libgtest-dev libnghttp2-dev libprotobuf-dev
  librapidcheck-dev libspdlog-dev libxxhash-dev libyaml-cpp-dev ninja-build pkg-config protobuf-compiler
)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' ||
    missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
