#!/bin/sh
exec "$(dirname "$0")/../rig-2/run-case.sh" tenants "$(dirname "$0")"
