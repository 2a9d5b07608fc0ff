#!/usr/bin/env bash
# Checks the stand-ins of the cases. They are Python programs of the standard library, so that there is
# nothing to compile; the daemon comes from the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
for file in support/*.py [0-9]/*.py ../Tests/Processes/platform_stand_ins.py; do
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file"
done
