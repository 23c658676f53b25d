#!/usr/bin/env bash
# Runs the case. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
program="review/$(basename "$folder")/program"
[ -x "$program" ] && [ -x target/bin/sesamespard ] || exit 2
temporary=$(mktemp -d) || exit 2
timeout -k 2 118 "$program" "$temporary" "$folder/record.txt"
status=$?
rm -rf "$temporary"
[ "$status" -le 1 ] && exit "$status"
exit 2
