#!/usr/bin/env bash
# Plays the case; see claim.txt. Exit status: 1 the rule was broken, 0 it held,
# 2 the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" && exec python3 -B case.py
