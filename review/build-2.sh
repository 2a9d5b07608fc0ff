#!/bin/bash
# Builds what the scripts of cases 4 to 8 start besides the daemon. Their stand-ins are Python programs, the project's own
# store among them, so they are only compiled here, into nothing, to find errors of syntax.
set -e
cd "$(dirname "$0")/.."
for file in review/support-2/*.py review/[4-8]/*.py Tests/Processes/platform_stand_ins.py; do
    [ -e "$file" ] || continue
    python3 -B -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
