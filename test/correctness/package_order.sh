#!/usr/bin/env bash
# Fails if a package includes a header of a package after it in the order of lifetimes. Guards against
# dependencies from state that lives shorter on state that lives longer.
set -euo pipefail
cd "$(dirname "$0")/../.."
order=(base version request connection term process)
later='process'
status=0
for ((index = ${#order[@]} - 2; index >= 0; --index)); do
    package=${order[index]}
    if grep -rnE "#include \"($later)/" "packages/$package"; then
        echo "package_order: packages/$package may not include the packages $later"
        status=1
    fi
    later="$later|$package"
done
[ "$status" -eq 0 ] && echo "package_order: ${#order[@]} packages include only those before them"
exit "$status"
