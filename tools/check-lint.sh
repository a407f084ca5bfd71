#!/usr/bin/env bash
# Runs clang-tidy over the sources of a build folder. Sources whose text, headers and checks have not
# changed since a clean run are skipped; their stamps are kept in BUILD/lint.
# Usage: tools/check-lint.sh BUILD
set -euo pipefail
cd "$(dirname "$0")/.."
build=$1
mkdir -p "$build/lint"
headers=$(git ls-files -co --exclude-standard '*.h' .clang-tidy cmake | sort | xargs cat | sha256sum | cut -c1-16)
export build headers
git ls-files -co --exclude-standard '*.cpp' | grep -v -e '/gen/' -e '/tests/' -e '^tests/' -e '/benchmarks/' \
    | xargs -P "$(nproc)" -I{} bash -c '
        stamp="$build/lint/$(sha256sum "{}" | cut -c1-16)-$headers"
        [ -e "$stamp" ] && exit 0
        clang-tidy --quiet -p "$build" "{}" 2>/dev/null && touch "$stamp" || { echo "clang-tidy: {}"; exit 1; }'
echo "lint: clean"
