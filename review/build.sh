#!/usr/bin/env bash
# Builds the program that plays the platform, the backend servers and the clients of all cases.
# It needs nothing but Go's standard library.
set -euo pipefail
cd "$(dirname "$0")/stand"
CGO_ENABLED=0 GOFLAGS=-buildvcs=false GOWORK=off go build -o ../../target/review-stand .
