#!/bin/sh
# usage: run-case.sh CASE FOLDER. Runs a case, and writes record.txt to the folder. Exit code 1: the rule was broken, 0: it held, 2: the
# case could not run. TROUBLE=0 leaves the disruption out.
root=$(cd "$(dirname "$0")/../.." && pwd) || exit 2
folder=$(cd "$2" && pwd) || exit 2
[ -x "$root/target/hornbeamd" ] && [ -x "$root/review/bin/rig-2" ] || { echo "build first: the command of deploy/system.toml, and review/build-2.sh"; exit 2; }
RIG_TMP=$(mktemp -d) || exit 2
export RIG_TMP RIG_ROOT="$root" RIG_RECORD="$folder/record.txt"
rig=
trap 'rm -rf "$RIG_TMP"' EXIT
trap 'kill "$rig" 2>/dev/null; wait "$rig"; exit 2' INT TERM HUP
# The rig ends itself after 115 s. The kernel ends the routers with it, whatever way it ends.
"$root/review/bin/rig-2" "$1" &
rig=$!
wait "$rig"
code=$?
case "$code" in 0 | 1) exit "$code" ;; *) exit 2 ;; esac
