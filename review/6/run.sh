#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
test -x target/oleanderfall && test -x target/stage2 || { echo "build first: deploy/system.toml, review/build-2.sh"; exit 2; }
exec target/stage2 crashloop review/6/record.txt
