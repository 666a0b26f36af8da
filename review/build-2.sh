#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. They are Python programs in standins-2/, which need only
# the standard library of Python 3.11, so that there is nothing to compile.
set -euo pipefail
cd "$(dirname "$0")/standins-2"
for file in *.py; do
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
