#!/usr/bin/env bash
# Builds the stand-ins of the cases. They are Python programs without
# dependencies, so the only thing to do is to check that they compile.
set -eu
cd "$(dirname "$0")"
for file in harness/*.py [1-5]/*.py; do
    [ ! -e "$file" ] || python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
python3 -B -c 'import sys; sys.exit(sys.version_info < (3, 11))'
