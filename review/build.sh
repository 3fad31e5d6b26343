#!/usr/bin/env bash
# Builds every stand-in that the scripts start. They are Python programs of the standard library (python3 3.11, as for
# tools/demo), so this only compiles them, and checks that the program of the deploy file is there.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m py_compile review/common/*.py review/*/play.py
test -x target/yuccascale || { echo "target/yuccascale is missing: run the build of deploy/system.toml first"; exit 1; }
