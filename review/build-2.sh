#!/bin/sh
# Builds what the scripts of review/6 to review/10 start beside the program of the deploy file. The
# stand-ins are Python (standard library only); they are compiled here so that an error shows early.
set -e
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
PYTHONDONTWRITEBYTECODE=1 python3 - common-2/*.py $(ls 6/case.py 7/case.py 8/case.py 9/case.py 10/case.py 2>/dev/null) <<'PY'
import sys
for name in sys.argv[1:]:
    compile(open(name, encoding="utf-8").read(), name, "exec")
PY
