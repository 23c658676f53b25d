#!/usr/bin/env bash
# Fails if docs/operators.md does not describe a metric of a cell, so that operators can look up every name.
set -euo pipefail
cd "$(dirname "$0")/../.."
status=0
while read -r name; do
    family=${name%%\{*}
    label=${name#"$family"}
    if ! grep -qF "$family" docs/operators.md || ! grep -qF "${label//\\/}" docs/operators.md; then
        echo "metric_names: ${name//\\/} is not in docs/operators.md"
        status=1
    fi
done < <(sed -nE 's/^constexpr std::string_view [A-Za-z]+ = "(.*)";$/\1/p' packages/connection/cell_metrics.h)
[ "$status" -eq 0 ] && echo "metric_names: every metric is described"
exit "$status"
