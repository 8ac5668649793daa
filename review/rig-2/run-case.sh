#!/bin/sh
# usage: run-case.sh CASE FOLDER. Runs a case, and writes record.txt to the folder.
root=$(cd "$(dirname "$0")/../.." && pwd)
folder=$(cd "$2" && pwd)
[ -x "$root/target/hornbeamd" ] && [ -x "$root/target/review-rig-2" ] || { echo "build first: the deploy file, then review/build-2.sh"; exit 2; }
RIG_TMP=$(mktemp -d) || exit 2
export RIG_TMP RIG_ROOT="$root" RIG_RECORD="$folder/record.txt"
"$root/target/review-rig-2" "$1"
status=$?
if [ -n "$RIG_KEEP" ]; then echo "logs: $RIG_TMP"; else rm -rf "$RIG_TMP"; fi
exit $status
