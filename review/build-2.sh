#!/bin/sh
# Builds the stand-ins and the driver of the scripts in review/6 to review/10. It needs
# nothing but Go's standard library, and leaves its output in target/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
cd review/kit2
GOFLAGS="${GOFLAGS:--buildvcs=false}" GOWORK=off go build -o ../../target/review-2 .
