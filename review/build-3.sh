#!/usr/bin/env bash
# Builds the stand-ins of review/11 to review/15. They are Python programs of the standard library alone
# (review/harness-3/standins.py), so that there is nothing to compile: this checks that they can be loaded.
set -eu
here=$(cd "$(dirname "$0")" && pwd)
python3 -B -c 'import ast, sys; [ast.parse(open(it).read(), it) for it in sys.argv[1:]]' \
    "$here"/harness-3/standins.py "$here"/1[1-5]/case.py
python3 -B -c 'import sys; sys.path.insert(0, sys.argv[1]); import standins' "$here/harness-3"
