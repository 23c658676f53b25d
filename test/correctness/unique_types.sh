#!/usr/bin/env bash
# Fails if two headers define a type of the same name. All packages share one namespace, so the linker would merge the
# functions of templates over the two types; a daemon crashed that way when two packages each had a task_progress.
set -euo pipefail
cd "$(dirname "$0")/../.."
repeated=$(grep -rhoE --include='*.h' '^(struct|class|enum class|enum) [a-z_]+( :.*)?( \{)?$' packages |
    sed -E 's/^(struct|class|enum class|enum) ([a-z_]+).*/\2/' | sort | uniq -d)
for name in $repeated; do
    echo "unique_types: $name is defined more than once:"
    grep -rnE --include='*.h' "^(struct|class|enum class|enum) $name( |$)" packages
done
[ -z "$repeated" ] && echo "unique_types: each type has one definition"
