#!/bin/sh
# Builds the stand-ins of the third review's scripts into target/. Needs no network.
set -eu
cd "$(dirname "$0")/rig-3"
mkdir -p ../../target
GOWORK=off GOFLAGS=-mod=mod go build -o ../../target/rig-3 .
