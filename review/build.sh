#!/usr/bin/env bash
# Builds the stand-ins and the program of each case, review/N/program.
set -euo pipefail
cd "$(dirname "$0")"
objects=$(mktemp -d)
trap 'rm -rf "$objects"' EXIT
compile=(g++ -std=c++20 -O1 -Wall -Wextra -pthread)
jobs=()
for source in *.cpp; do
    "${compile[@]}" -c "$source" -o "$objects/${source%.cpp}.o" &
    jobs+=($!)
done
for job in "${jobs[@]}"; do wait "$job"; done
jobs=()
for case in [1-5]/case.cpp; do
    "${compile[@]}" "$case" "$objects"/*.o -o "$(dirname "$case")/program" &
    jobs+=($!)
done
for job in "${jobs[@]}"; do wait "$job"; done
