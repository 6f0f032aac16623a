#!/bin/sh
# Builds the stand-ins of the cases 6 to 9. They use the standard library only.
cd "$(dirname "$0")/stand-2" || exit 2
mkdir -p ../../target &&
  CGO_ENABLED=0 GOFLAGS=-buildvcs=false GOPROXY=off GOWORK=off GOTOOLCHAIN=local go build -o ../../target/stand-2 .
