#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start, as review/second/standins2. Needs no network: the
# module has no dependencies.
set -euo pipefail
cd "$(dirname "$0")/second"
GOFLAGS="" GOWORK=off CGO_ENABLED=0 go build -o standins2 .
