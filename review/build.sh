#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. The program of the deploy file is built by
# the deploy file's own build line.
set -euo pipefail
cd "$(dirname "$0")/standin"
GOFLAGS="${GOFLAGS:--buildvcs=false}" GOWORK=off go build -o ../bin/standin .
