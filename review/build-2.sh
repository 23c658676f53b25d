#!/usr/bin/env bash
# Builds the programs of the cases 6 to 10 into target/review-2. Needs the packages of the deploy file only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
parts="review/standins-2/http.cpp review/standins-2/record.cpp review/standins-2/store.cpp
       review/standins-2/worker.cpp review/standins-2/deployment.cpp"
for name in stale_ack reborn no_leader power_loss; do
    # shellcheck disable=SC2086
    g++ -std=c++20 -O1 -Wall -Wextra -Ireview/standins-2 $parts "review/standins-2/$name.cpp" \
        -o "target/review-2/$name" -pthread
done
