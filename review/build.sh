#!/usr/bin/env bash
# The stand-ins of the scripts are Python files that need nothing but Debian's python3. There is
# nothing to compile; this only checks that each of them can be read by the interpreter.
set -euo pipefail
cd "$(dirname "$0")"
for file in [1-5]/*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
echo "the stand-ins are ready"
