#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x bin/pitchfield ] && [ -x bin/driver-2 ] || { echo "build first: the deploy file, then review/build-2.sh"; exit 2; }
exec bin/driver-2 -case set-list -out review/10
