#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.." || exit 2
[ -x target/fulmarbeam ] && [ -x review/second/standins2 ] || { echo "build the deploy file and review/build-2.sh first"; exit 2; }
exec review/second/standins2 stop "$folder"
