#!/bin/sh
# Builds what the cases 6 to 10 start beside the programs of the deploy file: one program with all stand-ins. Run it from any
# folder, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/driver-2 ./review/driver-2
