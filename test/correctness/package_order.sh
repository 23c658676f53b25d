#!/usr/bin/env bash
# Fails if a package includes a header of a later package in the order below. Guards against dependencies in the wrong
# direction between packages, which are ordered by the lifetime of their state.
set -euo pipefail
cd "$(dirname "$0")/../.."
order=(base version request connection term process)
later='process'
status=0
for ((index = ${#order[@]} - 2; index >= 0; --index)); do
    package=${order[index]}
    if grep -rnE "#include \"($later)/" "packages/$package"; then
        echo "package_order: packages/$package must not include headers of the packages $later"
        status=1
    fi
    later="$later|$package"
done
[ "$status" -eq 0 ] && echo "package_order: each of the ${#order[@]} packages includes only packages before it"
exit "$status"
