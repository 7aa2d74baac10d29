#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. They use the standard library alone, so that
# no network is needed. The system itself is built by the command of the deploy file.
set -eu
cd "$(dirname "$0")/rig-2"
mkdir -p ../../target
GOWORK=off GOFLAGS=-buildvcs=false GOTOOLCHAIN=local CGO_ENABLED=0 go build -o ../../target/review-rig-2 .
