#!/bin/sh
# Builds every stand-in that the scripts start. They are Python and need the standard library only.
set -e
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 9))'
for file in stand-ins-2/*.py [6-9]/*.py 10/*.py; do
    [ ! -e "$file" ] || python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file"
done
