#!/bin/sh
# Builds the stand-ins of the scripts in review/11 to review/15: theirs and those of platform/soak.
# All are Python sources; that each one compiles is checked here. Nothing is written or fetched.
set -e
cd "$(dirname "$0")/.."
python3 - review/stand-ins-3/*.py review/1[1-5]/*.py platform/soak/*.py <<'CHECK'
import pathlib, sys
for name in sys.argv[1:]:
    if "*" not in name:
        compile(pathlib.Path(name).read_text(encoding="utf-8"), name, "exec")
CHECK
echo "stand-ins are ready"
