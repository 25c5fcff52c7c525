#!/usr/bin/env bash
# Builds the stand-ins that the scripts start, into review/bin. Needs no network: the module has no dependencies.
set -euo pipefail
cd "$(dirname "$0")/rig"
GOFLAGS="" GOWORK=off CGO_ENABLED=0 go build -o ../bin/rig .
