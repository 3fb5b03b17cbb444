#!/usr/bin/env bash
# Checks the stand-ins of the cases 11 to 15. They are Python with its standard
# library alone, so that there is nothing to compile.
set -eu
cd "$(dirname "$0")"
python3 -B - lib-3/*.py 1[1-5]/case.py <<'PY'
import sys
assert sys.version_info >= (3, 10), "Python 3.10 or later is needed"
for name in sys.argv[1:]:
    with open(name) as f:
        compile(f.read(), name, "exec")
PY
test -x ../target/modules/entry/celerylift
test -x ../target/modules/agent/celerylift-agent
echo "build-3: the stand-ins are ready"
