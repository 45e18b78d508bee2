#!/usr/bin/env bash
# Runs the tests of a build folder. Tests in KNOWN-RED.txt run too; just their failures are passed over, and printed.
# usage: Meta/run-tests.sh BUILD [CTEST ARGUMENTS]
set -euo pipefail
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
build=$1
shift
jobs=${WISTERIA_JOBS:-$(nproc)}

# An entry of KNOWN-RED.txt is a line "test: NAME" and indented lines that say command, seed, sight and issue.
mapfile -t red < <(sed -n 's/^test: *//p' "$root/KNOWN-RED.txt" 2>/dev/null || true)
excluded=$(IFS='|'; echo "${red[*]}")
if [ ${#red[@]} -gt 0 ]; then
    echo "Known red tests (KNOWN-RED.txt), run apart:"
    for it in "${red[@]}"; do
        # What a rare failure said is needed to trace it.
        output=$build/known-red/${it//\//-}.log
        mkdir -p "$build/known-red"
        if ctest --test-dir "$build" -R "^$it\$" --output-on-failure >"$output" 2>&1; then
            echo "  $it: passes now; take it out of KNOWN-RED.txt"
        else
            echo "  $it: red"
            grep -E 'broken: |Test name: |^- |\*\*\*Timeout' "$output" | head -n 8 | cut -c1-200 | sed 's/^/    /' || true
        fi
    done
    ctest --test-dir "$build" -j "$jobs" --output-on-failure --no-tests=error -E "^($excluded)\$" "$@"
else
    ctest --test-dir "$build" -j "$jobs" --output-on-failure --no-tests=error "$@"
fi
