#!/usr/bin/env bash
# Checks the stand-ins of the scripts, which need Python 3 and nothing to be built. The
# programs of the project are built as the deploy file says.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import ast, sys
for name in sys.argv[1:]:
    ast.parse(open(name).read(), name)' 1/case.py 1/server.py 3/case.py 3/server.py
