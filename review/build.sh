#!/usr/bin/env bash
# The stand-ins are Python 3.11 programs of the standard library alone: nothing to compile, only to check.
# The gateway itself comes from the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")"
python3 - <<'P'
import pathlib
import sys

assert sys.version_info >= (3, 11), "Python 3.11 is needed"
for it in sorted(pathlib.Path(".").rglob("*.py")):
    compile(it.read_text(), str(it), "exec")
P
