#!/usr/bin/env bash
# Fails when a source file differs from the project's format. Generated code is left out.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files -co --exclude-standard '*.h' '*.cpp' | grep -v '/gen/' \
    | xargs clang-format --dry-run -Werror
