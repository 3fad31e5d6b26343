#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out; common-2/standins.py, main(), hands it to the case.
export TROUBLE="${TROUBLE:-1}" PYTHONDONTWRITEBYTECODE=1
cd "$(dirname "$0")" && exec python3 case.py
