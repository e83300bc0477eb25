#!/usr/bin/env bash
# Checks the stand-ins of the cases. They are Python 3.11 programs without further packages.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit("Python 3.11 is needed" if sys.version_info < (3, 11) else 0)'
python3 - lib/*.py ./*/case.py <<'CHECK'
import ast, sys
for path in sys.argv[1:]:
    ast.parse(open(path, encoding="utf-8").read(), path)
CHECK
