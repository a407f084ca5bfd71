#!/usr/bin/env bash
# Regenerates libs/wire/src/gen from idl/. The result is committed, so that builds need no generator.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -f libs/wire/src/gen/*
for file in idl/*.thrift; do
    options=no_skeleton,moveable_types
    # Answers to entries are held back, which needs the asynchronous server interface.
    [ "$file" = idl/Control.thrift ] && options+=,cob_style
    thrift --gen "cpp:$options" -out libs/wire/src/gen "$file"
done
