#!/usr/bin/env bash
# The failure tests on real processes. Further arguments name single tests, as for python3 -m unittest.
# usage: Meta/process-tests.sh BUILD [TEST...]
set -euo pipefail
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
export WISTERIA_BUILD_FOLDER=$1
shift
cd "$root/Tests/Processes"
[ $# -gt 0 ] || set -- test_failures test_placement test_operators test_bad_input
exec python3 -m unittest -v "$@"
