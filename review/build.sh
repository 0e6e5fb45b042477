#!/bin/sh
# Builds every stand-in that the scripts start. They are Python and need the standard library only.
set -e
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 9))'
for file in common/*.py [1-5]/*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file"
done
