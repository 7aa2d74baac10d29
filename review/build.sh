#!/bin/sh
# Builds the stand-ins and the clients of all cases. It needs nothing but the
# Go standard library.
set -e
cd "$(dirname "$0")/rig"
GOWORK=off GOFLAGS="-buildvcs=false" go build -o ../bin/rig .
