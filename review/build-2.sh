#!/bin/sh
# Builds the stand-ins of the scripted cases of the second review. It needs no network.
set -e
cd "$(dirname "$0")/rig-2"
mkdir -p ../bin
GOWORK=off GOFLAGS=-mod=mod go build -buildvcs=false -o ../bin/rig-2 .
