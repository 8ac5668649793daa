#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/rig-3"
mkdir -p ../../out/review
GOWORK=off GOFLAGS=-buildvcs=false go build -o ../../out/review/rig-3 .
