#!/usr/bin/env bash
# Installs the Debian packages that the build, the tests and the checks need. Does nothing when all
# of them are there.
set -euo pipefail
packages=(
    g++ clang clang-format clang-tidy cmake make ninja-build ccache git python3 curl
    libpoco-dev libthrift-dev thrift-compiler libboost-dev libcli11-dev liblog4cxx-dev libabsl-dev
    catch2 libtrompeloeil-cpp-dev librapidcheck-dev libbenchmark-dev
)
missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' \
        || missing+=("$package")
done
if [ "${#missing[@]}" -gt 0 ]; then
    apt-get update -qq
    DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${missing[@]}"
fi
