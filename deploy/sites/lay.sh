#!/bin/bash
# Lays beside the site files here what the operators' bench wants to find there: lay.sh KIT, where KIT is their kit's folder.
set -euo pipefail
if [ $# != 1 ]; then
	echo "lay.sh: the kit's folder is wanted, as in: deploy/sites/lay.sh ../given/kit" >&2
	exit 2
fi
for name in real.json wire.json unlock.txt; do
	if [ ! -r "$1/sites/$name" ]; then
		echo "lay.sh: $1/sites/$name can't be read" >&2
		exit 2
	fi
done
here=$(cd "$(dirname "$0")" && pwd)
for name in real.json wire.json unlock.txt; do
	install -m 644 "$1/sites/$name" "$here/$name"
done
