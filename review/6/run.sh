#!/bin/sh
# Runs the case: exit status 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves
# the disruption out. What was sent, answered and run is written to record.txt beside this file.
folder="$(cd "$(dirname "$0")" && pwd)" || exit 2
record="$folder/record.txt"
echo "the case has not begun" >"$record" || exit 2
cd "$folder/../.." || exit 2
if [ ! -x .venv/bin/python ]; then
    echo "could not run: no build" >"$record"
    exit 2
fi
PYTHONDONTWRITEBYTECODE=1 exec .venv/bin/python "$folder/case.py" "$record"
