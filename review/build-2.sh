#!/bin/sh
# Builds the stand-ins that the scripts of review/6 to review/10 start. All of them are Python programs of the standard
# library, so there is nothing to build: this only checks that the interpreter can run them.
cd "$(dirname "$0")" || exit 2
export PYTHONDONTWRITEBYTECODE=1
python3 - lib-2/*.py [0-9]*/play.py <<'CHECK'
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
CHECK
