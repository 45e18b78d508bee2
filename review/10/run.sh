#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
cd "$(dirname "${BASH_SOURCE[0]}")" && exec timeout -k 2 115 python3 -B case.py
