#!/bin/sh
# Plays the case; see claim.txt. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x bin/pitchfield ] && [ -x review/bin/case3 ] || { echo "build first: the deploy file's build, then review/build.sh"; exit 2; }
exec review/bin/case3 review/3
