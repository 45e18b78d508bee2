#!/usr/bin/env bash
# Runs the main job on loopback: a fleet, a killed engine in mid-generation, one booking, one urgent lookup.
# usage: Meta/run-main-job.sh BUILD
set -euo pipefail
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
exec python3 "$root/Tests/Processes/main_job.py" "$1"
