#!/usr/bin/env bash
# Fails if two headers define a type with the same name. All packages share one namespace, so the linker merges template
# instantiations for the two types. A daemon crashed for this reason when two packages each defined task_progress.
set -euo pipefail
cd "$(dirname "$0")/../.."
repeated=$(grep -rhoE --include='*.h' '^(struct|class|enum class|enum) [a-z_]+( :.*)?( \{)?$' packages |
    sed -E 's/^(struct|class|enum class|enum) ([a-z_]+).*/\2/' | sort | uniq -d)
for name in $repeated; do
    echo "unique_types: $name is defined more than once:"
    grep -rnE --include='*.h' "^(struct|class|enum class|enum) $name( |$)" packages
done
[ -z "$repeated" ] && echo "unique_types: each type is defined once"
