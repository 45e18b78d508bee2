#!/usr/bin/env bash
# TROUBLE=0 does the same without the disruption.
cd "$(dirname "${BASH_SOURCE[0]}")" || exit 2
export TROUBLE=${TROUBLE:-1} PYTHONDONTWRITEBYTECODE=1
exec python3 case.py
