#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases into review/bin.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for source in rig/*.cpp; do
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -c "$source" -o "bin/$(basename "$source" .cpp).o" &
done
wait
for case in [1-9]/case.cpp; do
    g++ -std=c++20 -O1 -Wall -Wextra -pthread "$case" bin/*.o -o "bin/case-$(dirname "$case")" &
done
wait
