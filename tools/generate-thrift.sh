#!/usr/bin/env bash
# Regenerates libs/wire/src/gen from idl/. The result is committed, so that builds need no generator.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -f libs/wire/src/gen/*
for file in idl/*.thrift; do
    thrift --gen cpp:no_skeleton,moveable_types -out libs/wire/src/gen "$file"
done
