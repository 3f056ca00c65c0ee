#!/bin/sh
# The stand-ins of the cases are Python of the standard library; nothing has to be built for them
# beside what the deploy file builds.
set -e
cd "$(dirname "$0")/.."
test -x target/release/lovageramp-platform
python3 -c 'import sys, tomllib; sys.exit(sys.version_info < (3, 11))'
