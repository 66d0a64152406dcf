#!/bin/sh
# Prepares what the cases 6 to 10 start: compiles their stand-ins. Run it after the deploy file's build.
cd "$(dirname "$0")/.." || exit 1
.venv/bin/python -m compileall -q --invalidation-mode checked-hash review/rig2 review/6 review/7 review/8 \
    review/9 review/10
