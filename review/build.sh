#!/usr/bin/env bash
# Builds the stand-ins of the cases. They are Python programs of the standard library only; this
# checks that they can be compiled.
set -euo pipefail
cd "$(dirname "$0")"
find . -name '*.py' -print0 | xargs -0 -n1 python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])'
