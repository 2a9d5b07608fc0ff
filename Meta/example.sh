#!/usr/bin/env bash
# Installs the build into a temporary prefix, then builds and runs the embedding example
# against that prefix, as an external project would.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
build=${1:-Build}
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cmake --install "$build" --prefix "$work/installed" >/dev/null
cmake -S Examples -B "$work/example" -DCMAKE_PREFIX_PATH="$work/installed" >/dev/null
cmake --build "$work/example" >/dev/null
"$work/example/place-chats"
# find_package() must fail for an unknown component, with a message that contains its name.
sed 's/COMPONENTS Routing/COMPONENTS Nonsense/' Examples/CMakeLists.txt >"$work/CMakeLists.txt"
if cmake -S "$work" -B "$work/wrong" -DCMAKE_PREFIX_PATH="$work/installed" >"$work/log" 2>&1; then
    echo "find_package accepted an unknown component" >&2
    exit 1
fi
grep -q Nonsense "$work/log" || { cat "$work/log" >&2; exit 1; }
